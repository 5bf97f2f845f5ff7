// Package entry assembles an entry process.
package entry

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/version"
	"github.com/citronstream/citronstream/internal/entry/agents"
	"github.com/citronstream/citronstream/internal/entry/catalog"
	"github.com/citronstream/citronstream/internal/entry/membership"
	"github.com/citronstream/citronstream/internal/entry/pipeline"
	"github.com/citronstream/citronstream/internal/entry/server"
	"github.com/citronstream/citronstream/internal/kernel/policy"
	"github.com/citronstream/citronstream/internal/limit/holdsync"
	"github.com/citronstream/citronstream/internal/limit/poison"
	"github.com/citronstream/citronstream/internal/limit/retrybudget"
	"github.com/citronstream/citronstream/internal/limit/stagetime"
	"github.com/citronstream/citronstream/internal/limit/throttle"
	"github.com/citronstream/citronstream/internal/observe/ledger"
	"github.com/citronstream/citronstream/internal/observe/meter"
	"github.com/citronstream/citronstream/internal/observe/timeline"
	"github.com/citronstream/citronstream/internal/once/claim"
	"github.com/citronstream/citronstream/internal/once/grant"
	"github.com/citronstream/citronstream/internal/once/tracker"
	"github.com/citronstream/citronstream/internal/peer/configclient"
	"github.com/citronstream/citronstream/internal/peer/link"
	"github.com/citronstream/citronstream/internal/peer/nbconn"
	"github.com/citronstream/citronstream/internal/route/outlier"
	"github.com/citronstream/citronstream/internal/route/prefix"
	"github.com/citronstream/citronstream/internal/route/table"
	"github.com/go-logr/logr"

	// The routing policies that settings can name.
	_ "github.com/citronstream/citronstream/internal/route/leastreport"
	_ "github.com/citronstream/citronstream/internal/route/nearest"
	_ "github.com/citronstream/citronstream/internal/route/roundrobin"
)

const (
	// outlierInterval is the interval between outlier evaluations.
	outlierInterval = 500 * time.Millisecond
	// bootstrapRetryWait is the mean wait between attempts to get a first configuration.
	bootstrapRetryWait = 250 * time.Millisecond
)

// Settings configures an entry process.
type Settings struct {
	Name  string
	Zone  string
	Seed  uint64
	Token string // shared secret of the peers
	// Peers are addresses of agents that serve the configuration while the table is down.
	Peers    []string
	Platform citronstream.Platform
	// Limits apply until the first configuration is in force.
	Limits citronstream.Limits
	// ServerOptions and RunnerOptions are applied last.
	ServerOptions []server.Option
	RunnerOptions []pipeline.Option
}

// Entry is one entry process.
type Entry struct {
	Agents     *agents.Pool
	Server     *server.Server
	Runner     *pipeline.Runner
	Routes     *table.Table
	Holds      *poison.Holds
	Timeline   *timeline.Ring
	Tracker    *tracker.Tracker
	Config     *version.Store
	Budget     *retrybudget.Budget
	Ledger     *ledger.Ledger
	StageTimes *stagetime.Estimator
	Hints      *prefix.Hints
	Members    *membership.Watch
	HoldSync   *holdsync.Sync

	settings Settings
	clk      citronstream.Clock
	eng      *nbconn.Engine
	log      logr.Logger
	boot     string
	started  time.Time
	outliers *outlier.Detector
	current  atomic.Pointer[state]
	ctx      context.Context
	cancel   context.CancelFunc
	done     []chan struct{}
	resolves sync.WaitGroup // pending answers to MethodResolve
}

// state is derived from the configuration in force.
type state struct {
	catalog *catalog.Catalog
	pickers map[string]citronstream.Picker
}

// New returns an entry without a configuration.
func New(ctx context.Context, clk citronstream.Clock, eng *nbconn.Engine, set Settings, address string, log logr.Logger) *Entry {
	en := &Entry{
		settings: set, clk: clk, eng: eng, log: log, boot: citronstream.NewID(), started: clk.Now(),
		Routes: table.New(clk), Holds: poison.New(clk, set.Limits), Budget: retrybudget.New(clk, set.Limits),
		StageTimes: stagetime.New(clk), Timeline: timeline.New(clk, timeline.WithProcess(set.Name)),
	}
	en.Hints = prefix.New(clk)
	en.HoldSync = holdsync.New(clk, set.Platform.Table, en.Holds, en.broadcastReports)
	en.Tracker = tracker.New(set.Platform.Table, set.Platform.Objects, clk, tracker.WithRetention(set.Limits.KeyRetention.Std()))
	en.Ledger = ledger.New(set.Platform.Table, clk, set.Name, uint64(en.started.UnixNano()), ledger.WithInterval(set.Limits.CostFlush.Std()))
	en.Config = version.New(clk, set.Platform.Table, set.Platform.Objects,
		version.WithPoll(set.Limits.ConfigPoll.Std()), version.WithFetcher(en))
	en.ctx, en.cancel = context.WithCancel(ctx)
	en.outliers = outlier.New(clk, en.Routes)
	en.Agents = agents.New(en.ctx, clk, eng, en.Routes, en.hello,
		agents.WithHandler(en.handle), agents.WithRecorder(en.Timeline), agents.WithTracker(en.Tracker), agents.WithUpstreamDown(en.Hints.Drop), agents.WithConnected(en.sendHolds),
		agents.WithObserve(func(upstream string, version uint64) { en.Config.Observe(version, upstream) }))
	en.Members = membership.New(clk, set.Platform.Liveness, en.Routes, en.Agents.Links)
	en.Runner = pipeline.New(clk, set.Zone, en.Agents, en.picker, en.Budget, append([]pipeline.Option{
		pipeline.WithTimes(en.StageTimes), pipeline.WithHolds(en.Holds),
		pipeline.WithRecorder(en.Timeline), pipeline.WithVersion(en.Version), pipeline.WithOwners(owners{en.Routes}), pipeline.WithRefreshSlots(en.RefreshSlots),
		pipeline.WithMeter(meter.New(en.Ledger, ledger.SideEntry)), pipeline.WithPrefixes(prefixes{en}),
		pipeline.WithThrottle(throttle.New(clk, set.Seed)),
	}, set.RunnerOptions...)...)
	en.Server = server.New(clk, address, en.Runner, en.Catalog, set.Limits, append([]server.Option{server.WithReady(en.ready)}, set.ServerOptions...)...)
	return en
}

// apply puts a configuration in force unless it is older than the current one.
func (en *Entry) apply(fl *citronstream.Fleet) error {
	if !en.Routes.Replace(fl) {
		return nil
	}
	en.Budget.Configure(fl.Limits)
	en.Holds.Configure(fl.Limits)
	next := &state{catalog: catalog.New(fl), pickers: make(map[string]citronstream.Picker, len(fl.Services))}
	for i := range fl.Services {
		se := &fl.Services[i]
		picker, err := policy.New(se.Policy, policy.Deps{Table: en.Routes, Clock: en.clk, Seed: en.settings.Seed, Outliers: en.outliers, Hints: en.Hints})
		if err != nil {
			return err
		}
		next.pickers[se.Name] = picker
	}
	en.current.Store(next)
	en.Agents.Replace(en.upstreamsToLink(fl))
	en.Agents.AnnounceVersion(fl.Version)
	en.Timeline.Record(citronstream.Event{Kind: "ConfigInForce", Detail: strconv.FormatUint(fl.Version, 10)})
	return nil
}

// upstreamsToLink returns the upstreams that this entry links to: those of its own
// region, those of services without an upstream in the region, and those of
// services with non-idempotent calls, as a key has one owner in the whole fleet.
func (en *Entry) upstreamsToLink(fl *citronstream.Fleet) []citronstream.Upstream {
	region := make(map[string]string)
	for _, re := range fl.Regions {
		for _, zo := range re.Zones {
			region[zo.Name] = re.Name
		}
	}
	zone := make(map[string]string, len(fl.Instances))
	for _, inst := range fl.Instances {
		zone[inst.Name] = inst.Zone
	}
	keyed := make(map[string]bool)
	for i := range fl.Services {
		for _, sc := range fl.Services[i].Calls {
			keyed[fl.Services[i].Name] = keyed[fl.Services[i].Name] || !sc.Idempotent
		}
	}
	home := region[en.settings.Zone]
	served := make(map[string]bool)
	for _, up := range fl.Upstreams {
		if region[zone[up.Instance]] == home {
			served[up.Service] = true
		}
	}
	var linked []citronstream.Upstream
	for _, up := range fl.Upstreams {
		if region[zone[up.Instance]] == home || !served[up.Service] || keyed[up.Service] {
			linked = append(linked, up)
		}
	}
	return linked
}

// Start serves callers and fetches a configuration. The entry is not ready
// until it has one.
func (en *Entry) Start() error {
	if err := en.Server.Start(en.ctx); err != nil {
		return err
	}
	en.Config.Subscribe(func(sn *version.Snapshot) {
		if err := en.apply(sn.Fleet); err != nil {
			en.log.Error(err, "configuration not in force", "version", sn.Fleet.Version)
		}
	})
	en.runInBackground(func(ctx context.Context) { <-en.Ledger.Run(ctx) })
	en.runInBackground(en.evaluateOutliers)
	en.runInBackground(en.Members.CheckHeartbeats)
	en.runInBackground(en.HoldSync.Run)
	if en.settings.Platform.Liveness != nil {
		en.runInBackground(en.Members.PollList)
	}
	en.runInBackground(en.followConfig)
	return nil
}

// runInBackground runs a task in a goroutine that Stop waits for.
func (en *Entry) runInBackground(task func(ctx context.Context)) {
	done := make(chan struct{})
	en.done = append(en.done, done)
	go func() {
		defer close(done)
		task(en.ctx)
	}()
}

// followConfig gets a first configuration and then follows accepted changes.
func (en *Entry) followConfig(ctx context.Context) {
	client := configclient.New(en.clk, en.eng, en.hello)
	for ctx.Err() == nil && en.Config.Bootstrap(ctx, en.settings.Peers, client) != nil {
		select {
		case <-ctx.Done():
		case <-en.clk.After(bootstrapRetryWait/2 + rand.N(bootstrapRetryWait)):
		}
	}
	en.Config.Run(ctx)
}

// Fetch implements version.Fetcher. The peer is an agent's name or an address.
func (en *Entry) Fetch(ctx context.Context, peer string, rq citronstream.ConfigRequest) (version.Document, error) {
	var doc version.Document
	if li := en.Agents.Link(peer); li != nil {
		err := li.Call(ctx, citronstream.MethodConfig, rq, &doc)
		return doc, err
	}
	return configclient.New(en.clk, en.eng, en.hello).Fetch(ctx, peer, rq)
}

func (en *Entry) ready() error {
	if !en.Config.Ready() || en.Catalog() == nil {
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeNotReady, "no recent configuration is known")
	}
	return nil
}

// Shutdown refuses new requests, waits for those in flight, and stops.
func (en *Entry) Shutdown(ctx context.Context) error {
	err := en.Server.Drain(ctx)
	en.Stop()
	return err
}

// Stop ends the entry immediately, as a crash would.
func (en *Entry) Stop() {
	en.Server.Stop()
	en.cancel()
	en.Agents.Close()
	en.resolves.Wait()
	for _, done := range en.done {
		<-done
	}
}

// Catalog returns the configuration in force.
func (en *Entry) Catalog() *catalog.Catalog {
	if st := en.current.Load(); st != nil {
		return st.catalog
	}
	return nil
}

// Outliers returns the outlier detector.
func (en *Entry) Outliers() *outlier.Detector { return en.outliers }

// Version returns the version in force.
func (en *Entry) Version() uint64 {
	if ca := en.Catalog(); ca != nil {
		return ca.Fleet.Version
	}
	return 0
}

func (en *Entry) picker(service string) citronstream.Picker {
	if st := en.current.Load(); st != nil {
		return st.pickers[service]
	}
	return nil
}

func (en *Entry) hello() citronstream.Hello {
	return citronstream.Hello{
		Name: en.settings.Name, Role: "entry", Zone: en.settings.Zone, Boot: en.boot, Started: en.started,
		Token: en.settings.Token, Version: en.Version(), Clock: en.Timeline.Now(),
	}
}

// handle processes messages from agents that the pool does not handle.
func (en *Entry) handle(li *link.Link, re *link.Request) {
	switch re.Method {
	case citronstream.MethodPoison:
		en.mergePoisonReport(li, re)
	case citronstream.MethodConfig:
		var rq citronstream.ConfigRequest
		if err := re.Decode(&rq); err != nil {
			re.ReplyError(err)
			return
		}
		li.NotePeerVersion(rq.Holds)
		re.Reply(en.Config.DocumentFor(rq))
	case citronstream.MethodVersion:
		var notice citronstream.VersionNotice
		if hello, ok := li.Session().(citronstream.Hello); ok && re.Decode(&notice) == nil {
			li.NotePeerVersion(notice.Version)
			en.Config.Observe(notice.Version, hello.Name)
		}
	case citronstream.MethodCache:
		var ev prefix.Event
		if re.Decode(&ev) == nil {
			en.Hints.Apply(ev)
		}
	case citronstream.MethodFlushed:
		var fl claim.FlushedNotice
		if re.Decode(&fl) == nil {
			en.Tracker.Flushed(fl.Upstream, fl.Service, fl.Keys)
		}
	case citronstream.MethodResolve:
		en.resolves.Go(func() { en.resolve(re) })
	default:
		re.ReplyError(citronstream.NewFault(citronstream.NotRun, citronstream.CodeNotFound, "unknown method %q", re.Method))
	}
}

// resolve records the keyed calls that this entry tracks for a dead agent's epoch.
func (en *Entry) resolve(re *link.Request) {
	var rq citronstream.ResolveRequest
	if err := re.Decode(&rq); err != nil {
		re.ReplyError(err)
		return
	}
	started, err := en.Tracker.Resolve(en.ctx, rq.Upstream, rq.Epoch)
	if err != nil {
		re.ReplyError(err)
		return
	}
	re.Reply(citronstream.ResolveReply{Started: started})
}

// RefreshSlots tells the agents of a service that its slots changed or that one has no
// owner. The agents limit how often they act on it.
func (en *Entry) RefreshSlots(service string) {
	se := en.Routes.Snapshot().Service(service)
	if se == nil {
		return
	}
	for _, nd := range se.Nodes {
		if li := en.Agents.Link(nd.Name); li != nil {
			_ = li.Notify(citronstream.MethodSlotUnowned, struct{}{})
		}
	}
}

// owners finds the owner of a key's slot in the routing table.
type owners struct{ routes *table.Table }

// Owner implements pipeline.Owners.
func (ow owners) Owner(service, workspace, key string, exclude []string) (string, bool) {
	return ow.routes.Owner(service, grant.SlotOf(workspace, key), exclude...)
}

// evaluateOutliers evaluates outliers periodically until the entry ends.
func (en *Entry) evaluateOutliers(ctx context.Context) {
	ticker := en.clk.NewTicker(outlierInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			en.outliers.Evaluate()
		}
	}
}
