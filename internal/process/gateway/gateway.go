// Package gateway puts the parts of an entry on the users' platform together.
package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/discovery"
	"github.com/citronstream/citronstream/internal/fleet/follow"
	"github.com/citronstream/citronstream/internal/fleet/mesh"
	"github.com/citronstream/citronstream/internal/fleet/view"
	"github.com/citronstream/citronstream/internal/ingress/flow"
	"github.com/citronstream/citronstream/internal/ingress/server"
	"github.com/citronstream/citronstream/internal/limit/deathdetect"
	"github.com/citronstream/citronstream/internal/limit/firstattempt"
	"github.com/citronstream/citronstream/internal/limit/poison"
	"github.com/citronstream/citronstream/internal/limit/siteretrybudget"
	"github.com/citronstream/citronstream/internal/observe/requests"
	"github.com/citronstream/citronstream/internal/peer/link"
	"github.com/citronstream/citronstream/internal/peer/nbconn"
	"github.com/citronstream/citronstream/internal/route/engines"
	"github.com/citronstream/citronstream/internal/stage/broker"
	"github.com/citronstream/citronstream/internal/upstream/batch"
	"github.com/citronstream/citronstream/internal/upstream/conns"
	"github.com/citronstream/citronstream/platform"
	"github.com/go-logr/logr"
)

const (
	// tickEvery is how often peers hear of this process's load on the engines.
	tickEvery = 100 * time.Millisecond
	// loadPeers is the number of gateways up to which loads are told at each tick.
	loadPeers = 16
	// sweepTicks times tickEvery is how often idle connections and lost peers are looked for.
	sweepTicks = 5
	// fetchAfter is how long a process waits for the store to tell of a
	// configuration that a peer has, before it asks the peer.
	fetchAfter = 150 * time.Millisecond
	// stateTime bounds the wait for a peer's state, which may be a megabyte over a slow link.
	stateTime = 4 * time.Second
	// askTime bounds the probes of upstreams and the heads of requests to this process.
	askTime = time.Second
	// lingerLeast is how long a leaving process still takes connections: the
	// platform asks each second whether it is ready and believes the second no.
	lingerLeast = 3 * time.Second
	// graceMargin is the end of the grace period that is left for the exit.
	graceMargin = 600 * time.Millisecond
	// owners is the number of owners that a queue may have within one window of
	// the retry budget; each keeps to its share.
	owners = 2
	// drainReads is how often the list is read within the time in which a
	// leaving upstream must get its last request, also by an entry without peers.
	drainReads = 2
	// finishTime is what the last refusals take until callers have them.
	finishTime = 400 * time.Millisecond
	// abandonTime is the same for the answers to requests that upstreams still work on.
	abandonTime = 150 * time.Millisecond
	drainPoll   = 20 * time.Millisecond
)

// Gateway is one process.
type Gateway struct {
	clk  citronstream.Clock
	log  logr.Logger
	site *citronstream.Site
	boot string

	eng      *nbconn.Engine
	view     *view.View
	follower *follow.Follower
	mesh     *mesh.Mesh
	pool     *conns.Pool
	broker   *broker.Broker
	engines  *engines.Picker
	holds    *poison.Holds
	refused  *firstattempt.Registry
	deaths   *deathdetect.Detector
	budget   *siteretrybudget.Budget
	meter    *requests.Meter
	flow     *flow.Flow
	callers  *server.Server
	ready    *http.Server
	scrapes  *http.Server
	register *discovery.Discovery

	ctx     context.Context
	cancel  context.CancelFunc
	parts   sync.WaitGroup
	news    chan []citronstream.Change
	leaving atomic.Bool
	// fetching says that a peer is asked for its state.
	fetching atomic.Bool
}

// newsWaiting bounds the changes that wait to be passed on. What is dropped
// comes with the peer's own reads.
const newsWaiting = 1024

// New returns a gateway that does not listen yet.
func New(ctx context.Context, clk citronstream.Clock, log logr.Logger, site *citronstream.Site) (*Gateway, error) {
	eng, err := nbconn.New()
	if err != nil {
		return nil, err
	}
	ga := &Gateway{
		clk: clk, log: log, site: site, boot: citronstream.NewID(), eng: eng,
		engines: engines.New(clk), holds: poison.New(clk, citronstream.DefaultLimits()),
		refused: firstattempt.New(clk), meter: requests.New(),
		news: make(chan []citronstream.Change, newsWaiting),
	}
	ga.ctx, ga.cancel = context.WithCancel(ctx)
	ga.pool = conns.New(clk, conns.WithMaxIdle(ga.idle))
	store := platform.NewStore(site.Store)
	ga.view = view.New(clk, log, view.Decode{Routing: platform.DecodeRouting, Member: platform.DecodeMember, ConfigKey: platform.ConfigKey})
	ga.view.OnChange(ga.changed)
	ga.follower = follow.New(clk, log, store, ga.view)
	ga.mesh = mesh.New(clk, log, eng, ga.meeting, ga.handle, ga.met)
	ga.register = discovery.New(clk, log, store, ga.mesh, site.Process, site.Peers, site.Zone)
	ga.deaths = deathdetect.New(ga.ctx, clk, probe, ga.died)
	owned := siteretrybudget.New(clk, site.Bounds, func() int { return owners })
	ga.broker = broker.New(ga.ctx, clk, log, site.Peers, ga.view, ga.mesh, batch.New(clk, log, ga.pool), owned,
		broker.WithCapacity(site.Cores*site.LinkRate))
	ga.budget = siteretrybudget.New(clk, site.Bounds, ga.mesh.LiveCount)
	ga.flow = flow.New(clk, log, flow.Dependencies{
		Zone: site.Zone, ListingTTL: ga.rowLife(), View: ga.view, Pool: ga.pool, Broker: ga.broker, Engines: ga.engines,
		Budget: ga.budget, Holds: ga.holds, Refused: ga.refused, Deaths: ga.deaths, Observe: ga.meter.Observe,
	})
	ga.callers = server.New(log, ga.flow)
	return ga, nil
}

// idle returns how many idle connections to an upstream this process keeps:
// half of its share of those that the upstream accepts from all entries.
func (ga *Gateway) idle(address string) int {
	routes, no := ga.view.Routes(), ga.view.Members().At(address)
	if routes == nil || no == nil {
		return 1
	}
	return max(1, routes.Services[no.Service].MaxConnections/(2*ga.mesh.LiveCount()))
}

// probe opens a connection to an upstream that may have died.
func probe(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	var dialer net.Dialer
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return nc.Close()
}

// Start listens and begins to follow the store.
func (ga *Gateway) Start() error {
	if err := ga.mesh.Start(ga.ctx, ga.site.Peers); err != nil {
		return err
	}
	if err := ga.callers.Start(ga.site.Callers); err != nil {
		return err
	}
	var err error
	if ga.ready, err = ga.listen(ga.site.Ready, http.HandlerFunc(ga.serveReady)); err != nil {
		return merry.Prepend(err, "readiness")
	}
	if ga.site.Metrics != "" {
		if ga.scrapes, err = ga.listen(ga.site.Metrics, ga.metrics()); err != nil {
			return merry.Prepend(err, "metrics")
		}
	}
	for _, seed := range ga.site.Seeds {
		ga.mesh.AddPeer(seed, "")
	}
	ga.own(func(ctx context.Context) { ga.follower.Run(ctx, follow.ConfigTable(platform.TableConfig)) })
	ga.own(func(ctx context.Context) {
		ga.follower.Run(ctx, follow.MemberTable(platform.TableMembers, ga.mesh.LiveCount, ga.site.Bounds.Drain/drainReads))
	})
	ga.own(ga.register.Run)
	ga.own(ga.tick)
	ga.own(ga.tell)
	ga.log.Info("started", "callers", ga.site.Callers, "peers", ga.site.Peers, "zone", ga.site.Zone, "boot", ga.boot)
	return nil
}

// listen serves HTTP at an address until Stop.
func (ga *Gateway) listen(address string, handler http.Handler) (*http.Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	hs := &http.Server{Handler: handler, ReadHeaderTimeout: askTime}
	ga.own(func(context.Context) {
		if err := hs.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
			ga.log.Error(err, "server ended", "address", address)
		}
	})
	return hs, nil
}

// own runs a part until its end.
func (ga *Gateway) own(part func(ctx context.Context)) {
	ga.parts.Go(func() { part(ga.ctx) })
}

// serveReady answers the platform's question whether to send new connections.
func (ga *Gateway) serveReady(wr http.ResponseWriter, _ *http.Request) {
	if !ga.Ready() {
		wr.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	wr.WriteHeader(http.StatusOK)
}

// Ready reports whether the process can serve.
func (ga *Gateway) Ready() bool {
	return !ga.leaving.Load() && ga.view.Routes() != nil && ga.view.Members().Len() > 0
}

// meeting describes this process to peers.
func (ga *Gateway) meeting() citronstream.PeerInfo {
	return citronstream.PeerInfo{
		Name: ga.site.Process, Zone: ga.site.Zone, Address: ga.site.Peers, Boot: ga.boot,
		Leaving: ga.leaving.Load(), Capacity: ga.site.Cores * ga.site.LinkRate, Revision: ga.view.Revision(),
	}
}

// met asks a peer for what it knows and this process does not.
func (ga *Gateway) met(pe *mesh.Peer, li *link.Link) {
	if ga.ctx.Err() != nil {
		return
	}
	blind := ga.follower.StoreDown() || ga.view.Members().Len() == 0
	if pe.Revision() <= ga.view.Revision() && !blind {
		return
	}
	// One at a time: a state may be as large as what a slow link carries in a second.
	if !ga.fetching.CompareAndSwap(false, true) {
		return
	}
	ga.own(func(ctx context.Context) {
		ga.fetch(ctx, pe, li, blind)
		ga.fetching.Store(false)
		ga.recheck()
	})
}

// recheck asks for a state again if a peer has a newer configuration still.
func (ga *Gateway) recheck() {
	for _, pe := range ga.mesh.Peers() {
		if li := pe.Link(); li != nil && pe.Revision() > ga.view.Revision() {
			ga.met(pe, li)
			return
		}
	}
}

// fetch takes over what a peer knows, unless the store tells in the meantime.
func (ga *Gateway) fetch(ctx context.Context, pe *mesh.Peer, li *link.Link, blind bool) {
	if !blind {
		timer := ga.clk.NewTimer(fetchAfter)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return
		case <-timer.Chan():
		}
		if pe.Revision() <= ga.view.Revision() {
			return
		}
	}
	ctx, cancel := context.WithTimeout(ctx, stateTime)
	defer cancel()
	var rows citronstream.Rows
	if err := li.Call(ctx, citronstream.MethodState, ga.meeting(), &rows); err != nil {
		ga.log.Info("peer gave no state", "peer", pe.Name(), "reason", err.Error())
		return
	}
	ga.view.Apply(rows.Changes, pe.Name())
}

// changed passes on to the peers what the store told.
func (ga *Gateway) changed(changes []citronstream.Change, source string) {
	if source != view.SourceStore {
		changes = nil // the reader has told everyone
	}
	select {
	case ga.news <- changes:
	default:
	}
}

// tell sends news to the peers and puts limits of a new configuration in force.
func (ga *Gateway) tell(ctx context.Context) {
	told := uint64(0)
	for {
		var changes []citronstream.Change
		select {
		case <-ctx.Done():
			return
		case changes = <-ga.news:
		}
		if routes := ga.view.Routes(); routes != nil && routes.Revision > told {
			told = routes.Revision
			ga.callers.Configure(routes.Limits)
			ga.mesh.Broadcast(citronstream.MethodPeerUpdate, ga.meeting())
		}
		var members []citronstream.Change
		for _, ch := range changes {
			if ch.Key != platform.ConfigKey {
				members = append(members, ch)
			}
		}
		if len(members) > 0 {
			ga.mesh.Broadcast(citronstream.MethodRows, citronstream.Rows{Changes: members})
		}
	}
}

// tick does what time alone asks for.
func (ga *Gateway) tick(ctx context.Context) {
	ticker := ga.clk.NewTicker(tickEvery)
	defer ticker.Stop()
	for count := 1; ; count++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		ga.view.Sweep()
		if count%ga.stride() == 0 {
			ga.tellLoads()
		}
		if count%sweepTicks == 0 {
			ga.pool.Sweep()
			ga.mesh.Prune()
		}
	}
}

// stride is the number of ticks between two words on loads. Each gateway tells
// all others, so that with many of them each has to say less.
func (ga *Gateway) stride() int { return (ga.mesh.LiveCount() + loadPeers - 1) / loadPeers }

// tellLoads tells the peers the load of this process on the engines, of its
// queues, and what it has refused.
func (ga *Gateway) tellLoads() {
	places, changed := ga.engines.ChangedLoad()
	places.Refused = ga.refused.TakeUnsent()
	if changed || len(places.Refused) > 0 {
		ga.mesh.Broadcast(citronstream.MethodEntryLoad, places)
	}
	if queues, busy := ga.broker.ChangedLoads(); busy {
		ga.mesh.Broadcast(citronstream.MethodQueueLoads, queues)
	}
}

// handle takes the messages of peers.
func (ga *Gateway) handle(from string, li *link.Link, re *link.Request) {
	switch re.Method {
	case citronstream.MethodState:
		var mt citronstream.PeerInfo
		if err := re.Decode(&mt); err != nil {
			re.ReplyError(err)
			return
		}
		re.Reply(citronstream.Rows{Changes: ga.view.State(mt.Revision)})
	case citronstream.MethodRows:
		var rows citronstream.Rows
		if re.Decode(&rows) == nil {
			ga.view.Apply(rows.Changes, from)
		}
	case citronstream.MethodEntryLoad:
		var places citronstream.EntryLoad
		if re.Decode(&places) == nil {
			ga.engines.UpdateLoad(from, places)
			ga.refused.Merge(places.Refused)
		}
	case citronstream.MethodDeath:
		var report poison.Report
		if re.Decode(&report) == nil {
			ga.hold(report, from)
		}
	default:
		if !ga.broker.Handle(li, re) {
			re.ReplyError(citronstream.NewFault(citronstream.NotRun, citronstream.CodeNotFound, "unknown method %q", re.Method))
		}
	}
}

// rowLife is how long the platform lists an upstream that has died: three
// heartbeats, and one until the list has been read.
func (ga *Gateway) rowLife() time.Duration { return 4 * ga.site.Heartbeat }

// died tells everyone of an upstream's death.
func (ga *Gateway) died(report poison.Report) {
	ga.hold(report, ga.site.Process)
	ga.mesh.Broadcast(citronstream.MethodDeath, report)
}

func (ga *Gateway) hold(report poison.Report, source string) {
	held := ga.holds.Merge(report)
	if no := ga.view.Members().Node(report.Upstream); no != nil {
		no.MarkDead(ga.clk.Now(), ga.rowLife())
	}
	ga.log.Info("upstream died", "upstream", report.Upstream, "death", report.ID, "running", len(report.Running), "held", len(held), "source", source)
}

// Leave takes the process out of service: it says that it is not ready, hands
// its queues over and answers what it has read.
func (ga *Gateway) Leave() {
	if ga.leaving.Swap(true) {
		return
	}
	ga.flow.Leave()
	ga.mesh.Broadcast(citronstream.MethodPeerUpdate, ga.meeting())
	ga.broker.Leave()
}

// Drain leaves and waits until all requests are answered, at most until the
// end of the grace period.
func (ga *Gateway) Drain() {
	began := ga.clk.Now()
	ga.log.Info("leaving", "in flight", ga.flow.InFlight())
	ga.Leave()
	for {
		passed := ga.clk.Since(began)
		if passed >= ga.site.Bounds.Grace-graceMargin-finishTime {
			ga.flow.CancelStages()
		}
		if passed >= ga.site.Bounds.Grace-graceMargin-abandonTime {
			ga.flow.CancelRequests()
		}
		if passed >= ga.site.Bounds.Grace-graceMargin || passed >= lingerLeast && ga.flow.InFlight() == 0 && ga.broker.Idle() {
			break
		}
		ga.clk.Sleep(drainPoll)
	}
	ga.log.Info("drained", "in flight", ga.flow.InFlight(), "took", ga.clk.Since(began).String())
}

// Stop ends the process's parts at once.
func (ga *Gateway) Stop() {
	ga.leaving.Store(true)
	ga.cancel()
	ga.callers.Close()
	_ = ga.ready.Close() // nobody waits for an answer any more
	if ga.scrapes != nil {
		_ = ga.scrapes.Close()
	}
	ga.mesh.Close()
	ga.broker.Wait()
	ga.deaths.Wait()
	ga.parts.Wait()
	ga.pool.Close()
	ga.eng.Stop()
}
