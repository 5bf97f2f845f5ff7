// Package faults brings the faults of the requirements about on a local fleet.
package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/process/local"
	"github.com/citronstream/citronstream/internal/proof/load"
	"github.com/citronstream/citronstream/internal/standin/host"
)

// Times of the faults.
const (
	outage      = 3 * time.Second
	restart     = time.Second
	slowdown    = 10.0
	floodFactor = 5.0
)

// Fault is one fault at a time after the start.
type Fault struct {
	Kind string
	At   time.Duration
}

// UnmarshalText reads KIND@TIME, as in "kill@2s".
func (fa *Fault) UnmarshalText(text []byte) error {
	kind, at, ok := strings.Cut(string(text), "@")
	if !ok {
		return fmt.Errorf("want KIND@TIME, as in kill@2s, got %q", text)
	}
	when, err := time.ParseDuration(at)
	if err != nil || when < 0 {
		return fmt.Errorf("time of %q: want a duration such as 2s", text)
	}
	if !slices.Contains(Kinds(), kind) {
		return fmt.Errorf("unknown fault %q, known: %s", kind, strings.Join(Kinds(), ", "))
	}
	fa.Kind, fa.At = kind, when
	return nil
}

// String returns KIND@TIME.
func (fa Fault) String() string { return fa.Kind + "@" + fa.At.String() }

type action func(in *Injector, ctx context.Context) string

var kinds = map[string]action{
	"kill": (*Injector).kill, "pause": (*Injector).pause, "slow": (*Injector).slow, "silent": (*Injector).silent,
	"store-down": (*Injector).storeDown, "store-lost-answers": (*Injector).storeLost, "poison": (*Injector).poison,
	"leave": (*Injector).leave, "flood-least": (*Injector).floodLeast, "flood-most": (*Injector).floodMost,
	"race-config": (*Injector).raceConfig, "pause-holder": (*Injector).pauseHolder, "replace-agent": (*Injector).replaceAgent,
	"supplant-agent": (*Injector).supplantAgent, "stall": (*Injector).stall, "break-streams": (*Injector).breakStreams,
}

// Kinds returns the known faults in order.
func Kinds() []string {
	names := make([]string, 0, len(kinds))
	for name := range kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Targeted returns the kinds that bring about one situation each in which a
// promise hangs on one check of the program.
func Targeted() []string {
	return []string{"break-streams", "pause-holder", "replace-agent", "stall", "supplant-agent"}
}

// Draw returns a number of faults spread over a time, from a seed.
func Draw(seed uint64, count int, over time.Duration) []Fault {
	rnd := rand.New(rand.NewPCG(seed, 3))
	names := Kinds()
	drawn := make([]Fault, count)
	for i := range drawn {
		drawn[i] = Fault{Kind: names[rnd.IntN(len(names))], At: time.Duration(rnd.Int64N(int64(over)))}
	}
	slices.SortFunc(drawn, func(a, b Fault) int { return int(a.At - b.At) })
	return drawn
}

// Injector brings faults about.
type Injector struct {
	clk citronstream.Clock
	fl  *local.Fleet
	lo  *load.Load

	mu   sync.Mutex
	rnd  *rand.Rand
	done []string
	errs []error
	wg   sync.WaitGroup

	agents map[string]*sync.Mutex // by upstream; held by a fault that pauses or stops the agent
}

// New returns an injector for a fleet under a load.
func New(clk citronstream.Clock, fl *local.Fleet, lo *load.Load, seed uint64) *Injector {
	in := &Injector{clk: clk, fl: fl, lo: lo, rnd: rand.New(rand.NewPCG(seed, 2)), agents: make(map[string]*sync.Mutex)}
	for _, up := range fl.Config.Upstreams {
		in.agents[up.Name] = &sync.Mutex{}
	}
	return in
}

// Run brings the faults about at their times, and returns when all have
// passed or ctx ended. What a fault broke is restored in both cases.
func (in *Injector) Run(ctx context.Context, faults []Fault) {
	for _, fa := range faults {
		in.wg.Go(func() {
			if in.sleep(ctx, fa.At) {
				in.note(fa.Kind + ": " + kinds[fa.Kind](in, ctx))
			}
		})
	}
	in.wg.Wait()
}

// Done describes the faults that were brought about.
func (in *Injector) Done() []string {
	in.mu.Lock()
	defer in.mu.Unlock()
	return slices.Clone(in.done)
}

// Err returns what went wrong with the faults themselves.
func (in *Injector) Err() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if len(in.errs) == 0 {
		return nil
	}
	return fmt.Errorf("fault injection: %w", in.errs[0])
}

func (in *Injector) note(text string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.done = append(in.done, text)
}

func (in *Injector) failed(err error) {
	if err == nil {
		return
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.errs = append(in.errs, err)
}

func (in *Injector) sleep(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-in.clk.After(wait):
		return true
	}
}

func (in *Injector) intn(n int) int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.rnd.IntN(n)
}

func (in *Injector) upstream() string {
	ups := in.fl.Config.Upstreams
	return ups[in.intn(len(ups))].Name
}

// keyed returns an upstream of a service with non-idempotent calls.
func (in *Injector) keyed() string {
	var names []string
	for _, up := range in.fl.Config.Upstreams {
		if ag := in.fl.Agent(up.Name); ag != nil && ag.Grant != nil {
			names = append(names, up.Name)
		}
	}
	if len(names) == 0 {
		return in.upstream()
	}
	return names[in.intn(len(names))]
}

// engine returns an upstream that streams.
func (in *Injector) engine() string {
	var names []string
	for _, up := range in.fl.Config.Upstreams {
		for _, se := range in.fl.Config.Services {
			if se.Name == up.Service && se.Kind == citronstream.KindEngine {
				names = append(names, up.Name)
			}
		}
	}
	if len(names) == 0 {
		return in.upstream()
	}
	return names[in.intn(len(names))]
}

// either returns an upstream of a keyed service, an engine, or any other,
// with the same chance: the promises hang most on the first two.
func (in *Injector) either() string {
	switch in.intn(3) {
	case 0:
		return in.keyed()
	case 1:
		return in.engine()
	default:
		return in.upstream()
	}
}

func (in *Injector) kill(ctx context.Context) string {
	switch in.intn(3) {
	case 0:
		name := in.either()
		up := in.fl.Upstream(name)
		up.Kill()
		in.sleep(ctx, restart)
		in.restart(up)
		return "upstream " + name
	case 1:
		name := in.either()
		defer in.hold(name)()
		in.fl.StopAgent(name)
		in.sleep(ctx, restart)
		in.failed(in.fl.StartAgent(name))
		return "agent " + name
	default:
		entries := in.fl.Config.Entries
		name := entries[in.intn(len(entries))].Name
		in.fl.StopEntry(name)
		in.sleep(ctx, restart)
		in.failed(in.fl.StartEntry(name))
		return "entry " + name
	}
}

// hold keeps other faults from pausing or stopping an agent until the release.
func (in *Injector) hold(name string) (release func()) {
	in.agents[name].Lock()
	return in.agents[name].Unlock
}

// restart brings a stand-in back, unless another fault's end has done so.
func (in *Injector) restart(up local.Upstream) {
	if err := up.Restart(); err != nil && !up.Running() {
		in.failed(err)
	}
}

func (in *Injector) pause(ctx context.Context) string {
	name := in.either()
	if in.intn(2) == 0 {
		up := in.fl.Upstream(name)
		up.Pause(true)
		in.sleep(ctx, outage/2)
		up.Pause(false)
		return "upstream " + name
	}
	defer in.hold(name)()
	ga := in.fl.Gate(name)
	ga.Pause(true)
	if in.intn(2) == 0 {
		// The platform gives the instance up, so that others take the agent's
		// slots; the agent wakes up and still believes that they are its own.
		in.fl.Unlist(name, true)
		in.sleep(ctx, outage+restart)
		ga.Pause(false)
		in.sleep(ctx, restart)
		in.fl.Unlist(name, false)
		return "agent " + name + ", given up by the platform"
	}
	in.sleep(ctx, outage)
	ga.Pause(false)
	return "agent " + name
}

func (in *Injector) slow(ctx context.Context) string {
	name := in.upstream()
	up := in.fl.Upstream(name)
	up.Slow(slowdown)
	in.sleep(ctx, outage)
	up.Slow(1)
	return "upstream " + name
}

func (in *Injector) silent(context.Context) string {
	name := in.either()
	if in.intn(3) == 0 {
		in.fl.Upstream(name).Silent()
		return "connections to upstream " + name
	}
	in.fl.Gate(name).Silence()
	return "links of agent " + name
}

func (in *Injector) storeDown(ctx context.Context) string {
	in.fl.Table.SetDown(true)
	in.fl.Objects.SetDown(true)
	in.sleep(ctx, outage)
	in.fl.Table.SetDown(false)
	in.fl.Objects.SetDown(false)
	return "table and object store"
}

func (in *Injector) storeLost(ctx context.Context) string {
	in.fl.Table.SetLoseAnswers(2)
	in.sleep(ctx, outage)
	in.fl.Table.SetLoseAnswers(0)
	return "every second answer to a write"
}

// poison sends a request that kills each upstream that runs it; its caller
// sends it again whatever the answer. The killed upstreams come back, as the
// platform restarts them.
func (in *Injector) poison(ctx context.Context) string {
	body := fmt.Appendf(nil, `{"prompt":"%s %d","max_tokens":4}`, host.PoisonMarker, in.intn(1<<30))
	in.lo.Send(context.WithoutCancel(ctx), body, 6)
	deaths := 0
	for range 20 {
		in.sleep(ctx, restart/5)
		for _, up := range in.fl.Config.Upstreams {
			if st := in.fl.Upstream(up.Name); !st.Running() {
				deaths++
				in.restart(st)
			}
		}
	}
	return fmt.Sprintf("%d deaths seen", deaths)
}

func (in *Injector) leave(ctx context.Context) string {
	name := in.either()
	defer in.hold(name)()
	in.failed(in.fl.DrainAgent(context.WithoutCancel(ctx), name))
	in.resend(ctx, name)
	in.sleep(ctx, restart)
	in.failed(in.fl.StartAgent(name))
	in.resend(ctx, name)
	return "agent " + name
}

func (in *Injector) floodLeast(ctx context.Context) string {
	return in.flood(ctx, len(in.fl.Config.Ranks)-1)
}

func (in *Injector) floodMost(ctx context.Context) string { return in.flood(ctx, 0) }

func (in *Injector) flood(ctx context.Context, rank int) string {
	rate := floodFactor * load.Capacity(in.fl.Config) / 2
	in.lo.Flood(rank, rate)
	in.sleep(ctx, outage)
	in.lo.EndFlood()
	return fmt.Sprintf("%.0f requests a second of rank %s", rate, in.fl.Config.Ranks[rank].Name)
}
