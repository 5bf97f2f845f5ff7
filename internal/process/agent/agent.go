// Package agent assembles an agent process.
package agent

import (
	"cmp"
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/agent/cachefeed"
	"github.com/citronstream/citronstream/internal/agent/reconcile"
	"github.com/citronstream/citronstream/internal/agent/server"
	"github.com/citronstream/citronstream/internal/agent/upstreamload"
	"github.com/citronstream/citronstream/internal/config/version"
	"github.com/citronstream/citronstream/internal/kernel/discipline"
	"github.com/citronstream/citronstream/internal/kernel/protocol"
	"github.com/citronstream/citronstream/internal/limit/poison"
	"github.com/citronstream/citronstream/internal/observe/ledger"
	"github.com/citronstream/citronstream/internal/observe/meter"
	"github.com/citronstream/citronstream/internal/observe/timeline"
	"github.com/citronstream/citronstream/internal/once/claim"
	"github.com/citronstream/citronstream/internal/once/grant"
	"github.com/citronstream/citronstream/internal/peer/configclient"
	"github.com/citronstream/citronstream/internal/peer/link"
	"github.com/citronstream/citronstream/internal/peer/nbconn"
	"github.com/citronstream/citronstream/internal/upstream/report"
	"github.com/go-logr/logr"

	// The plug-ins that settings can name.
	_ "github.com/citronstream/citronstream/internal/limit/fairqueue"
	_ "github.com/citronstream/citronstream/internal/upstream/completions"
	_ "github.com/citronstream/citronstream/internal/upstream/jsonpost"
	_ "github.com/citronstream/citronstream/internal/upstream/plain"
)

// queueDiscipline is the queue discipline of all agents.
const queueDiscipline = "fair"

const (
	// pollHoldoff is how long an agent skips reading the version row after an
	// entry has sent a version.
	pollHoldoff = 10 * time.Second
	// bootstrapRetryWait is the mean wait between attempts to get a first configuration.
	bootstrapRetryWait = 250 * time.Millisecond
)

// Settings configures an agent process.
type Settings struct {
	Upstream string // name in the Fleet
	Token    string // shared secret of the peers
	Platform citronstream.Platform
	// Peers are addresses of other agents that serve the configuration while the table is down.
	Peers []string
	// Wrap wraps the protocol to the upstream, and Stream the connections of
	// entries, for fault injection in tests. Both may be nil.
	Wrap   func(citronstream.Protocol) citronstream.Protocol
	Stream func(link.Stream) link.Stream
	// Listen and Address replace the addresses of the agent and of the upstream
	// in the Fleet, unless they are empty.
	Listen, Address string
	// ServerOptions are applied last. Handler handles messages of entries that the
	// agent does not; it returns false for an unknown method.
	ServerOptions []server.Option
	Handler       func(li *link.Link, re *link.Request) bool
}

// Agent is one agent process.
type Agent struct {
	Server   *server.Server
	Holds    *poison.Holds
	Timeline *timeline.Ring
	Up       citronstream.Upstream
	Grant    *grant.Grant // nil for a service without non-idempotent calls
	Claim    *claim.Claim
	// Reconciler sends commands to the engine, and FencingGrant supplies
	// their fencing epoch. Both are nil for other kinds of upstream.
	Reconciler   *reconcile.Reconciler
	FencingGrant *grant.Grant
	// CacheFeed follows the engine's prefix cache, and UpstreamLoad the upstream's
	// own load report. Either is nil if the upstream has none.
	CacheFeed    *cachefeed.Feed
	UpstreamLoad *upstreamload.Poller

	Config *version.Store
	Queue  citronstream.Discipline
	Ledger *ledger.Ledger

	settings Settings
	clk      citronstream.Clock
	eng      *nbconn.Engine
	cancel   context.CancelFunc
	ended    []<-chan struct{}
	reader   *report.Reader
}

// Bootstrap waits for a configuration, from the table or from peers, and returns an
// agent with it. It gives up when ctx ends.
func Bootstrap(ctx context.Context, clk citronstream.Clock, eng *nbconn.Engine, set Settings, log logr.Logger) (*Agent, error) {
	hello := func() citronstream.Hello {
		return citronstream.Hello{Name: set.Upstream, Role: "agent", Token: set.Token}
	}
	client := configclient.New(clk, eng, hello)
	config := version.New(clk, set.Platform.Table, set.Platform.Objects, version.WithFetcher(client))
	for {
		err := config.Bootstrap(ctx, set.Peers, client)
		if err == nil {
			return New(clk, eng, set, config.Current(), log)
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-clk.After(bootstrapRetryWait/2 + rand.N(bootstrapRetryWait)):
		}
	}
}

// New returns an agent with its first configuration.
func New(clk citronstream.Clock, eng *nbconn.Engine, set Settings, first *version.Snapshot, log logr.Logger) (*Agent, error) {
	fl := first.Fleet
	up, se, err := findUpstream(fl, set.Upstream)
	if err != nil {
		return nil, err
	}
	up.Agent, up.Address = cmp.Or(set.Listen, up.Agent), cmp.Or(set.Address, up.Address)
	pr, err := protocol.Get(se.Protocol)
	if err != nil {
		return nil, err
	}
	factory, err := discipline.Registry.Get(queueDiscipline)
	if err != nil {
		return nil, err
	}
	ag := &Agent{settings: set, clk: clk, eng: eng, Up: up, Holds: poison.New(clk, fl.Limits), Timeline: timeline.New(clk, timeline.WithProcess(up.Name))}
	ag.Config = version.New(clk, set.Platform.Table, set.Platform.Objects,
		version.WithFetcher(ag), version.WithPollHoldoff(pollHoldoff), version.WithSnapshot(first))
	engine, _ := pr.(reconcile.Engine)
	if set.Wrap != nil {
		pr = set.Wrap(pr)
		if wrapped, ok := pr.(reconcile.Engine); ok {
			engine = wrapped
		}
	}
	ag.Queue = factory(discipline.Settings{Clock: clk, Fleet: *fl, Capacity: up.Capacity, Rate: initialRate(se, up.Capacity)})
	ag.Ledger = ledger.New(set.Platform.Table, clk, up.Name, uint64(clk.Now().UnixNano()), ledger.WithInterval(fl.Limits.CostFlush.Std()))
	opts := []server.Option{
		server.WithMeter(meter.New(ag.Ledger, ledger.SideAgent)),
		server.WithHolds(ag.Holds), server.WithRecorder(ag.Timeline), server.WithLog(log), server.WithToken(set.Token),
		server.WithMaxLinks(cmp.Or(fl.Limits.MaxPeerConnections, citronstream.DefaultLimits().MaxPeerConnections)),
		server.WithVersion(ag.Config.Version, func(entry string, version uint64) { ag.Config.Observe(version, entry) }),
		server.WithHandler(ag.handle),
	}
	if set.Stream != nil {
		opts = append(opts, server.WithStream(set.Stream))
	}
	if once := ag.setUpOwnership(clk, set, fl, se); once != nil {
		opts = append(opts, server.WithOnce(once), server.WithGrant(ag.epoch, ag.Grant.Owned))
	}
	if engine != nil && se.Kind == citronstream.KindEngine {
		opts = append(opts, ag.setUpEngineCommands(engine, fl, se)...)
	}
	ag.setUpLoadReports(se)
	opts = append(opts, server.WithLoadMerge(ag.addOwnReport))
	ag.Server = server.New(clk, eng, up, pr, ag.Queue, append(opts, set.ServerOptions...)...)
	return ag, nil
}

// setUpOwnership sets up the grant and the claims of a service with non-idempotent calls.
func (ag *Agent) setUpOwnership(clk citronstream.Clock, set Settings, fl *citronstream.Fleet, se *citronstream.Service) server.Once {
	idempotent := true
	for _, sc := range se.Calls {
		idempotent = idempotent && sc.Idempotent
	}
	if idempotent {
		return nil
	}
	rs := resolver{server: func() *server.Server { return ag.Server }, entries: func() []citronstream.Entry { return ag.Config.Current().Fleet.Entries }}
	ag.Grant = grant.New(grant.Settings{Upstream: ag.Up.Name, Service: se.Name, Instance: ag.Up.Instance, Address: ag.Up.Agent},
		set.Platform.Table, set.Platform.Liveness, clk, grant.WithLimits(fl.Limits), grant.WithResolver(rs))
	ag.Claim = claim.New(ag.Grant, set.Platform.Table, set.Platform.Objects, clk,
		claim.WithRetention(fl.Limits.KeyRetention.Std()),
		claim.WithFlushed(func(keys []claim.Flushed) {
			ag.Server.Broadcast(citronstream.MethodFlushed, claim.FlushedNotice{Upstream: ag.Up.Name, Service: se.Name, Keys: keys})
		}))
	return onceAdapter{ag.Claim}
}

func (ag *Agent) epoch() uint64 {
	gr := ag.Grant
	if gr == nil {
		gr = ag.FencingGrant
	}
	if le := gr.Lease(); le != nil {
		return le.Epoch
	}
	return 0
}

// Start listens for entries and then requests ownership of slots: the bound
// address proves that a previous process of this agent has ended.
func (ag *Agent) Start(ctx context.Context) error {
	if err := ag.Server.Start(ctx); err != nil {
		return err
	}
	ctx, ag.cancel = context.WithCancel(ctx)
	ag.Config.Subscribe(ag.apply)
	followed := make(chan struct{})
	go func() {
		defer close(followed)
		ag.Config.Run(ctx)
	}()
	flushed := make(chan struct{})
	go func() {
		defer close(flushed)
		<-ag.Ledger.Run(ctx)
	}()
	ag.ended = append(ag.ended, followed, flushed)
	if ag.Grant != nil {
		ag.ended = append(ag.ended, ag.Grant.Run(ctx), ag.Claim.Run(ctx))
	}
	if ag.CacheFeed != nil {
		ag.ended = append(ag.ended, ag.CacheFeed.Run(ctx))
	}
	if ag.UpstreamLoad != nil {
		ag.ended = append(ag.ended, ag.UpstreamLoad.Run(ctx))
	}
	if ag.Reconciler != nil {
		ag.ended = append(ag.ended, ag.Reconciler.Run(ctx))
		if ag.FencingGrant != ag.Grant {
			ag.ended = append(ag.ended, ag.FencingGrant.Run(ctx))
		}
	}
	return nil
}

// Shutdown announces that the agent is leaving, waits for accepted calls,
// releases the slots, and stops.
func (ag *Agent) Shutdown(ctx context.Context) error {
	ag.Server.Drain()
	err := ag.Server.Idle(ctx)
	if ag.Grant != nil && err == nil {
		err = ag.Grant.Drain(ctx)
	}
	if ag.FencingGrant != nil && ag.FencingGrant != ag.Grant && err == nil {
		err = ag.FencingGrant.Drain(ctx)
	}
	ag.Stop()
	return err
}

// Stop ends the agent immediately, as a crash would.
func (ag *Agent) Stop() {
	ag.Server.Stop()
	ag.cancel()
	for _, ended := range ag.ended {
		<-ended
	}
	if ag.reader != nil {
		ag.reader.Close()
	}
}

// apply puts a configuration in force and announces its version to the entries.
func (ag *Agent) apply(sn *version.Snapshot) {
	if qu, ok := ag.Queue.(interface{ Configure(citronstream.Fleet) }); ok {
		qu.Configure(*sn.Fleet)
	}
	ag.Holds.Configure(sn.Fleet.Limits)
	if ag.Reconciler != nil {
		ag.Reconciler.Configure(sn.Fleet)
	}
	ag.Server.AnnounceVersion(sn.Fleet.Version)
	ag.Timeline.Record(citronstream.Event{Kind: "ConfigInForce", Detail: strconv.FormatUint(sn.Fleet.Version, 10)})
}

// handle processes messages from entries that the server does not handle.
func (ag *Agent) handle(li *link.Link, re *link.Request) bool {
	switch re.Method {
	case citronstream.MethodConfig:
		var rq citronstream.ConfigRequest
		if err := re.Decode(&rq); err != nil {
			re.ReplyError(err)
			return true
		}
		li.NotePeerVersion(rq.Holds)
		re.Reply(ag.Config.DocumentFor(rq))
	case citronstream.MethodVersion:
		var notice citronstream.VersionNotice
		if hello, ok := li.Session().(citronstream.Hello); ok && re.Decode(&notice) == nil {
			li.NotePeerVersion(notice.Version)
			ag.Config.Observe(notice.Version, hello.Name)
		}
	case citronstream.MethodSlotUnowned:
		if ag.Grant != nil {
			ag.Grant.RequestStep()
		}
	default:
		return ag.settings.Handler != nil && ag.settings.Handler(li, re)
	}
	return true
}

// Fetch implements version.Fetcher. The peer is the name of a linked entry.
func (ag *Agent) Fetch(ctx context.Context, peer string, rq citronstream.ConfigRequest) (version.Document, error) {
	var from *link.Link
	ag.Server.Links(func(name string, li *link.Link) {
		if name == peer {
			from = li
		}
	})
	if from == nil {
		return version.Document{}, citronstream.ErrUnavailable
	}
	var doc version.Document
	err := from.Call(ctx, citronstream.MethodConfig, rq, &doc)
	return doc, err
}

// initialRate estimates the throughput in cost units per second until calls have
// been measured: one call of mean cost per second for each unit of capacity.
func initialRate(se *citronstream.Service, capacity int) float64 {
	sum := 0.0
	for _, sc := range se.Calls {
		sum += max(sc.Cost, 1)
	}
	return sum / float64(max(len(se.Calls), 1)) * float64(capacity)
}

func findUpstream(fl *citronstream.Fleet, name string) (citronstream.Upstream, *citronstream.Service, error) {
	for _, up := range fl.Upstreams {
		if up.Name != name {
			continue
		}
		for i := range fl.Services {
			if fl.Services[i].Name == up.Service {
				return up, &fl.Services[i], nil
			}
		}
	}
	return citronstream.Upstream{}, nil, citronstream.NewFault(citronstream.NotRun, citronstream.CodeNotFound, "Process.Name: no upstream %q in the configuration", name)
}
