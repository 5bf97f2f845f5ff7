package agent

import (
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/agent/cachefeed"
	"github.com/citronstream/citronstream/internal/agent/reconcile"
	"github.com/citronstream/citronstream/internal/agent/server"
	"github.com/citronstream/citronstream/internal/agent/upstreamload"
	"github.com/citronstream/citronstream/internal/once/grant"
	"github.com/citronstream/citronstream/internal/route/prefix"
	"github.com/citronstream/citronstream/internal/upstream/report"
	"golang.org/x/time/rate"
)

// setUpEngineCommands sets up the commands to an engine. Their fencing epoch comes
// from the grant of the service's slots, or else from a grant without slots.
func (ag *Agent) setUpEngineCommands(engine reconcile.Engine, fl *citronstream.Fleet, se *citronstream.Service) []server.Option {
	var opts []server.Option
	if ag.FencingGrant = ag.Grant; ag.FencingGrant == nil {
		ag.FencingGrant = grant.New(grant.Settings{Upstream: ag.Up.Name, Service: se.Name, Instance: ag.Up.Instance, Address: ag.Up.Agent},
			ag.settings.Platform.Table, ag.settings.Platform.Liveness, ag.clk, grant.WithLimits(fl.Limits), grant.WithoutSlots())
		opts = append(opts, server.WithGrant(ag.epoch, func() []int { return nil }))
	}
	ag.Reconciler = reconcile.New(ag.clk, reconcile.Settings{Upstream: ag.Up.Name, Address: ag.Up.Address}, engine, ag.FencingGrant,
		reconcile.WithWeights(ag.settings.Platform.Weights), reconcile.WithRecorder(ag.Timeline),
		reconcile.WithChanged(func() { ag.Server.Broadcast(citronstream.MethodLoad, ag.Server.Load()) }),
		reconcile.WithBusy(func(model string) int { return ag.Server.Busy(model) }))
	return append(opts, server.WithModels(ag.Reconciler.Models))
}

// cacheEventWindow is how recently an entry must have sent a call to receive
// cache events. An idle entry does not need them.
const cacheEventWindow = 10 * time.Second

// Rate limit of cache events. All engines of a region together may send an entry
// cacheBytesPerSecond, out of its limit of 5 KB/s for control traffic: unlimited
// events of 87 engines took an estimated 75 KB/s. At that fleet size few events
// pass the limit, and entries rely on the prefixes that they sent themselves.
const (
	cacheBytesPerSecond = 1000
	cacheBurstBytes     = 4096
	eventBytes          = 120 // JSON size of an event without blocks
	blockBytes          = 21
)

// enginesPerRegion returns the mean number of engines in a region, at least 1.
func (ag *Agent) enginesPerRegion() int {
	fl := ag.Config.Current().Fleet
	kinds := make(map[string]string, len(fl.Services))
	for _, se := range fl.Services {
		kinds[se.Name] = se.Kind
	}
	count := 0
	for _, up := range fl.Upstreams {
		if kinds[up.Service] == citronstream.KindEngine {
			count++
		}
	}
	return max(1, count/max(1, len(fl.Regions)))
}

// setUpLoadReports sets up the reports that the agent reads from the upstream.
func (ag *Agent) setUpLoadReports(se *citronstream.Service) {
	mean := initialRate(se, 1)
	switch {
	case se.Kind == citronstream.KindEngine:
		ag.reader = report.New()
		limit := rate.NewLimiter(rate.Limit(cacheBytesPerSecond/float64(ag.enginesPerRegion())), cacheBurstBytes)
		ag.CacheFeed = cachefeed.New(ag.clk, ag.reader, ag.Up.Name, ag.Up.Address, ag.newActivityCheck(), func(ev prefix.Event) {
			// Receivers see a dropped event as a gap in the sequence numbers.
			if limit.AllowN(ag.clk.Now(), eventBytes+blockBytes*(len(ev.Stored)+len(ev.Evicted))) {
				ag.Server.Offer(citronstream.MethodCache, ev, cacheEventWindow)
			}
		})
		ag.UpstreamLoad = upstreamload.New(ag.clk, ag.Up.Address, ag.reader.EngineLoad, mean, ag.newActivityCheck())
	case se.Kind == citronstream.KindPlain && se.ReportsLoad:
		ag.reader = report.New()
		ag.UpstreamLoad = upstreamload.New(ag.clk, ag.Up.Address, ag.reader.ServiceLoad, mean, ag.newActivityCheck())
	}
}

// addOwnReport adds the upstream's own load report. If the upstream is down, it
// also marks the engine's models as lost.
func (ag *Agent) addOwnReport(lo *citronstream.Load) {
	if ag.UpstreamLoad != nil {
		ag.UpstreamLoad.Merge(lo)
	}
	if lo.Down && ag.Reconciler != nil {
		ag.Reconciler.Down()
	}
}

// newActivityCheck returns a function that reports whether calls are running or
// have run since its last invocation, as a call can be shorter than the interval
// between invocations.
func (ag *Agent) newActivityCheck() func() bool {
	seen := uint64(0)
	return func() bool {
		ran := ag.Server.Counts().Ran.Load()
		previous := seen
		seen = ran
		return ran != previous || ag.Server.Running() > 0
	}
}
