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
	"github.com/citronstream/citronstream/internal/limit/comeback"
	"github.com/citronstream/citronstream/internal/limit/deathwatch"
	"github.com/citronstream/citronstream/internal/limit/poison"
	"github.com/citronstream/citronstream/internal/limit/sharebudget"
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
	// tickInterval is how often peers hear of this process's load on the engines.
	tickInterval = 100 * time.Millisecond
	// peersPerTick is the number of gateways up to which loads are told at each tick.
	peersPerTick = 16
	// sweepTicks times tickEvery is how often idle connections and lost peers are looked for.
	sweepTicks = 5
	// stateFetchDelay is how long a process waits for the store to tell of a
	// configuration that a peer has, before it asks the peer.
	stateFetchDelay = 150 * time.Millisecond
	// stateTimeout bounds the wait for a peer's state, which may be a megabyte over a slow link.
	stateTimeout = 4 * time.Second
	// ioTimeout bounds the probes of upstreams and the heads of requests to this process.
	ioTimeout = time.Second
	// minLinger is how long a leaving process still takes connections: the
	// platform asks each second whether it is ready and believes the second no.
	minLinger = 3 * time.Second
	// exitMargin is the end of the grace period that is left for the exit.
	exitMargin = 600 * time.Millisecond
	// ownersPerWindow is the number of ownersPerWindow that a queue may have within one window of
	// the retry budget; each keeps to its share.
	ownersPerWindow = 2
	// readsPerDrain is how often the list is read within the time in which a
	// leaving upstream must get its last request, also by an entry without peers.
	readsPerDrain = 2
	// cancelStagesLead is what the last refusals take until callers have them.
	cancelStagesLead = 400 * time.Millisecond
	// cancelRequestsLead is the same for the answers to requests that upstreams still work on.
	cancelRequestsLead = 150 * time.Millisecond
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
	refusals  *comeback.Registry
	deaths   *deathwatch.Watch
	budget   *sharebudget.Budget
	meter    *requests.Meter
	flow     *flow.Flow
	callerServer  *server.Server
	readyServer    *http.Server
	metricsServer  *http.Server
	discovery *discovery.Discovery

	ctx     context.Context
	cancel  context.CancelFunc
	background   sync.WaitGroup
	pendingChanges    chan []citronstream.Change
	leaving atomic.Bool
	// fetching says that a peer is asked for its state.
	fetching atomic.Bool
}

// maxPendingChanges bounds the changes that wait to be passed on. What is dropped
// comes with the peer's own reads.
const maxPendingChanges = 1024

// New returns a gateway that does not listen yet.
func New(ctx context.Context, clk citronstream.Clock, log logr.Logger, site *citronstream.Site) (*Gateway, error) {
	eng, err := nbconn.New()
	if err != nil {
		return nil, err
	}
	ga := &Gateway{
		clk: clk, log: log, site: site, boot: citronstream.NewID(), eng: eng,
		engines: engines.New(clk), holds: poison.New(clk, citronstream.DefaultLimits()),
		refusals: comeback.New(clk), meter: requests.New(),
		pendingChanges: make(chan []citronstream.Change, maxPendingChanges),
	}
	ga.ctx, ga.cancel = context.WithCancel(ctx)
	ga.pool = conns.New(clk, conns.WithMost(ga.maxIdleConns))
	store := platform.NewStore(site.Store)
	ga.view = view.New(clk, log, view.Decode{Routing: platform.DecodeRouting, Member: platform.DecodeMember, ConfigKey: platform.ConfigKey})
	ga.view.OnChange(ga.viewChanged)
	ga.follower = follow.New(clk, log, store, ga.view)
	ga.mesh = mesh.New(clk, log, eng, ga.peerInfo, ga.handle, ga.peerConnected)
	ga.discovery = discovery.New(clk, log, store, ga.mesh, site.Process, site.Peers, site.Zone)
	ga.deaths = deathwatch.New(ga.ctx, clk, probeUpstream, ga.upstreamDied)
	owned := sharebudget.New(clk, site.Bounds, func() int { return ownersPerWindow })
	ga.broker = broker.New(ga.ctx, clk, log, site.Peers, ga.view, ga.mesh, batch.New(clk, log, ga.pool), owned,
		broker.WithCapacity(site.Cores*site.LinkRate))
	ga.budget = sharebudget.New(clk, site.Bounds, ga.mesh.LiveCount)
	ga.flow = flow.New(clk, log, flow.Parts{
		Zone: site.Zone, RowLife: ga.listingTTL(), View: ga.view, Pool: ga.pool, Broker: ga.broker, Engines: ga.engines,
		Budget: ga.budget, Holds: ga.holds, Refused: ga.refusals, Deaths: ga.deaths, Observe: ga.meter.Observe,
	})
	ga.callerServer = server.New(log, ga.flow)
	return ga, nil
}

// maxIdleConns returns how many maxIdleConns connections to an upstream this process keeps:
// half of its share of those that the upstream accepts from all entries.
func (ga *Gateway) maxIdleConns(address string) int {
	routes, no := ga.view.Routes(), ga.view.Members().At(address)
	if routes == nil || no == nil {
		return 1
	}
	return max(1, routes.Services[no.Service].MaxConnections/(2*ga.mesh.LiveCount()))
}

// probeUpstream opens a connection to an upstream that may have died.
func probeUpstream(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, ioTimeout)
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
	if err := ga.callerServer.Start(ga.site.Callers); err != nil {
		return err
	}
	var err error
	if ga.readyServer, err = ga.listen(ga.site.Ready, http.HandlerFunc(ga.serveReady)); err != nil {
		return merry.Prepend(err, "readiness")
	}
	if ga.site.Metrics != "" {
		if ga.metricsServer, err = ga.listen(ga.site.Metrics, ga.metrics()); err != nil {
			return merry.Prepend(err, "metrics")
		}
	}
	for _, seed := range ga.site.Seeds {
		ga.mesh.AddPeer(seed, "")
	}
	ga.runInBackground(func(ctx context.Context) { ga.follower.Run(ctx, follow.ConfigTable(platform.TableConfig)) })
	ga.runInBackground(func(ctx context.Context) {
		ga.follower.Run(ctx, follow.MemberTable(platform.TableMembers, ga.mesh.LiveCount, ga.site.Bounds.Drain/readsPerDrain))
	})
	ga.runInBackground(ga.discovery.Run)
	ga.runInBackground(ga.runPeriodic)
	ga.runInBackground(ga.broadcastChanges)
	ga.log.Info("started", "callers", ga.site.Callers, "peers", ga.site.Peers, "zone", ga.site.Zone, "boot", ga.boot)
	return nil
}

// listen serves HTTP at an address until Stop.
func (ga *Gateway) listen(address string, handler http.Handler) (*http.Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	hs := &http.Server{Handler: handler, ReadHeaderTimeout: ioTimeout}
	ga.runInBackground(func(context.Context) {
		if err := hs.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
			ga.log.Error(err, "server ended", "address", address)
		}
	})
	return hs, nil
}

// runInBackground runs a part until its end.
func (ga *Gateway) runInBackground(part func(ctx context.Context)) {
	ga.background.Go(func() { part(ga.ctx) })
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

// peerInfo describes this process to peers.
func (ga *Gateway) peerInfo() citronstream.PeerInfo {
	return citronstream.PeerInfo{
		Name: ga.site.Process, Zone: ga.site.Zone, Address: ga.site.Peers, Boot: ga.boot,
		Leaving: ga.leaving.Load(), Capacity: ga.site.Cores * ga.site.LinkRate, Revision: ga.view.Revision(),
	}
}

// peerConnected asks a peer for what it knows and this process does not.
func (ga *Gateway) peerConnected(pe *mesh.Peer, li *link.Link) {
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
	ga.runInBackground(func(ctx context.Context) {
		ga.fetchState(ctx, pe, li, blind)
		ga.fetching.Store(false)
		ga.fetchNewest()
	})
}

// fetchNewest asks for a state again if a peer has a newer configuration still.
func (ga *Gateway) fetchNewest() {
	for _, pe := range ga.mesh.Peers() {
		if li := pe.Link(); li != nil && pe.Revision() > ga.view.Revision() {
			ga.peerConnected(pe, li)
			return
		}
	}
}

// fetchState takes over what a peer knows, unless the store tells in the meantime.
func (ga *Gateway) fetchState(ctx context.Context, pe *mesh.Peer, li *link.Link, blind bool) {
	if !blind {
		timer := ga.clk.NewTimer(stateFetchDelay)
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
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	var rows citronstream.Rows
	if err := li.Call(ctx, citronstream.MethodState, ga.peerInfo(), &rows); err != nil {
		ga.log.Info("peer gave no state", "peer", pe.Name(), "reason", err.Error())
		return
	}
	ga.view.Apply(rows.Changes, pe.Name())
}

// viewChanged passes on to the peers what the store told.
func (ga *Gateway) viewChanged(changes []citronstream.Change, source string) {
	if source != view.SourceStore {
		changes = nil // the reader has told everyone
	}
	select {
	case ga.pendingChanges <- changes:
	default:
	}
}

// broadcastChanges sends news to the peers and puts limits of a new configuration in force.
func (ga *Gateway) broadcastChanges(ctx context.Context) {
	told := uint64(0)
	for {
		var changes []citronstream.Change
		select {
		case <-ctx.Done():
			return
		case changes = <-ga.pendingChanges:
		}
		if routes := ga.view.Routes(); routes != nil && routes.Revision > told {
			told = routes.Revision
			ga.callerServer.Configure(routes.Limits)
			ga.mesh.Broadcast(citronstream.MethodPeerUpdate, ga.peerInfo())
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

// runPeriodic does what time alone asks for.
func (ga *Gateway) runPeriodic(ctx context.Context) {
	ticker := ga.clk.NewTicker(tickInterval)
	defer ticker.Stop()
	for count := 1; ; count++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		ga.view.Sweep()
		if count%ga.loadTicks() == 0 {
			ga.broadcastLoads()
		}
		if count%sweepTicks == 0 {
			ga.pool.Sweep()
			ga.mesh.Prune()
		}
	}
}

// loadTicks is the number of ticks between two words on loads. Each gateway tells
// all others, so that with many of them each has to say less.
func (ga *Gateway) loadTicks() int { return (ga.mesh.LiveCount() + peersPerTick - 1) / peersPerTick }

// broadcastLoads tells the peers the load of this process on the engines, of its
// queues, and what it has refused.
func (ga *Gateway) broadcastLoads() {
	places, changed := ga.engines.ChangedLoad()
	places.Refused = ga.refusals.News()
	if changed || len(places.Refused) > 0 {
		ga.mesh.Broadcast(citronstream.MethodEntryLoad, places)
	}
	if queues, busy := ga.broker.News(); busy {
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
			ga.refusals.Hear(places.Refused)
		}
	case citronstream.MethodDeath:
		var report poison.Report
		if re.Decode(&report) == nil {
			ga.recordDeath(report, from)
		}
	default:
		if !ga.broker.Handle(li, re) {
			re.ReplyError(citronstream.NewFault(citronstream.NotRun, citronstream.CodeNotFound, "unknown method %q", re.Method))
		}
	}
}

// listingTTL is how long the platform lists an upstream that has died: three
// heartbeats, and one until the list has been read.
func (ga *Gateway) listingTTL() time.Duration { return 4 * ga.site.Heartbeat }

// upstreamDied tells everyone of an upstream's death.
func (ga *Gateway) upstreamDied(report poison.Report) {
	ga.recordDeath(report, ga.site.Process)
	ga.mesh.Broadcast(citronstream.MethodDeath, report)
}

func (ga *Gateway) recordDeath(report poison.Report, source string) {
	held := ga.holds.Merge(report)
	if no := ga.view.Members().Node(report.Upstream); no != nil {
		no.MarkDead(ga.clk.Now(), ga.listingTTL())
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
	ga.mesh.Broadcast(citronstream.MethodPeerUpdate, ga.peerInfo())
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
		if passed >= ga.site.Bounds.Grace-exitMargin-cancelStagesLead {
			ga.flow.Finish()
		}
		if passed >= ga.site.Bounds.Grace-exitMargin-cancelRequestsLead {
			ga.flow.Abandon()
		}
		if passed >= ga.site.Bounds.Grace-exitMargin || passed >= minLinger && ga.flow.InFlight() == 0 && ga.broker.Idle() {
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
	ga.callerServer.Close()
	_ = ga.readyServer.Close() // nobody waits for an answer any more
	if ga.metricsServer != nil {
		_ = ga.metricsServer.Close()
	}
	ga.mesh.Close()
	ga.broker.Wait()
	ga.deaths.Wait()
	ga.background.Wait()
	ga.pool.Close()
	ga.eng.Stop()
}
