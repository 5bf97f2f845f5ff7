package claim_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/once/claim"
	"github.com/citronstream/citronstream/internal/once/grant"
	"github.com/citronstream/citronstream/internal/once/witness"
	"github.com/citronstream/citronstream/internal/standin/memtable"
)

const service = "desk"

var errDead = errors.New("process ended")

// store is an object store in memory.
type store struct{ sync.Map }

func (st *store) Put(_ context.Context, key string, body []byte) error {
	st.Store(key, body)
	return nil
}

func (st *store) Get(_ context.Context, key string) ([]byte, error) {
	if body, ok := st.Load(key); ok {
		return body.([]byte), nil
	}
	return nil, citronstream.ErrNotFound
}

// gate stops a process between two steps.
type gate struct {
	mu     sync.Mutex
	closed chan struct{}
	dead   atomic.Bool
}

func (ga *gate) pause() {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if ga.closed == nil && !ga.dead.Load() {
		ga.closed = make(chan struct{})
	}
}

func (ga *gate) resume() {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if ga.closed != nil {
		close(ga.closed)
		ga.closed = nil
	}
}

// pass waits while the process is paused. It returns false once it is dead.
func (ga *gate) pass() bool {
	ga.mu.Lock()
	closed := ga.closed
	ga.mu.Unlock()
	if closed != nil {
		<-closed
	}
	return !ga.dead.Load()
}

// view is the table as one process sees it. Each call can stop before and
// after its effect, and writes may take effect after their caller gave up.
type view struct {
	*memtable.Table
	wo *world
	ga *gate
}

func (vi *view) Get(ctx context.Context, key string) (citronstream.Row, error) {
	if !vi.ga.pass() {
		return citronstream.Row{}, errDead
	}
	row, err := vi.Table.Get(ctx, key)
	if !vi.ga.pass() {
		return citronstream.Row{}, errDead
	}
	return row, err
}

func (vi *view) Write(ctx context.Context, opID string, ops ...citronstream.Op) error {
	if !vi.ga.pass() {
		return errDead
	}
	if vi.wo.forget.Load() {
		opID = "" // the table has forgotten the identifier; only reading back helps
	}
	if vi.wo.late.Load() && rand.N(3) == 0 {
		vi.wo.delayed(opID, ops)
		<-ctx.Done()
		return ctx.Err()
	}
	err := vi.Table.Write(ctx, opID, ops...)
	if !vi.ga.pass() {
		return errDead
	}
	return err
}

// agent is one process of an upstream.
type agent struct {
	gate
	wo       *world
	set      grant.Settings
	gr       *grant.Grant
	cl       *claim.Claim
	cancel   context.CancelFunc
	grantEnd <-chan struct{}
	claimEnd <-chan struct{}
}

func (ag *agent) kill() {
	ag.wo.note("kill %s", ag.set.Instance)
	ag.dead.Store(true)
	ag.cancel()
	ag.resume()
	<-ag.grantEnd
	<-ag.claimEnd
}

// world holds a service's agents, its entries and the platform.
type world struct {
	clk     citronstream.Clock
	table   *memtable.Table
	objects store
	forget  atomic.Bool
	late    atomic.Bool

	mu       sync.Mutex
	landing  []func()
	list     map[string]bool
	agents   map[string]*agent
	keepers  []*witness.Keeper
	calls    sync.WaitGroup
	serial   int
	runs     map[string]string // key to first answer
	attempts map[string]int    // attempts in flight
	begun    map[string]int    // attempts so far
	faults   []string
	trace    []string
	served   int
	// failNext lists verdicts of the next runs, Ran when empty.
	outcomes map[string]citronstream.Verdict
	opts     []claim.Option
}

func newWorld(clk citronstream.Clock, entries int, opts ...claim.Option) *world {
	wo := &world{
		clk: clk, table: memtable.New(clk), list: make(map[string]bool), agents: make(map[string]*agent),
		runs: make(map[string]string), attempts: make(map[string]int), begun: make(map[string]int), outcomes: make(map[string]citronstream.Verdict),
		opts: opts,
	}
	for range entries {
		wo.keepers = append(wo.keepers, wo.keeper())
	}
	return wo
}

func (wo *world) keeper() *witness.Keeper {
	return witness.New(wo.table, &wo.objects, wo.clk)
}

func (wo *world) delayed(opID string, ops []citronstream.Op) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.landing = append(wo.landing, func() { _ = wo.table.Write(context.Background(), opID, ops...) })
}

// land lets delayed writes take effect, whoever sent them.
func (wo *world) land() {
	wo.mu.Lock()
	landing := wo.landing
	wo.landing = nil
	wo.mu.Unlock()
	for _, fn := range landing {
		fn()
	}
}

// List implements citronstream.Liveness.
func (wo *world) List(context.Context) (states []citronstream.InstanceState, _ error) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	for name := range wo.list {
		states = append(states, citronstream.InstanceState{Instance: name})
	}
	return states, nil
}

// Resolve implements citronstream.Resolver over the entries.
func (wo *world) Resolve(ctx context.Context, upstream string, epoch uint64) (time.Time, bool) {
	wo.mu.Lock()
	keepers := append([]*witness.Keeper(nil), wo.keepers...)
	wo.mu.Unlock()
	var latest time.Time
	for _, ke := range keepers {
		at, err := ke.Settle(ctx, upstream, epoch)
		wo.note("settle %s %d: %s %v", upstream, epoch, at, err)
		if err != nil {
			return at, false
		}
		if at.After(latest) {
			latest = at
		}
	}
	return latest, true
}

// start starts an agent; an empty address means one that nobody had before.
func (wo *world) start(upstream, address string) *agent {
	wo.mu.Lock()
	wo.serial++
	if address == "" {
		address = fmt.Sprintf("10.0.0.%d:1", wo.serial)
	}
	set := grant.Settings{Upstream: upstream, Service: service, Instance: fmt.Sprintf("i-%d", wo.serial), Address: address}
	wo.list[set.Instance] = true
	wo.mu.Unlock()
	ag := &agent{wo: wo, set: set}
	vi := &view{wo.table, wo, &ag.gate}
	ag.gr = grant.New(set, vi, wo, wo.clk, grant.WithWitness(wo))
	ag.cl = claim.New(ag.gr, vi, &wo.objects, wo.clk, append([]claim.Option{claim.WithFlushed(func(keys []claim.Flushed) {
		wo.mu.Lock()
		keepers := slices.Clone(wo.keepers)
		wo.mu.Unlock()
		for _, ke := range keepers {
			ke.Flushed(upstream, service, keys)
		}
	})}, wo.opts...)...)
	ctx, cancel := context.WithCancel(context.Background())
	ag.cancel = cancel
	ag.grantEnd, ag.claimEnd = ag.gr.Run(ctx), ag.cl.Run(ctx)
	wo.mu.Lock()
	wo.agents[upstream] = ag
	wo.trace = append(wo.trace, fmt.Sprintf("start %+v", set))
	wo.mu.Unlock()
	return ag
}

func (wo *world) owner(key string) *agent {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	for _, ag := range wo.agents {
		if !ag.dead.Load() && ag.gr.Held(grant.SlotOf("w", key)) != nil {
			return ag
		}
	}
	return nil
}

func (wo *world) note(format string, args ...any) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.trace = append(wo.trace, wo.clk.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

func (wo *world) fault(format string, args ...any) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.faults = append(wo.faults, fmt.Sprintf(format, args...))
}

// run is the upstream. It records each run and refuses none twice unnoticed.
func (wo *world) run(ag *agent, key string) (claim.Answer, error) {
	if !ag.pass() {
		return claim.Answer{}, citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeInternal, "dead")
	}
	wo.mu.Lock()
	verdict, ok := wo.outcomes[key]
	delete(wo.outcomes, key)
	if ok && verdict == citronstream.NotRun {
		wo.mu.Unlock()
		return claim.Answer{}, citronstream.NewFault(citronstream.NotRun, citronstream.CodeUnavailable, "refused")
	}
	first, ran := wo.runs[key]
	answer := fmt.Sprintf("%s by %s at %s", key, ag.set.Instance, wo.clk.Now())
	if !ran {
		wo.runs[key] = answer
	}
	wo.mu.Unlock()
	if ran {
		wo.fault("key ran twice: first %q, then %q", first, answer)
	}
	ag.pass()
	if ok && verdict == citronstream.MayHaveRun {
		return claim.Answer{}, citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeUpstreamDied, "died")
	}
	return claim.Answer{Status: 200, Body: []byte(answer)}, nil
}

// call sends a keyed call through an entry to an agent and checks the answer
// against what the upstream recorded.
func (wo *world) call(ctx context.Context, entry int, ag *agent, key string) (claim.Answer, error) {
	rq := claim.Request{Workspace: "w", Key: key, KeyGiven: true, Digest: 1, Sent: wo.clk.Now()}
	wo.mu.Lock()
	ke := wo.keepers[entry]
	wo.attempts[key]++
	wo.begun[key]++
	alone, begun := wo.attempts[key] == 1, wo.begun[key]
	wo.mu.Unlock()
	epoch := uint64(0)
	if le := ag.gr.Lease(); le != nil {
		epoch = le.Epoch
	}
	ca := witness.Call{Service: service, Request: rq}
	err := ke.Begin(ag.set.Upstream, epoch, ca)
	var ans claim.Answer
	if err == nil {
		ans, err = ag.cl.Do(ctx, rq, func(context.Context) (claim.Answer, error) { return wo.run(ag, key) })
		if ag.dead.Load() {
			ke.Lost(ag.set.Upstream, ca)
			err = citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeLinkLost, "agent ended")
		} else {
			ke.End(ag.set.Upstream, ca, ans, err)
		}
	}
	wo.mu.Lock()
	first, ran := wo.runs[key]
	// An attempt that overlaps may run the key after this one was refused.
	alone = alone && wo.begun[key] == begun
	wo.attempts[key]--
	if err == nil {
		wo.served++
	}
	wo.mu.Unlock()
	wo.note("call %s at %s %s by entry %d: unflushed %v, error %v", key, ag.set.Upstream, ag.set.Instance, entry, ans.Unflushed, err)
	switch {
	case err == nil && string(ans.Body) != first:
		wo.fault("answer %q differs from the first answer %q", ans.Body, first)
	case citronstream.VerdictOf(err) == citronstream.NotRun && ran && alone:
		wo.fault("key %s ran (%s), but the refusal says NotRun: %s", key, first, err)
	}
	return ans, err
}

// close ends all processes and waits for the calls.
func (wo *world) close() {
	wo.table.SetDown(false)
	wo.table.SetSlow(0)
	for _, ag := range wo.agents {
		if !ag.dead.Load() {
			ag.kill()
		}
	}
	wo.calls.Wait()
}

// keyAt returns a UUIDv7 generated at the clock's time. The library's own
// generator never steps back, which a fake clock does.
func keyAt(at time.Time, n int) string {
	ms := at.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, n)
}
