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
	"github.com/citronstream/citronstream/internal/once/tracker"
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

// gate pauses or ends a process at its calls to the table and the upstream.
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

// wait blocks while the process is paused. It returns false if it has been killed.
func (ga *gate) wait() bool {
	ga.mu.Lock()
	closed := ga.closed
	ga.mu.Unlock()
	if closed != nil {
		<-closed
	}
	return !ga.dead.Load()
}

// agentTable is the table as used by one agent. The agent can be paused or killed
// before and after each call, and writes may take effect after their timeout.
type agentTable struct {
	*memtable.Table
	fl *fleet
	ga *gate
}

func (tb *agentTable) Get(ctx context.Context, key string) (citronstream.Row, error) {
	if !tb.ga.wait() {
		return citronstream.Row{}, errDead
	}
	row, err := tb.Table.Get(ctx, key)
	if !tb.ga.wait() {
		return citronstream.Row{}, errDead
	}
	return row, err
}

func (tb *agentTable) Write(ctx context.Context, opID string, ops ...citronstream.Op) error {
	if !tb.ga.wait() {
		return errDead
	}
	if tb.fl.forgetIDs.Load() {
		opID = "" // the table no longer recognises retries, so the rows must be read back
	}
	if tb.fl.lateWrites.Load() && rand.N(3) == 0 {
		tb.fl.delay(opID, ops)
		<-ctx.Done()
		return ctx.Err()
	}
	err := tb.Table.Write(ctx, opID, ops...)
	if !tb.ga.wait() {
		return errDead
	}
	return err
}

// agent is one agent process of an upstream.
type agent struct {
	gate
	fl         *fleet
	set        grant.Settings
	gr         *grant.Grant
	cl         *claim.Claim
	cancel     context.CancelFunc
	grantEnded <-chan struct{}
	claimEnded <-chan struct{}
}

func (ag *agent) kill() {
	ag.fl.log("kill %s", ag.set.Instance)
	ag.dead.Store(true)
	ag.cancel()
	ag.resume()
	<-ag.grantEnded
	<-ag.claimEnded
}

// fleet holds the agents of a service, the trackers of its entries and a platform.
type fleet struct {
	clk        citronstream.Clock
	table      *memtable.Table
	objects    store
	forgetIDs  atomic.Bool
	lateWrites atomic.Bool

	mu            sync.Mutex
	delayedWrites []func()
	list          map[string]bool
	agents        map[string]*agent
	trackers      []*tracker.Tracker
	calls         sync.WaitGroup
	serial        int
	runs          map[string]string // first answer by key
	attempts      map[string]int    // attempts in flight by key
	begun         map[string]int    // attempts so far by key
	faults        []string
	trace         []string
	served        int
	// outcomes holds the verdict of a key's next run, if it is not Ran.
	outcomes map[string]citronstream.Verdict
	opts     []claim.Option
}

func newFleet(clk citronstream.Clock, entries int, opts ...claim.Option) *fleet {
	fl := &fleet{
		clk: clk, table: memtable.New(clk), list: make(map[string]bool), agents: make(map[string]*agent),
		runs: make(map[string]string), attempts: make(map[string]int), begun: make(map[string]int), outcomes: make(map[string]citronstream.Verdict),
		opts: opts,
	}
	for range entries {
		fl.trackers = append(fl.trackers, fl.newTracker())
	}
	return fl
}

func (fl *fleet) newTracker() *tracker.Tracker {
	return tracker.New(fl.table, &fl.objects, fl.clk)
}

func (fl *fleet) delay(opID string, ops []citronstream.Op) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.delayedWrites = append(fl.delayedWrites, func() { _ = fl.table.Write(context.Background(), opID, ops...) })
}

// applyDelayed lets the delayed writes of all processes take effect.
func (fl *fleet) applyDelayed() {
	fl.mu.Lock()
	delayedWrites := fl.delayedWrites
	fl.delayedWrites = nil
	fl.mu.Unlock()
	for _, fn := range delayedWrites {
		fn()
	}
}

// List implements citronstream.Liveness.
func (fl *fleet) List(context.Context) (states []citronstream.InstanceState, _ error) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for name := range fl.list {
		states = append(states, citronstream.InstanceState{Instance: name})
	}
	return states, nil
}

// Resolve implements citronstream.Resolver over the trackers of the entries.
func (fl *fleet) Resolve(ctx context.Context, upstream string, epoch uint64) (time.Time, bool) {
	fl.mu.Lock()
	trackers := append([]*tracker.Tracker(nil), fl.trackers...)
	fl.mu.Unlock()
	var latest time.Time
	for _, tr := range trackers {
		at, err := tr.Resolve(ctx, upstream, epoch)
		fl.log("resolve %s %d: %s %v", upstream, epoch, at, err)
		if err != nil {
			return at, false
		}
		if at.After(latest) {
			latest = at
		}
	}
	return latest, true
}

// start starts an agent. With an empty address it gets one that is not in use yet.
func (fl *fleet) start(upstream, address string) *agent {
	fl.mu.Lock()
	fl.serial++
	if address == "" {
		address = fmt.Sprintf("10.0.0.%d:1", fl.serial)
	}
	set := grant.Settings{Upstream: upstream, Service: service, Instance: fmt.Sprintf("i-%d", fl.serial), Address: address}
	fl.list[set.Instance] = true
	fl.mu.Unlock()
	ag := &agent{fl: fl, set: set}
	tb := &agentTable{fl.table, fl, &ag.gate}
	ag.gr = grant.New(set, tb, fl, fl.clk, grant.WithResolver(fl))
	ag.cl = claim.New(ag.gr, tb, &fl.objects, fl.clk, append([]claim.Option{claim.WithFlushed(func(keys []claim.Flushed) {
		fl.mu.Lock()
		trackers := slices.Clone(fl.trackers)
		fl.mu.Unlock()
		for _, tr := range trackers {
			tr.Flushed(upstream, service, keys)
		}
	})}, fl.opts...)...)
	ctx, cancel := context.WithCancel(context.Background())
	ag.cancel = cancel
	ag.grantEnded, ag.claimEnded = ag.gr.Run(ctx), ag.cl.Run(ctx)
	fl.mu.Lock()
	fl.agents[upstream] = ag
	fl.trace = append(fl.trace, fmt.Sprintf("start %+v", set))
	fl.mu.Unlock()
	return ag
}

func (fl *fleet) owner(key string) *agent {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, ag := range fl.agents {
		if !ag.dead.Load() && ag.gr.OwnedSlot(grant.SlotOf("w", key)) != nil {
			return ag
		}
	}
	return nil
}

func (fl *fleet) log(format string, args ...any) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.trace = append(fl.trace, fl.clk.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

func (fl *fleet) fault(format string, args ...any) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.faults = append(fl.faults, fmt.Sprintf(format, args...))
}

// run is the upstream. It records each run and reports a key that runs twice.
func (fl *fleet) run(ag *agent, key string) (claim.Answer, error) {
	if !ag.wait() {
		return claim.Answer{}, citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeInternal, "dead")
	}
	fl.mu.Lock()
	verdict, ok := fl.outcomes[key]
	delete(fl.outcomes, key)
	if ok && verdict == citronstream.NotRun {
		fl.mu.Unlock()
		return claim.Answer{}, citronstream.NewFault(citronstream.NotRun, citronstream.CodeUnavailable, "refused")
	}
	first, ran := fl.runs[key]
	answer := fmt.Sprintf("%s by %s at %s", key, ag.set.Instance, fl.clk.Now())
	if !ran {
		fl.runs[key] = answer
	}
	fl.mu.Unlock()
	if ran {
		fl.fault("key ran twice: first %q, then %q", first, answer)
	}
	ag.wait()
	if ok && verdict == citronstream.MayHaveRun {
		return claim.Answer{}, citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeUpstreamDied, "died")
	}
	return claim.Answer{Status: 200, Body: []byte(answer)}, nil
}

// call sends a keyed call through an entry to an agent and checks the answer
// against the runs that the upstream recorded.
func (fl *fleet) call(ctx context.Context, entry int, ag *agent, key string) (claim.Answer, error) {
	rq := claim.Request{Workspace: "w", Key: key, KeyGiven: true, Digest: 1, Sent: fl.clk.Now()}
	fl.mu.Lock()
	tr := fl.trackers[entry]
	fl.attempts[key]++
	fl.begun[key]++
	alone, begun := fl.attempts[key] == 1, fl.begun[key]
	fl.mu.Unlock()
	epoch := uint64(0)
	if le := ag.gr.Lease(); le != nil {
		epoch = le.Epoch
	}
	ca := tracker.Call{Service: service, Request: rq}
	err := tr.Begin(ag.set.Upstream, epoch, ca)
	var ans claim.Answer
	if err == nil {
		ans, err = ag.cl.Do(ctx, rq, func(context.Context) (claim.Answer, error) { return fl.run(ag, key) })
		if ag.dead.Load() {
			tr.Lost(ag.set.Upstream, ca)
			err = citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeLinkLost, "agent ended")
		} else {
			tr.End(ag.set.Upstream, ca, ans, err)
		}
	}
	fl.mu.Lock()
	first, ran := fl.runs[key]
	// A concurrent attempt may run the key after this one was refused.
	alone = alone && fl.begun[key] == begun
	fl.attempts[key]--
	if err == nil {
		fl.served++
	}
	fl.mu.Unlock()
	fl.log("call %s at %s %s by entry %d: unflushed %v, error %v", key, ag.set.Upstream, ag.set.Instance, entry, ans.Unflushed, err)
	switch {
	case err == nil && string(ans.Body) != first:
		fl.fault("answer %q differs from the first answer %q", ans.Body, first)
	case citronstream.VerdictOf(err) == citronstream.NotRun && ran && alone:
		fl.fault("key %s ran (%s), but the refusal says NotRun: %s", key, first, err)
	}
	return ans, err
}

// close kills all agents and waits for the calls.
func (fl *fleet) close() {
	fl.table.SetDown(false)
	fl.table.SetSlow(0)
	for _, ag := range fl.agents {
		if !ag.dead.Load() {
			ag.kill()
		}
	}
	fl.calls.Wait()
}

// keyAt returns a UUIDv7 for the given time. The generator of the library never
// goes back in time, but fake clocks do.
func keyAt(at time.Time, n int) string {
	ms := at.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, n)
}
