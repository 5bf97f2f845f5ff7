// Package gateway assembles an entry process on the users' platform.
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
	"github.com/citronstream/citronstream/internal/fleet/boottime"
	"github.com/citronstream/citronstream/internal/fleet/discovery"
	"github.com/citronstream/citronstream/internal/fleet/follow"
	"github.com/citronstream/citronstream/internal/fleet/mesh"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/citronstream/citronstream/internal/fleet/snapshot"
	"github.com/citronstream/citronstream/internal/fleet/view"
	"github.com/citronstream/citronstream/internal/fleet/wakeup"
	"github.com/citronstream/citronstream/internal/ingress/flow"
	"github.com/citronstream/citronstream/internal/ingress/server"
	"github.com/citronstream/citronstream/internal/kernel/acceptor"
	"github.com/citronstream/citronstream/internal/limit/callermemory"
	"github.com/citronstream/citronstream/internal/limit/coldrate"
	"github.com/citronstream/citronstream/internal/limit/deathdetect"
	"github.com/citronstream/citronstream/internal/limit/firstattempt"
	"github.com/citronstream/citronstream/internal/limit/limitcount"
	"github.com/citronstream/citronstream/internal/limit/partquarantine"
	"github.com/citronstream/citronstream/internal/limit/poison"
	"github.com/citronstream/citronstream/internal/limit/siteretrybudget"
	"github.com/citronstream/citronstream/internal/observe/requests"
	"github.com/citronstream/citronstream/internal/peer/link"
	"github.com/citronstream/citronstream/internal/peer/nbconn"
	"github.com/citronstream/citronstream/internal/route/engines"
	"github.com/citronstream/citronstream/internal/route/regions"
	"github.com/citronstream/citronstream/internal/route/zoneramp"
	"github.com/citronstream/citronstream/internal/stage/broker"
	"github.com/citronstream/citronstream/internal/upstream/batch"
	"github.com/citronstream/citronstream/internal/upstream/conns"
	"github.com/citronstream/citronstream/platform"
	"github.com/go-logr/logr"
)

const (
	// tickInterval is the interval of the periodic tasks, such as sending loads to peers.
	tickInterval = 100 * time.Millisecond
	// peerUnsent bounds the bytes that wait in the kernel for a peer. With 300 peers on one
	// link of 10 Mbit/s, 4 KB for each take a second.
	peerUnsent = 4 << 10
	// peersPerTick is the number of gateways up to which loads are sent at each tick.
	peersPerTick = 16
	// sweepTicks is the number of ticks between removals of idle connections and lost peers.
	sweepTicks = 5
	// ioTimeout bounds probes of upstreams and the reading of request headers.
	ioTimeout = time.Second
	// ownersPerWindow is the number of owners that a queue may have within one window
	// of the retry budget. Each uses at most its share of the budget.
	ownersPerWindow = 2
	// maxAcceptShortage is for how long callers' connections may not be accepted while the
	// process still reports ready. The platform looks each second and acts on the second
	// failure, so that it then stops sending callers within 4 s.
	maxAcceptShortage = 2 * time.Second
	// readsPerDrain is the number of list reads within the time in which requests to
	// a leaving upstream must stop, also for an entry without peers. The same holds
	// for the configuration and the time in which it must be in force.
	readsPerDrain = 2
	// silencePerBound is the part of the bound within which a change must apply after
	// which an open connection to the store counts as silent. Half of the bound has passed
	// by then at most; the last quarter is for the read on a new connection.
	silencePerBound = 4
)

// Gateway is an entry process on the users' platform.
type Gateway struct {
	clk  citronstream.Clock
	log  logr.Logger
	site *citronstream.Site
	boot string
	// began is the start of the process.
	began time.Time

	eng           *nbconn.Engine
	view          *view.View
	follower      *follow.Follower
	mesh          *mesh.Mesh
	pool          *conns.Pool
	slow          map[*node.Node]bool // upstreams that are logged as slow; used by runPeriodic only
	broker        *broker.Broker
	engines       *engines.Picker
	holds         *poison.Holds
	parts         *partquarantine.Quarantine
	refusals      *firstattempt.Registry
	deaths        *deathdetect.Detector
	cold          *coldrate.Limiter
	ramp          *zoneramp.Ramp
	suspended     func() time.Duration
	evacKnown     atomic.Pointer[zoneramp.Known] // up to when evacuations were known at the last tick
	listAsked     time.Time                      // when the list of gateways was last asked for by sweepCold
	listDoubt     string                         // why it may be incomplete, as logged last; used by sweepCold only
	budget        *siteretrybudget.Budget
	meter         *requests.Meter
	flow          *flow.Flow
	memory        *callermemory.Account // nil if the settings state no memory
	limits        *limitcount.Counts
	callerServer  *server.Server
	readyServer   *http.Server
	metricsServer *http.Server
	listeners     []*acceptor.Listener // set by Start
	discovery     *discovery.Discovery
	snapshot      *snapshot.Snapshot
	wakeup        *wakeup.Gate

	ctx         context.Context
	cancel      context.CancelFunc
	background  sync.WaitGroup
	pendingRows chan citronstream.Rows
	early       earlyRows
	leaving     atomic.Bool
	// storeRestores counts the returns of the store from an older copy.
	storeRestores atomic.Uint64
	// fetching is true while a peer's state is being fetched.
	fetching atomic.Bool
}

// New returns a gateway that does not listen yet.
func New(ctx context.Context, clk citronstream.Clock, log logr.Logger, site *citronstream.Site) (*Gateway, error) {
	eng, err := nbconn.New(nbconn.WithUnsent(peerUnsent))
	if err != nil {
		return nil, err
	}
	ga := &Gateway{
		clk: clk, log: log, site: site, boot: citronstream.NewID(), began: clk.Now(), eng: eng,
		engines: engines.New(clk), holds: poison.New(clk, citronstream.DefaultLimits(), poison.WithLearning()),
		refusals: firstattempt.New(clk), meter: requests.New(),
		pendingRows: make(chan citronstream.Rows, maxPendingRows),
	}
	ga.parts = partquarantine.New(clk, citronstream.DefaultLimits(), partquarantine.WithOnChange(ga.partChanged))
	ga.ctx, ga.cancel = context.WithCancel(ctx)
	ga.pool = conns.New(clk, conns.WithMaxIdle(ga.maxIdleConns))
	store := platform.NewStore(site.Store, platform.WithSilence(min(site.Bounds.Drain, site.Bounds.ConfigApply)/silencePerBound), platform.WithOnSilent(ga.storeSilent), platform.WithOnEra(ga.storeRestored))
	ga.view = view.New(clk, log, view.Decode{
		Routing: platform.DecodeRouting, Member: platform.DecodeMember, ConfigKey: platform.ConfigKey, MemberPrefix: platform.TableMembers + "/",
		EvacuationPrefix: platform.EvacuationPrefix,
	}, view.WithHeartbeat(site.Heartbeat))
	ga.view.OnChange(ga.viewChanged)
	ga.cold = coldrate.New(clk, site.Peers, ga.serviceSpec, coldrate.WithBound(site.Bounds.ColdOverage, site.Bounds.ColdSlack), coldrate.WithRecent(ga.engines.Starts))
	ga.view.OnRow(ga.cold.Row)
	ga.ramp = zoneramp.New(clk, site.Bounds.Evacuate)
	ga.evacKnown.Store(&zoneramp.Known{})
	ga.view.OnEvacuated(ga.zoneEvacuated)
	ga.view.OnTakenBack(ga.zoneTakenBack)
	ga.view.OnRestored(ga.cold.Restored)
	ga.mesh = mesh.New(clk, log, eng, ga.peerInfo, ga.handle, ga.peerConnected)
	ga.follower = follow.New(clk, log, store, ga.view, follow.WithReaders(ga.readers), follow.WithOnRead(ga.storeRead), follow.WithOnFirstRead(ga.tableRead))
	ga.snapshot = snapshot.New(clk, log, store, ga.membersInUse, ga.writesSnapshot)
	ga.discovery = discovery.New(clk, log, store, ga.mesh, site.Process, site.Peers, site.Zone, discovery.WithOnList(ga.cold.Listed), discovery.WithOnFirstStart(ga.holds.FirstStart))
	ga.suspended = ga.suspendedTime()
	ga.wakeup = wakeup.New(clk, log, ga.suspended, ga.readAgain)
	ga.deaths = deathdetect.New(ga.ctx, clk, probeUpstream, ga.upstreamDied)
	owned := siteretrybudget.New(clk, site.Bounds, func() int { return ownersPerWindow })
	ga.broker = broker.New(ga.ctx, clk, log, site.Peers, ga.view, ga.mesh, &coldBatcher{batch.New(clk, log, ga.pool, batch.WithParse(ga.parseAnswer)), clk, ga.cold}, owned,
		broker.WithCapacity(site.Cores*site.LinkRate), broker.WithHeld(ga.wakeup.Held), broker.WithZones(site.Zone, regions.NewZones(site)))
	ga.budget = siteretrybudget.New(clk, site.Bounds, ga.mesh.LiveCount)
	ga.limits = limitcount.New(clk, log, "caller refused by a limit")
	ga.mesh.Limit(maxPeerLinks(site), ga.limits.Hit)
	clients := clientLimits(site)
	if clients.Memory > 0 {
		ga.memory = callermemory.New(clk, clients.Memory)
	}
	ga.flow = flow.New(clk, log, flow.Dependencies{
		Zone: site.Zone, Zones: regions.NewZones(site), ListingTTL: ga.listingTTL(), View: ga.view, Pool: ga.pool, Broker: ga.broker, Engines: ga.engines,
		Budget: ga.budget, Holds: ga.holds, Parts: ga.parts, Refused: ga.refusals, Deaths: ga.deaths, Cold: ga.cold, Ramp: ga.ramp, Observe: ga.meter.Observe,
		Parse:     ga.parseAnswer,
		Suspended: ga.suspended, Pass: ga.wakeup.Pass,
		Memory: ga.memory, BodyStall: clients.BodyStall, ReadStall: clients.ReadStall, MaxUpstream: maxUpstream(site), OnLimit: ga.limits.Hit, ConnectionLimit: ga.connectionLimit,
	})
	ga.callerServer = server.New(clk, log, ga.flow, server.WithMemory(ga.memory), server.WithClientLimits(clients), server.WithOnLimit(ga.limits.Hit))
	return ga, nil
}

// suspendedTime returns a function that tells for how long the instance has been
// suspended, no time if it can't be told.
func (ga *Gateway) suspendedTime() func() time.Duration {
	me, err := boottime.New(ga.clk)
	if err != nil {
		ga.log.Error(err, "boot clock unreadable, suspended time counts as no time")
		return func() time.Duration { return 0 }
	}
	return me.Suspended
}

// configTable and memberTable describe how the tables of the store are followed.
func (ga *Gateway) configTable() follow.Table {
	return follow.ConfigTable(platform.TableConfig, ga.site.Bounds.ConfigApply/readsPerDrain)
}

func (ga *Gateway) memberTable() follow.Table {
	return follow.MemberTable(platform.TableMembers, ga.readers, ga.site.Bounds.Drain/readsPerDrain)
}

// readAgain reads the tables after a pause of the process.
func (ga *Gateway) readAgain(ctx context.Context) error {
	return errors.Join(ga.follower.Reread(ctx, ga.configTable()), ga.follower.Reread(ctx, ga.memberTable()))
}

// parseAnswer returns the function that parses the heads of an upstream's responses, also of
// those that are skipped, and records what the upstream says of itself in them.
func (ga *Gateway) parseAnswer(nd *node.Node) func(status int, header http.Header) citronstream.AnswerHead {
	return func(status int, header http.Header) citronstream.AnswerHead {
		head := platform.ParseAnswer(status, header)
		if head.Leaving {
			ga.view.Leaves(nd, status == http.StatusMisdirectedRequest)
		}
		if head.Pause > 0 {
			ga.view.Pauses(nd, head.Pause)
		}
		return head
	}
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

// Start listens and starts following the store.
func (ga *Gateway) Start() error {
	if err := ga.mesh.Start(ga.ctx, ga.site.Peers); err != nil {
		return err
	}
	if err := ga.callerServer.Start(ga.site.Callers); err != nil {
		return err
	}
	ga.listeners = append(ga.listeners, ga.mesh.Listener(), ga.callerServer.Listener())
	var err error
	if ga.readyServer, err = ga.listen(ga.site.Ready, http.HandlerFunc(ga.serveReady)); err != nil {
		return merry.Prepend(err, "readiness")
	}
	if ga.site.Metrics != "" {
		if ga.metricsServer, err = ga.listen(ga.site.Metrics, ga.operators()); err != nil {
			return merry.Prepend(err, "metrics")
		}
	}
	for _, seed := range ga.site.Seeds {
		ga.mesh.AddSeed(seed)
	}
	ga.runInBackground(func(ctx context.Context) { ga.follower.Run(ctx, ga.configTable()) })
	ga.runInBackground(func(ctx context.Context) { ga.follower.Run(ctx, ga.memberTable()) })
	ga.runInBackground(ga.wakeup.Run)
	ga.runInBackground(ga.discovery.Run)
	ga.runInBackground(ga.snapshot.Run)
	ga.runInBackground(ga.runPeriodic)
	ga.runInBackground(ga.broadcastRows)
	ga.log.Info("started", "callers", ga.site.Callers, "peers", ga.site.Peers, "zone", ga.site.Zone, "boot", ga.boot)
	return nil
}

// listen serves HTTP at an address until Stop.
func (ga *Gateway) listen(address string, handler http.Handler) (*http.Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	li := acceptor.New(ga.clk, ga.log, ln)
	ga.listeners = append(ga.listeners, li)
	hs := &http.Server{Handler: handler, ReadHeaderTimeout: ioTimeout, ErrorLog: server.ErrorLog(ga.log.WithValues("address", address))}
	if ga.site.Memory > 0 || ga.site.Descriptors > 0 {
		boundServer(hs)
	}
	ga.runInBackground(func(context.Context) {
		if err := hs.Serve(li); err != nil && !errors.Is(err, http.ErrServerClosed) {
			ga.log.Error(err, "server ended", "address", address)
		}
	})
	return hs, nil
}

// runInBackground runs a task in a goroutine that Stop waits for.
func (ga *Gateway) runInBackground(task func(ctx context.Context)) {
	ga.background.Go(func() { task(ga.ctx) })
}

// serveReady answers the platform's readiness checks.
func (ga *Gateway) serveReady(wr http.ResponseWriter, _ *http.Request) {
	if !ga.Ready() {
		wr.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	wr.WriteHeader(http.StatusOK)
}

// Ready reports whether the process can serve callers.
func (ga *Gateway) Ready() bool {
	return !ga.leaving.Load() && ga.view.Routes() != nil && ga.view.Members().Len() > 0 && ga.callerServer.Short() <= maxAcceptShortage
}

// peerInfo returns the description of this process for peers.
func (ga *Gateway) peerInfo() citronstream.PeerInfo {
	return citronstream.PeerInfo{
		Name: ga.site.Process, Zone: ga.site.Zone, Address: ga.site.Peers, Boot: ga.boot,
		Leaving: ga.leaving.Load(), Capacity: ga.site.Cores * ga.site.LinkRate, Age: ga.clk.Since(ga.began), Revision: ga.view.Revision(), ConfigBytes: ga.view.ConfigBytes(),
	}
}

// runPeriodic runs the periodic tasks.
func (ga *Gateway) runPeriodic(ctx context.Context) {
	ticker := ga.clk.NewTicker(tickInterval)
	defer ticker.Stop()
	for count := 1; ; count++ {
		select {
		case <-ctx.Done():
			return
		case <-ga.engines.Urgent():
			ga.broadcastEntryLoad()
			continue
		case <-ga.parts.Urgent():
			ga.tellParts()
			continue
		case <-ticker.Chan():
		}
		ga.view.Sweep()
		ga.sweepCold()
		ga.sweepRamp()
		ga.tellRefusals()
		ga.parts.Tick()
		ga.logHeld(ga.holds.Tick(), ga.site.Process)
		ga.tellParts()
		if ga.clk.Since(ga.began) >= tellAfter {
			ga.tellEarlyRows()
		}
		if count%ga.loadTicks() == 0 {
			ga.broadcastLoads()
		}
		if count%sweepTicks == 0 {
			ga.pool.Sweep()
			ga.logSpeeds()
			ga.mesh.Prune()
			if !ga.holds.Knows() {
				ga.askQuarantine(ga.anyPeer())
			}
		}
	}
}

// loadTicks is the number of ticks between two broadcasts of loads. Each gateway
// sends to all others, so with many gateways each sends less often.
func (ga *Gateway) loadTicks() int { return (ga.mesh.LiveCount() + peersPerTick - 1) / peersPerTick }

// broadcastLoads sends the peers this process's load on the engines, the load of
// its queues, and the requests that it has refused.
func (ga *Gateway) broadcastLoads() {
	ga.broadcastEntryLoad()
	if queues, busy := ga.broker.ChangedLoads(); busy {
		ga.mesh.Broadcast(citronstream.MethodQueueLoads, queues)
	}
}

func (ga *Gateway) broadcastEntryLoad() {
	if load, changed := ga.engines.ChangedLoad(); changed {
		load.Speeds = ga.takeSpeeds()
		if ga.turnsCold() {
			load.Gateways = ga.cold.Known()
		}
		ga.mesh.Broadcast(citronstream.MethodEntryLoad, load)
	}
}

// tellRefusals tells the peers which requests were refused here. Their callers come
// back to the entries of their zone within some hundred ms, before the loads of a
// large fleet are told.
func (ga *Gateway) tellRefusals() {
	refused := ga.refusals.TakeUnsent()
	if len(refused) == 0 {
		return
	}
	ga.mesh.Tell(citronstream.MethodRefusals, citronstream.Refusals{Refused: refused}, func(pe *mesh.Peer) bool { return pe.Zone() == ga.site.Zone })
}

// handle processes messages from peers.
func (ga *Gateway) handle(from string, li *link.Link, re *link.Request) {
	switch re.Method {
	case citronstream.MethodState:
		var qu citronstream.StateQuery
		if err := re.Decode(&qu); err != nil {
			re.ReplyError(err)
			return
		}
		re.ReplyAs(stateClass(qu), citronstream.Rows{Changes: ga.view.State(qu)})
	case citronstream.MethodRows:
		var rows citronstream.Rows
		if re.Decode(&rows) == nil {
			ga.heardRows(from, rows)
		}
	case citronstream.MethodEntryLoad:
		var load citronstream.EntryLoad
		if re.Decode(&load) == nil {
			ga.engines.UpdateLoad(from, load)
			ga.heardSpeeds(from, load.Speeds)
			ga.cold.PeerKnows(from, load.Gateways)
		}
	case citronstream.MethodRefusals:
		var refusals citronstream.Refusals
		if re.Decode(&refusals) == nil {
			ga.refusals.Merge(refusals.Refused)
		}
	case citronstream.MethodDeath:
		var report poison.Report
		if re.Decode(&report) == nil {
			ga.recordDeath(report, from)
		}
	case citronstream.MethodSoundParts:
		var parts citronstream.SoundParts
		if re.Decode(&parts) == nil {
			ga.parts.MergeSound(parts.Sound, from)
		}
	case citronstream.MethodSuspectParts:
		var parts citronstream.SuspectParts
		if re.Decode(&parts) == nil {
			ga.heardSuspects(parts, from)
		}
	case citronstream.MethodQuarantine:
		re.Reply(ga.suspects())
	default:
		if !ga.broker.Handle(li, re) {
			re.ReplyError(citronstream.NewFault(citronstream.NotRun, citronstream.CodeNotFound, "unknown method %q", re.Method))
		}
	}
}

// listingTTL is how long an entry may still read a dead upstream in the platform's
// list: it stays listed for three heartbeats, and a read may lag by one.
func (ga *Gateway) listingTTL() time.Duration { return 4 * ga.site.Heartbeat }
