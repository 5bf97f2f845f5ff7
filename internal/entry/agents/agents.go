// Package agents keeps an entry's links to the agents and runs attempts over
// them. If a link breaks, it queries the agent for the outcome of its attempts.
package agents

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/once/claim"
	"github.com/citronstream/citronstream/internal/once/tracker"
	"github.com/citronstream/citronstream/internal/peer/dialer"
	"github.com/citronstream/citronstream/internal/peer/link"
	"github.com/citronstream/citronstream/internal/peer/nbconn"
	"github.com/citronstream/citronstream/internal/route/table"
)

// Timeouts for finding out the outcome of an attempt.
const (
	// reconnectTimeout is how long an attempt waits for a new link to its agent.
	reconnectTimeout = 1500 * time.Millisecond
	// cancelTimeout bounds the wait for the answer to a cancel.
	cancelTimeout = 150 * time.Millisecond
)

// Bandwidth for heartbeats on idle links: bytes per second over all links, and
// bytes of one heartbeat in both directions, with TCP headers.
const (
	idleBytesPerSec = 1900
	pingBytes       = 300
)

// Counts are the counters of the pool.
type Counts struct {
	Attempts, Links, LinksLost, LinksSilent, Queried, Resolved, Unresolved, Late, Corrupt, Canceled atomic.Uint64
	// Notices counts versions announced to agents, NoticesSkipped those that the
	// agent had announced itself.
	Notices, NoticesSkipped atomic.Uint64
}

// Pool holds the links of one entry.
type Pool struct {
	clk          citronstream.Clock
	eng          *nbconn.Engine
	routes       *table.Table
	hello        func() citronstream.Hello
	handler      func(li *link.Link, re *link.Request)
	observe      func(upstream string, version uint64)
	upstreamDown func(upstream string)
	connected    func(upstream string, li *link.Link)
	rec          citronstream.Recorder
	tracker      Tracker
	counts       Counts

	ctx     context.Context
	mu      sync.Mutex
	byName  atomic.Pointer[map[string]*agent]
	flights sync.Map // AttemptID to *flight
}

type agent struct {
	up     citronstream.Upstream
	dial   *dialer.Dialer
	cancel context.CancelFunc
}

// Tracker tracks keyed calls that an agent may have run under its grant but has not
// recorded yet.
type Tracker interface {
	Begin(upstream string, epoch uint64, ca tracker.Call) error
	End(upstream string, ca tracker.Call, ans claim.Answer, err error)
	Lost(upstream string, ca tracker.Call)
}

// Option changes a Pool.
type Option func(*Pool)

// WithHandler sets a handler for messages that the pool itself does not handle.
func WithHandler(handler func(li *link.Link, re *link.Request)) Option {
	return func(po *Pool) { po.handler = handler }
}

// WithObserve sets a callback for the configuration version of each peer.
func WithObserve(observe func(upstream string, version uint64)) Option {
	return func(po *Pool) { po.observe = observe }
}

// WithUpstreamDown sets a callback for an upstream that died or whose agent's link
// closed: what was known of its cache may no longer hold.
func WithUpstreamDown(down func(upstream string)) Option {
	return func(po *Pool) { po.upstreamDown = down }
}

// WithConnected sets a callback for each new link after its hello.
func WithConnected(connected func(upstream string, li *link.Link)) Option {
	return func(po *Pool) { po.connected = connected }
}

// WithTracker sets the tracker of keyed calls that their agent has not recorded yet.
func WithTracker(tr Tracker) Option { return func(po *Pool) { po.tracker = tr } }

// WithRecorder sets the recorder of timeline events.
func WithRecorder(rec citronstream.Recorder) Option { return func(po *Pool) { po.rec = rec } }

// New returns a pool without links. Hello returns the hello that the entry sends.
func New(ctx context.Context, clk citronstream.Clock, eng *nbconn.Engine, routes *table.Table,
	hello func() citronstream.Hello, opts ...Option,
) *Pool {
	po := &Pool{
		clk: clk, eng: eng, routes: routes, hello: hello, ctx: ctx,
		handler: func(_ *link.Link, re *link.Request) {
			re.ReplyError(citronstream.NewFault(citronstream.NotRun, citronstream.CodeNotFound, "unknown method %q", re.Method))
		},
		observe:      func(string, uint64) {},
		upstreamDown: func(string) {},
		connected:    func(string, *link.Link) {},
	}
	for _, opt := range opts {
		opt(po)
	}
	po.byName.Store(&map[string]*agent{})
	return po
}

// Counts returns the pool's counters.
func (po *Pool) Counts() *Counts { return &po.counts }

// Replace opens links to the agents of the given upstreams and closes all others.
func (po *Pool) Replace(upstreams []citronstream.Upstream) {
	po.mu.Lock()
	defer po.mu.Unlock()
	old := *po.byName.Load()
	next := make(map[string]*agent, len(upstreams))
	for _, up := range upstreams {
		if ag, ok := old[up.Name]; ok && ag.up.Agent == up.Agent {
			next[up.Name] = ag
			continue
		}
		next[up.Name] = po.open(up)
	}
	po.byName.Store(&next)
	for name, ag := range old {
		if next[name] != ag {
			ag.cancel()
		}
	}
}

func (po *Pool) open(up citronstream.Upstream) *agent {
	ctx, cancel := context.WithCancel(po.ctx)
	ag := &agent{up: up, cancel: cancel}
	po.routes.Mark(up.Name, table.FromLink, table.Gone)
	ag.dial = dialer.New(ctx, po.clk, po.eng, up.Agent, po.handle,
		dialer.WithUp(func(ctx context.Context, li *link.Link) error { return po.handshake(ctx, up.Name, li) }),
		dialer.WithDown(func(err error) { po.linkClosed(up.Name, err) }),
		dialer.WithLinkOptions(link.WithIdlePing(po.pingInterval),
			link.WithVersion(func() uint64 { return po.hello().Version }, func(_ *link.Link, version uint64) { po.observe(up.Name, version) })))
	return ag
}

// Close ends all links and waits for them.
func (po *Pool) Close() {
	old := *po.byName.Load()
	po.Replace(nil)
	for _, ag := range old {
		<-ag.dial.Done()
	}
}

func (po *Pool) handshake(ctx context.Context, name string, li *link.Link) error {
	var he citronstream.Hello
	if err := li.Call(ctx, citronstream.MethodHello, po.hello(), &he); err != nil {
		return err
	}
	if he.Name != name {
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeStale, "agent is %q, not %q", he.Name, name)
	}
	li.SetSession(he)
	li.NotePeerVersion(he.Version)
	po.counts.Links.Add(1)
	po.routes.Connected(name, he.Epoch)
	if he.Load != nil {
		po.routes.Report(*he.Load)
	}
	po.observeClock(he.Clock)
	po.observe(name, he.Version)
	po.connected(name, li)
	return nil
}

func (po *Pool) linkClosed(name string, err error) {
	po.upstreamDown(name)
	po.routes.Mark(name, table.FromLink, table.Gone)
	if errors.Is(err, link.ErrSilent) {
		po.routes.Mark(name, table.FromHeartbeat, table.Suspect)
		po.counts.LinksSilent.Add(1)
		po.event(citronstream.Event{Kind: "LinkSilent", Upstream: name})
	} else if errors.Is(err, link.ErrLost) {
		po.counts.LinksLost.Add(1)
		po.event(citronstream.Event{Kind: "LinkLost", Upstream: name})
	}
}

// handle handles a message from an agent. It runs on the link's read goroutine.
func (po *Pool) handle(li *link.Link, re *link.Request) {
	switch re.Method {
	case citronstream.MethodChunk:
		var ch citronstream.Chunk
		if re.Decode(&ch) != nil {
			return
		}
		fl, ok := po.flights.Load(ch.AttemptID)
		if !ok || !fl.(*flight).chunk(ch) {
			po.counts.Late.Add(1)
		}
	case citronstream.MethodLoad, citronstream.MethodDrain:
		var lo citronstream.Load
		if re.Decode(&lo) == nil {
			li.NotePeerVersion(lo.Version)
			po.routes.Report(lo)
			if lo.Down {
				po.upstreamDown(lo.Upstream)
			}
			po.observe(lo.Upstream, lo.Version)
		}
	default:
		po.handler(li, re)
	}
}

func (po *Pool) pingInterval() time.Duration {
	return max(time.Second, time.Duration(len(*po.byName.Load()))*pingBytes*time.Second/idleBytesPerSec)
}

// Links calls visit with each open link.
func (po *Pool) Links(visit func(upstream string, li *link.Link)) {
	for name, ag := range *po.byName.Load() {
		if li := ag.dial.Link(); li != nil {
			visit(name, li)
		}
	}
}

// AnnounceVersion announces a configuration version to the agents that have not announced it
// themselves.
func (po *Pool) AnnounceVersion(version uint64) {
	po.Links(func(_ string, li *link.Link) {
		if li.AnnounceVersion(version) {
			po.counts.Notices.Add(1)
		} else {
			po.counts.NoticesSkipped.Add(1)
		}
	})
}

// Missing returns the number of agents without an open link.
func (po *Pool) Missing() int {
	missing := 0
	for _, ag := range *po.byName.Load() {
		if ag.dial.Link() == nil {
			missing++
		}
	}
	return missing
}

// Link returns the open link to an upstream's agent, or nil.
func (po *Pool) Link(upstream string) *link.Link {
	ag, ok := (*po.byName.Load())[upstream]
	if !ok {
		return nil
	}
	return ag.dial.Link()
}

func (po *Pool) event(ev citronstream.Event) {
	if po.rec != nil {
		po.rec.Record(ev)
	}
}

func (po *Pool) observeClock(clock uint64) {
	if po.rec != nil && clock != 0 {
		po.rec.Observe(clock)
	}
}
