package faults

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/citronstream/citronstream/internal/once/grant"
)

// The faults of this file bring about one situation each in which a promise
// hangs on one check of the program. Drawn faults alone meet them too rarely.
const (
	// burst is how many requests of a service meet such a fault, and resent how
	// many of its answered orders are sent again.
	burst  = 60
	resent = 40
	// stalled makes a call of 5 ms take 7.5 s: longer than an urgent deadline and
	// than the limit on the run of an order.
	stalled = 1500.0
	// stallFor is longer than a stalled call.
	stallFor = 8 * time.Second
	// takenOver bounds the wait until others have taken a paused holder's slots:
	// the links go silent, the list drops the instance, the entries ask for an
	// owner, and an agent that was asked may wait 10 s for an entry before that.
	takenOver = 12 * time.Second
	// epochPoll is short, so that the holder wakes up before the entries have
	// written the rows of its calls, which would stop it as well.
	epochPoll = 2 * time.Millisecond
	// slowTable is less than a claim waits for the table.
	slowTable = 150 * time.Millisecond
	// readAgain is the longest time between two looks of an agent at its engine's models.
	readAgain = 3500 * time.Millisecond
)

// service returns the service of an upstream.
func (in *Injector) service(upstream string) string {
	for _, up := range in.fl.Config.Upstreams {
		if up.Name == upstream {
			return up.Service
		}
	}
	return ""
}

// holder returns an agent that owns slots.
func (in *Injector) holder() string {
	var names []string
	for _, up := range in.fl.Config.Upstreams {
		if ag := in.fl.Agent(up.Name); ag != nil && ag.Grant != nil && len(ag.Grant.Owned()) > 0 {
			names = append(names, up.Name)
		}
	}
	if len(names) == 0 {
		return in.keyed()
	}
	return names[in.intn(len(names))]
}

// epoch reads the epoch in force of an agent; 0 if the table does not answer.
func (in *Injector) epoch(ctx context.Context, upstream string) uint64 {
	var row grant.EpochRow
	raw, err := in.fl.Table.Get(ctx, grant.EpochKey(upstream))
	if err != nil || json.Unmarshal(raw.Value, &row) != nil {
		return 0
	}
	return row.Epoch
}

// resend lets the callers of an upstream's service send answered orders again.
func (in *Injector) resend(ctx context.Context, upstream string) {
	in.lo.Resend(ctx, in.service(upstream), resent)
}

// pauseHolder pauses an agent with slots while orders are on their way to it.
// Others take its slots over; then it wakes up, finds the orders, and must
// learn from the table that they are not its own any more.
func (in *Injector) pauseHolder(ctx context.Context) string {
	name := in.holder()
	defer in.hold(name)()
	ag, ga := in.fl.Agent(name), in.fl.Gate(name)
	if ag == nil {
		return "no agent"
	}
	before, epoch := ag.Claim.Counts(), in.epoch(ctx, name)
	// Orders come in while the table is slow, so that most wait to be claimed
	// when the pause begins. It meets one group of claims on its way back.
	in.fl.Table.SetSlow(slowTable)
	in.lo.Burst(ctx, in.service(name), burst)
	in.sleep(ctx, slowTable)
	ga.Pause(true)
	in.fl.Table.SetSlow(0)
	in.fl.Unlist(name, true)
	now := epoch
	for waited := time.Duration(0); now <= epoch && waited < takenOver && in.sleep(ctx, epochPoll); waited += epochPoll {
		now = max(epoch, in.epoch(ctx, name))
	}
	ga.Pause(false)
	in.resend(ctx, name)
	in.sleep(ctx, restart)
	in.fl.Unlist(name, false)
	after := ag.Claim.Counts()
	return fmt.Sprintf("agent %s, given up by the platform, epoch %d to %d, with orders on their way: %d claims fenced, %d won, %d ran on the grant",
		name, epoch, now, after.Fenced-before.Fenced, after.Claims-before.Claims, after.Offline-before.Offline)
}

// replaceAgent stops an agent while its upstream runs orders, and starts
// another at once, which knows nothing of them. Their entries ask it.
func (in *Injector) replaceAgent(ctx context.Context) string {
	name := in.holder()
	defer in.hold(name)()
	up := in.fl.Upstream(name)
	up.Slow(stalled / 10)
	in.lo.Burst(ctx, in.service(name), burst)
	in.sleep(ctx, restart/5)
	in.fl.StopAgent(name)
	up.Slow(1)
	in.failed(in.fl.StartAgent(name))
	in.resend(ctx, name)
	return "agent " + name + ", with orders that run"
}

// stall lets the calls of a service that begin within a second take 7.5 s, so
// that they are cut while they run. Their callers send them again.
func (in *Injector) stall(ctx context.Context) string {
	service := in.service(in.keyed())
	slow := func(factor float64) {
		for _, up := range in.fl.Config.Upstreams {
			if up.Service == service {
				in.fl.Upstream(up.Name).Slow(factor)
			}
		}
	}
	slow(stalled)
	in.lo.Burst(ctx, service, burst)
	in.sleep(ctx, restart)
	slow(1)
	in.sleep(ctx, stallFor)
	in.lo.Resend(ctx, service, resent)
	return "service " + service
}

// breakStreams kills the engine with the most streams, twice.
func (in *Injector) breakStreams(ctx context.Context) string {
	text := "engines"
	for range 2 {
		name, most := "", 0
		for _, up := range in.fl.Config.Upstreams {
			if ag := in.fl.Agent(up.Name); in.fl.Engine(up.Name) != nil && ag != nil && ag.Server.Running() > most {
				name, most = up.Name, ag.Server.Running()
			}
		}
		if name == "" {
			break
		}
		up := in.fl.Upstream(name)
		up.Kill()
		in.sleep(ctx, restart/2)
		in.restart(up)
		text += fmt.Sprintf(" %s (%d streams)", name, most)
	}
	return text
}

// supplantAgent pauses the agent of an engine until another process has taken
// its place and a newer configuration is in force. The engine then loses its
// models, and the first agent wakes up and wants to load them: its token is
// older than that of the second one.
func (in *Injector) supplantAgent(ctx context.Context) string {
	name := in.engine()
	defer in.hold(name)()
	en, ga := in.fl.Engine(name), in.fl.Gate(name)
	if en == nil || in.fl.Agent(name) == nil {
		return "no engine"
	}
	ga.Pause(true)
	in.sleep(ctx, readAgain)
	old, err := in.fl.SupplantAgent(name)
	if err != nil {
		ga.Pause(false)
		in.failed(err)
		return "agent " + name
	}
	race := in.raceConfig(ctx)
	in.sleep(ctx, 2*restart) // the second agent commands the engine
	before := len(en.Commands())
	en.Unload()
	ga.Pause(false)
	in.sleep(ctx, 2*restart)
	old.Stop()
	return fmt.Sprintf("agent %s, by a second one that had given %d commands; %s", name, before, race)
}
