// Package server is the agent: the process beside an upstream that queues
// the calls of all entries and runs them at its upstream.
package server

import (
	"context"
	"math"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/agent/attempts"
	"github.com/citronstream/citronstream/internal/limit/poison"
	"github.com/citronstream/citronstream/internal/peer/link"
	"github.com/citronstream/citronstream/internal/peer/nbconn"
	"github.com/go-logr/logr"
)

// sweepEvery is how often waiting calls past their deadline and calls
// without an entry are looked for.
const sweepEvery = 100 * time.Millisecond

// Once runs keyed calls at most once.
type Once interface {
	// Do runs the call unless its key has run before, and returns the output
	// and the result of the first run.
	Do(ctx context.Context, ca citronstream.Call, run func(ctx context.Context) ([]byte, citronstream.Result)) ([]byte, citronstream.Result)
	// Recall returns the first answer of a key that has run, if it is in memory.
	Recall(ca *citronstream.Call) ([]byte, citronstream.Result, bool)
	// Verdict says whether a key that this attempt did not run may have run before.
	Verdict(ctx context.Context, ca *citronstream.Call) citronstream.Verdict
}

// Meter counts what calls consumed.
type Meter interface {
	Count(ca *citronstream.Call, re *citronstream.Result)
}

// Server is the agent of one upstream.
type Server struct {
	clk      citronstream.Clock
	log      logr.Logger
	eng      *nbconn.Engine
	up       citronstream.Upstream
	protocol citronstream.Protocol
	queue    citronstream.Discipline
	once     Once
	holds    *poison.Holds
	meter    Meter
	rec      citronstream.Recorder
	token    string
	boot     string        // names this run of the process
	began    uint64        // nanoseconds since 1970
	epoch    func() uint64 // 0 without a grant: entries then tell restarts by the link
	version  func() uint64
	observe  func(entry string, version uint64)
	extra    func(li *link.Link, re *link.Request) bool
	slots    func() []int
	fold     func(lo *citronstream.Load)
	models   func() []string
	wrap     func(link.Stream) link.Stream
	runLimit time.Duration // of a non-idempotent call

	attempts *attempts.Table
	fences   fences
	counts   Counts

	mu      sync.Mutex
	links   map[*link.Link]*peer
	running map[string]*attempts.Attempt
	inc     uint64 // incarnation of the upstream, grows with each death
	down    bool
	// reported is closed when the entries know of the last death.
	reported chan struct{}
	leaving  bool
	cost     float64 // estimated cost units running
	loadSeq  uint64
	rate     float64 // cost units a second at full use, decayed

	starting sync.Mutex // held while waiting calls are started
	ended    bool       // guarded by starting: no more calls are started

	told    []int // slots last announced; used by the loop only
	runs    sync.WaitGroup
	ln      net.Listener
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}
	stopped atomic.Bool
}

// Counts are the counters of an agent.
type Counts struct {
	Taken, Ran, Refused, Expired, Canceled, Orphaned, Buried, Deaths, Queried, Offered, OffersDropped atomic.Uint64
	// Notices are versions told to entries, NoticesSpared those that the entry had named already.
	Notices, NoticesSpared atomic.Uint64
}

// New returns an agent for one upstream. Start opens it.
func New(clk citronstream.Clock, eng *nbconn.Engine, up citronstream.Upstream, protocol citronstream.Protocol,
	queue citronstream.Discipline, opts ...Option,
) *Server {
	se := &Server{
		clk: clk, eng: eng, up: up, protocol: protocol, queue: queue, log: logr.Discard(),
		began: uint64(clk.Now().UnixNano()), epoch: func() uint64 { return 0 }, version: func() uint64 { return 0 },
		observe: func(string, uint64) {}, slots: func() []int { return nil },
		fold: func(*citronstream.Load) {}, models: func() []string { return nil },
		extra:    func(*link.Link, *link.Request) bool { return false },
		wrap:     func(stream link.Stream) link.Stream { return stream },
		runLimit: runLimit,
		attempts: attempts.New(clk), links: make(map[*link.Link]*peer), running: make(map[string]*attempts.Attempt),
		done: make(chan struct{}), boot: citronstream.NewID(),
	}
	for _, opt := range opts {
		opt(se)
	}
	return se
}

// Start listens for entries. The agent ends with ctx, or by Stop.
func (se *Server) Start(ctx context.Context) error {
	ln, err := net.Listen("tcp", se.up.Agent)
	if err != nil {
		return merry.Prepend(err, "agent "+se.up.Name)
	}
	se.ln = ln
	se.ctx, se.cancel = context.WithCancel(ctx)
	accepted := make(chan struct{})
	go se.accept(accepted)
	go se.loop(accepted)
	return nil
}

// Done is closed when the agent has ended.
func (se *Server) Done() <-chan struct{} { return se.done }

// Counts returns the agent's counters.
func (se *Server) Counts() *Counts { return &se.counts }

// Drain announces that the upstream is leaving. Calls that were taken still run.
func (se *Server) Drain() {
	se.mu.Lock()
	se.leaving = true
	se.mu.Unlock()
	se.event(citronstream.Event{Kind: "AgentLeaving", Upstream: se.up.Name})
	se.Broadcast(citronstream.MethodDrain, se.Load())
}

// Idle waits until no call waits or runs, or ctx ends.
func (se *Server) Idle(ctx context.Context) error {
	for len(se.attempts.Live()) > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-se.clk.After(10 * time.Millisecond):
		}
	}
	return ctx.Err()
}

// Stop closes the agent at once, as a crash would.
func (se *Server) Stop() {
	if se.stopped.CompareAndSwap(false, true) {
		_ = se.ln.Close()
		se.cancel()
	}
	<-se.done
}

// Unbind closes the listener and leaves the rest running, as when the platform
// gives the address to a successor while this process still runs.
func (se *Server) Unbind() error { return se.ln.Close() }

// Load returns the present load report.
func (se *Server) Load() citronstream.Load {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.loadSeq++
	lo := citronstream.Load{
		Upstream: se.up.Name, Seq: se.loadSeq, Running: len(se.running), Waiting: se.queue.Len(),
		Cost: se.cost + se.queue.Cost(), Ranks: citronstream.CompactRankCosts(se.queue.RankCosts()), Rate: se.rate, Capacity: se.up.Capacity,
		Leaving: se.leaving, Down: se.down, Slots: se.slots(), Epoch: se.epoch(), Version: se.version(),
		Models: se.models(),
	}
	se.fold(&lo)
	// The routing table counts in thousandths; more digits only lengthen the message.
	lo.Cost, lo.Rate = milli(lo.Cost), milli(lo.Rate)
	return lo
}

func milli(value float64) float64 { return math.Round(value*1000) / 1000 }

// Running returns the number of calls that run.
func (se *Server) Running() int {
	se.mu.Lock()
	defer se.mu.Unlock()
	return len(se.running)
}

// Busy returns the number of calls of a model that wait or run.
func (se *Server) Busy(model string) int {
	count := 0
	for _, at := range se.attempts.Live() {
		if at.Call.Model == model {
			count++
		}
	}
	return count
}

// unloaded says that the upstream is known not to have the model.
func (se *Server) unloaded(model string) bool {
	models := se.models()
	return model != "" && models != nil && !slices.Contains(models, model)
}

func (se *Server) accept(accepted chan<- struct{}) {
	defer close(accepted)
	for {
		nc, err := se.ln.Accept()
		if err != nil {
			return
		}
		stream, err := se.eng.Attach(nc)
		if err != nil {
			_ = nc.Close()
			continue
		}
		se.take(se.wrap(stream))
	}
}

func (se *Server) take(stream link.Stream) {
	pe := &peer{se: se, ready: make(chan struct{}), gone: make(chan struct{}), offers: make(chan offer, 1)}
	se.mu.Lock()
	defer se.mu.Unlock()
	li := link.New(se.ctx, se.clk, stream, pe.handle, link.WithIdlePing(pe.idleCheck), link.WithVersion(se.version, pe.heard))
	pe.li = li
	close(pe.ready)
	se.links[li] = pe
	go pe.watch()
}

// loop sweeps until the agent ends.
func (se *Server) loop(accepted <-chan struct{}) {
	defer close(se.done)
	ticker := se.clk.NewTicker(sweepEvery)
	defer ticker.Stop()
	for se.ctx.Err() == nil {
		select {
		case <-se.ctx.Done():
		case <-ticker.Chan():
			se.sweep()
			se.announce()
			se.dispatch()
		}
	}
	_ = se.ln.Close()
	<-accepted
	se.starting.Lock()
	se.ended = true
	se.starting.Unlock()
	se.runs.Wait()
	for _, pe := range se.peers() {
		<-pe.gone
	}
}

func (se *Server) peers() []*peer {
	se.mu.Lock()
	defer se.mu.Unlock()
	all := make([]*peer, 0, len(se.links))
	for _, pe := range se.links {
		all = append(all, pe)
	}
	return all
}

// announce tells the entries when the agent's slots have changed.
func (se *Server) announce() {
	slots := se.slots()
	if !slices.Equal(slots, se.told) {
		se.told = slots
		se.Broadcast(citronstream.MethodLoad, se.Load())
	}
}

// Links calls visit with the link of each entry that has said its name.
func (se *Server) Links(visit func(name string, li *link.Link)) {
	for _, pe := range se.peers() {
		if he, ok := pe.li.Session().(citronstream.Hello); ok {
			visit(he.Name, pe.li)
		}
	}
}

// Broadcast notifies all entries.
func (se *Server) Broadcast(method string, params any) {
	for _, pe := range se.peers() {
		_ = pe.li.Notify(method, params)
	}
}

// Tell names a configuration version to the entries that have not named it.
func (se *Server) Tell(version uint64) {
	for _, pe := range se.peers() {
		if pe.li.AnnounceVersion(version) {
			se.counts.Notices.Add(1)
		} else {
			se.counts.NoticesSpared.Add(1)
		}
	}
}

func (se *Server) event(ev citronstream.Event) {
	if se.rec != nil {
		ev.Process = se.up.Name
		se.rec.Record(ev)
	}
}
