// Package server implements the agent: the process beside an upstream that
// queues the calls of all entries and runs them at its upstream.
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
	"github.com/citronstream/citronstream/internal/kernel/acceptor"
	"github.com/citronstream/citronstream/internal/limit/connlimit"
	"github.com/citronstream/citronstream/internal/limit/limitcount"
	"github.com/citronstream/citronstream/internal/limit/poison"
	"github.com/citronstream/citronstream/internal/peer/link"
	"github.com/citronstream/citronstream/internal/peer/nbconn"
	"github.com/go-logr/logr"
)

// sweepInterval is the interval of checks for waiting calls past their deadline
// and for calls whose entry has disconnected.
const sweepInterval = 100 * time.Millisecond

// Once runs keyed calls at most once.
type Once interface {
	// Do runs the call unless its key has run before, and returns the output
	// and the result of the first run.
	Do(ctx context.Context, ca citronstream.Call, run func(ctx context.Context) ([]byte, citronstream.Result)) ([]byte, citronstream.Result)
	// Recall returns the first answer of a key that has run, if it is in memory.
	Recall(ca *citronstream.Call) ([]byte, citronstream.Result, bool)
	// Verdict returns NotRun only if no earlier attempt has run the key.
	Verdict(ctx context.Context, ca *citronstream.Call) citronstream.Verdict
}

// Meter counts what calls consumed.
type Meter interface {
	Count(ca *citronstream.Call, re *citronstream.Result)
}

// Server is the agent of one upstream.
type Server struct {
	clk       citronstream.Clock
	log       logr.Logger
	eng       *nbconn.Engine
	up        citronstream.Upstream
	protocol  citronstream.Protocol
	queue     citronstream.Discipline
	once      Once
	holds     *poison.Holds
	meter     Meter
	rec       citronstream.Recorder
	token     string
	boot      string        // identifies this run of the process
	startedNs uint64        // start of the process, nanoseconds since 1970
	epoch     func() uint64 // 0 without a grant: entries then detect a restart by the new link
	version   func() uint64
	observe   func(entry string, version uint64)
	handler   func(li *link.Link, re *link.Request) bool
	slots     func() []int
	mergeLoad func(lo *citronstream.Load)
	models    func() []string
	wrap      func(link.Stream) link.Stream
	runLimit  time.Duration // of a non-idempotent call
	maxLinks  int
	conns     *connlimit.Limit
	hits      *limitcount.Counts

	attempts    *attempts.Table
	refusedKeys refusedKeys
	counts      Counts

	mu          sync.Mutex
	links       map[*link.Link]*peer
	running     map[string]*attempts.Attempt
	incarnation uint64 // number of deaths of the upstream so far
	down        bool
	// deathReported is closed when the entries have been told of the last death.
	deathReported chan struct{}
	leaving       bool
	cost          float64 // estimated cost units running
	loadSeq       uint64
	rate          float64 // cost units per second at full capacity, moving average

	dispatchMu sync.Mutex // held while dispatch starts waiting calls
	ended      bool       // guarded by dispatchMu: no more calls are started

	announcedSlots []int // used by the loop only
	runs           sync.WaitGroup
	ln             net.Listener
	ctx            context.Context
	cancel         context.CancelFunc
	done           chan struct{}
	stopped        atomic.Bool
}

// Counts are the counters of an agent.
type Counts struct {
	Accepted, Ran, Refused, Expired, Canceled, Orphaned, Unknown, Deaths, Queried, Offered, OffersDropped atomic.Uint64
	// Notices counts versions announced to entries, NoticesSkipped those that
	// the entry had announced itself.
	Notices, NoticesSkipped atomic.Uint64
}

// New returns an agent for one upstream. Start starts it.
func New(clk citronstream.Clock, eng *nbconn.Engine, up citronstream.Upstream, protocol citronstream.Protocol,
	queue citronstream.Discipline, opts ...Option,
) *Server {
	se := &Server{
		clk: clk, eng: eng, up: up, protocol: protocol, queue: queue, log: logr.Discard(),
		startedNs: uint64(clk.Now().UnixNano()), epoch: func() uint64 { return 0 }, version: func() uint64 { return 0 },
		observe: func(string, uint64) {}, slots: func() []int { return nil },
		mergeLoad: func(*citronstream.Load) {}, models: func() []string { return nil },
		handler:  func(*link.Link, *link.Request) bool { return false },
		wrap:     func(stream link.Stream) link.Stream { return stream },
		runLimit: runLimit, maxLinks: citronstream.DefaultLimits().MaxPeerConnections,
		attempts: attempts.New(clk), links: make(map[*link.Link]*peer), running: make(map[string]*attempts.Attempt),
		done: make(chan struct{}), boot: citronstream.NewID(),
	}
	for _, opt := range opts {
		opt(se)
	}
	se.hits = limitcount.New(clk, se.log, "peer refused by a limit")
	se.conns = connlimit.New(se.maxLinks, link.MaxNew, func() { se.hits.Hit(LimitConnections) })
	return se
}

// Start listens for entries. The agent ends when ctx ends or Stop is called.
func (se *Server) Start(ctx context.Context) error {
	ln, err := net.Listen("tcp", se.up.Agent)
	if err != nil {
		return merry.Prepend(err, "agent "+se.up.Name)
	}
	se.ln = acceptor.New(se.clk, se.log, ln)
	se.ctx, se.cancel = context.WithCancel(ctx)
	accepted := make(chan struct{})
	go se.accept(accepted)
	go se.loop(accepted)
	return nil
}

// Limits on peers, as named in metrics and log lines.
const (
	LimitConnections = "connections"
	LimitGreeting    = "greeting"
)

// LimitNames are the names of all limits on peers.
var LimitNames = []string{LimitConnections, LimitGreeting}

// LimitCount returns how often a limit on peers took effect.
func (se *Server) LimitCount(limit string) uint64 { return se.hits.Count(limit) }

// Done is closed when the agent has ended.
func (se *Server) Done() <-chan struct{} { return se.done }

// Counts returns the agent's counters.
func (se *Server) Counts() *Counts { return &se.counts }

// Drain announces that the upstream is leaving. Accepted calls still run.
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

// Stop closes the agent at once, without a drain.
func (se *Server) Stop() {
	if se.stopped.CompareAndSwap(false, true) {
		_ = se.ln.Close()
		se.cancel()
	}
	<-se.done
}

// Unbind closes the listener only. Tests use it for the case that the platform
// assigns the address to a successor while this process still runs.
func (se *Server) Unbind() error { return se.ln.Close() }

// Load returns the current load report.
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
	se.mergeLoad(&lo)
	// The routing table has a resolution of 0.001; more digits only make the
	// message longer.
	lo.Cost, lo.Rate = milli(lo.Cost), milli(lo.Rate)
	return lo
}

func milli(value float64) float64 { return math.Round(value*1000) / 1000 }

// Running returns the number of running calls.
func (se *Server) Running() int {
	se.mu.Lock()
	defer se.mu.Unlock()
	return len(se.running)
}

// Busy returns the number of waiting and running calls of a model.
func (se *Server) Busy(model string) int {
	count := 0
	for _, att := range se.attempts.Live() {
		if att.Call.Model == model {
			count++
		}
	}
	return count
}

// modelMissing reports whether the upstream is known not to have loaded the
// model.
func (se *Server) modelMissing(model string) bool {
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
		se.addLink(se.wrap(stream))
	}
}

func (se *Server) addLink(stream link.Stream) {
	pe := &peer{se: se, ready: make(chan struct{}), detached: make(chan struct{}), offers: make(chan offer, 1)}
	se.mu.Lock()
	defer se.mu.Unlock()
	li := link.New(se.ctx, se.clk, stream, pe.handle, link.WithGreeting(link.GreetingTime), link.WithIdlePing(pe.pingInterval), link.WithVersion(se.version, pe.observeVersion))
	pe.li, pe.place = li, se.conns.Add(li.Close)
	if pe.place == nil {
		li.Close()
	}
	close(pe.ready)
	se.links[li] = pe
	go pe.detachOnClose()
}

// loop sweeps until the agent ends.
func (se *Server) loop(accepted <-chan struct{}) {
	defer close(se.done)
	ticker := se.clk.NewTicker(sweepInterval)
	defer ticker.Stop()
	for se.ctx.Err() == nil {
		select {
		case <-se.ctx.Done():
		case <-ticker.Chan():
			se.sweep()
			se.announceSlots()
			se.dispatch()
		}
	}
	_ = se.ln.Close()
	<-accepted
	se.dispatchMu.Lock()
	se.ended = true
	se.dispatchMu.Unlock()
	se.runs.Wait()
	for _, pe := range se.peers() {
		<-pe.detached
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

// announceSlots sends the entries a load report when the agent's slots have
// changed.
func (se *Server) announceSlots() {
	slots := se.slots()
	if !slices.Equal(slots, se.announcedSlots) {
		se.announcedSlots = slots
		se.Broadcast(citronstream.MethodLoad, se.Load())
	}
}

// Links calls visit with the link of each entry that has sent its hello.
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

// AnnounceVersion announces a configuration version to the entries that have not announced
// it themselves.
func (se *Server) AnnounceVersion(version uint64) {
	for _, pe := range se.peers() {
		if pe.li.AnnounceVersion(version) {
			se.counts.Notices.Add(1)
		} else {
			se.counts.NoticesSkipped.Add(1)
		}
	}
}

func (se *Server) event(ev citronstream.Event) {
	if se.rec != nil {
		ev.Process = se.up.Name
		se.rec.Record(ev)
	}
}
