package local

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/version"
	"github.com/citronstream/citronstream/internal/observe/invariant"
	"github.com/citronstream/citronstream/internal/observe/ledger"
	"github.com/citronstream/citronstream/internal/process/agent"
	"github.com/citronstream/citronstream/internal/standin/engine"
	"github.com/citronstream/citronstream/internal/standin/gate"
)

// Gate returns the gate of an upstream's agent.
func (fl *Fleet) Gate(name string) *gate.Gate {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.gates[name]
}

// Unlist drops the instance of an upstream from the platform's list, or adds it again.
func (fl *Fleet) Unlist(name string, drop bool) {
	for _, up := range fl.Config.Upstreams {
		if up.Name == name && drop {
			fl.List.Remove(up.Instance)
		} else if up.Name == name {
			fl.List.Set(citronstream.InstanceState{Instance: up.Instance, Zone: fl.zone(up.Instance)})
		}
	}
}

// StopAgent stops an agent as a crash would.
func (fl *Fleet) StopAgent(name string) {
	if ag := fl.removeAgent(name); ag != nil {
		fl.Gate(name).Pause(false)
		ag.Stop()
	}
}

// SupplantAgent starts a second agent of an upstream while the first still runs,
// as when the platform has given up on its instance: the first agent has lost its
// address and its connections, but still reaches the table and the upstream. It
// is returned, and the caller stops it.
func (fl *Fleet) SupplantAgent(name string) (*agent.Agent, error) {
	old, ga := fl.Agent(name), fl.Gate(name)
	if old == nil {
		return nil, fmt.Errorf("no agent of %s", name)
	}
	if err := old.Server.Unbind(); err != nil {
		return nil, err
	}
	ga.Silence()
	return old, fl.StartAgent(name)
}

// Engine returns the stand-in of an engine, or nil.
func (fl *Fleet) Engine(name string) *engine.Server {
	en, _ := fl.upstreams[name].(*engine.Server)
	return en
}

// DrainAgent stops an agent gracefully: the platform lists its instance as
// leaving, and the agent stops after its calls have ended.
func (fl *Fleet) DrainAgent(ctx context.Context, name string) error {
	ag := fl.Agent(name)
	if ag == nil {
		return nil
	}
	state := citronstream.InstanceState{Instance: ag.Up.Instance, Zone: fl.zone(ag.Up.Instance)}
	fl.List.Set(citronstream.InstanceState{Instance: state.Instance, Zone: state.Zone, Leaving: true})
	err := ag.Shutdown(ctx)
	fl.removeAgent(name)
	fl.List.Set(state)
	return err
}

func (fl *Fleet) removeAgent(name string) interface{ Stop() } {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	ag, ok := fl.agents[name]
	if !ok {
		return nil
	}
	delete(fl.agents, name)
	return ag
}

// maxStopTime exceeds the time in which an entry stops. Requests that arrive
// until it has stopped can fail too.
const maxStopTime = time.Hour

// StopEntry stops an entry as a crash would.
func (fl *Fleet) StopEntry(name string) {
	fl.mu.Lock()
	en, ok := fl.entries[name]
	delete(fl.entries, name)
	address := ""
	for _, co := range fl.Config.Entries {
		if co.Name == name {
			address = co.Address
			fl.killed[address] = fl.clk.Now().Add(maxStopTime)
		}
	}
	fl.mu.Unlock()
	if !ok {
		return
	}
	en.Stop()
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.killed[address] = fl.clk.Now()
}

// Costs flushes the cost records of all processes and reads the report.
func (fl *Fleet) Costs(ctx context.Context) (ledger.Report, error) {
	fl.mu.Lock()
	var all []*ledger.Ledger
	for _, en := range fl.entries {
		all = append(all, en.Ledger)
	}
	for _, ag := range fl.agents {
		all = append(all, ag.Ledger)
	}
	fl.mu.Unlock()
	for _, le := range all {
		if err := le.Flush(ctx); err != nil {
			return ledger.Report{}, err
		}
	}
	deltas, err := ledger.Read(ctx, fl.Table, fl.clk.Now(), "", maxCostRecords)
	if err != nil {
		return ledger.Report{}, err
	}
	return ledger.Tally(deltas)
}

// maxCostRecords bounds the cost records of a run.
const maxCostRecords = 1 << 20

// inForceTarget is the target time until a configuration is in force everywhere
// at current site sizes.
const inForceTarget = 5 * time.Second

// Race submits two concurrent changes of the same version and waits until the
// accepted one is in force everywhere. It returns a description of the outcome.
func (fl *Fleet) Race(ctx context.Context) (string, error) {
	base := version.New(fl.clk, fl.Table, fl.Objects)
	if err := base.Refresh(ctx); err != nil {
		return "the table does not answer", nil //nolint:nilerr // an outage is reported as a separate fault
	}
	from := base.Current().Fleet
	names := [2]string{"first", "second"}
	var versions [2]uint64
	var errs [2]error
	var wg sync.WaitGroup
	for i := range names {
		wg.Go(func() {
			next := *from
			next.Workspaces = slices.Clone(from.Workspaces)
			next.Workspaces[0].Weight += 0.001 * float64(i+1)
			versions[i], errs[i] = version.New(fl.clk, fl.Table, fl.Objects).Accept(ctx, from.Version, &next, names[i])
		})
	}
	wg.Wait()
	invariant.Check(errs[0] != nil || errs[1] != nil, "two operators both changed version %d", from.Version)
	for i := range names {
		if errs[i] != nil {
			continue
		}
		start := fl.clk.Now()
		for !fl.inForce(versions[i]) {
			if took := fl.clk.Now().Sub(start); took > inForceTarget || ctx.Err() != nil {
				return fmt.Sprintf("%s operator won version %d, not in force everywhere after %s", names[i], versions[i], took.Round(time.Millisecond)), nil
			}
			<-fl.clk.After(readyPollInterval)
		}
		return fmt.Sprintf("%s operator won version %d, in force everywhere after %s; the other: %v",
			names[i], versions[i], fl.clk.Now().Sub(start).Round(time.Millisecond), errs[1-i]), nil
	}
	return fmt.Sprintf("no operator won: %v; %v", errs[0], errs[1]), nil
}

func (fl *Fleet) inForce(version uint64) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, en := range fl.entries {
		if en.Version() < version {
			return false
		}
	}
	for _, ag := range fl.agents {
		if ag.Config.Version() < version {
			return false
		}
	}
	return true
}
