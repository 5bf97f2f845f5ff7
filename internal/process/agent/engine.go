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

// commands sets up the commands to an engine. Their epoch is that of the
// slots' grant if the service has one, else of a grant without slots.
func (ag *Agent) commands(engine reconcile.Engine, fl *citronstream.Fleet, se *citronstream.Service) []server.Option {
	var opts []server.Option
	if ag.Fence = ag.Grant; ag.Fence == nil {
		ag.Fence = grant.New(grant.Settings{Upstream: ag.Up.Name, Service: se.Name, Instance: ag.Up.Instance, Address: ag.Up.Agent},
			ag.set.Platform.Table, ag.set.Platform.Liveness, ag.clk, grant.WithLimits(fl.Limits), grant.WithoutSlots())
		opts = append(opts, server.WithGrant(ag.epoch, func() []int { return nil }))
	}
	ag.Orders = reconcile.New(ag.clk, reconcile.Settings{Upstream: ag.Up.Name, Address: ag.Up.Address}, engine, ag.Fence,
		reconcile.WithWeights(ag.set.Platform.Weights), reconcile.WithRecorder(ag.Timeline),
		reconcile.WithChanged(func() { ag.Server.Broadcast(citronstream.MethodLoad, ag.Server.Load()) }),
		reconcile.WithBusy(func(model string) int { return ag.Server.Busy(model) }))
	return append(opts, server.WithModels(ag.Orders.Models))
}

// cacheWithin is how recently an entry must have sent a call to be told of
// cache events. An idle entry has no use for them and gets none.
const cacheWithin = 10 * time.Second

// Budget of the cache events. All engines of a region together may send an
// entry cacheBytes a second, of the 5 KB that control may cost it: without a
// limit the events of 87 engines took an estimated 75 KB/s. At that size next to
// nothing passes, and entries go by what they sent themselves.
const (
	cacheBytes = 1000
	cacheBurst = 4096
	groupBytes = 120 // of an event without blocks, as JSON
	blockBytes = 21
)

// engines returns the mean number of engines in a region, at least 1.
func (ag *Agent) engines() int {
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

// reports sets up what is read from the upstream itself.
func (ag *Agent) reports(se *citronstream.Service) {
	mean := firstRate(se, 1)
	switch {
	case se.Kind == citronstream.KindEngine:
		ag.reader = report.New()
		limit := rate.NewLimiter(rate.Limit(cacheBytes/float64(ag.engines())), cacheBurst)
		ag.Cache = cachefeed.New(ag.clk, ag.reader, ag.Up.Name, ag.Up.Address, ag.busy(), func(ev prefix.Event) {
			// A group that is left out shows as a gap in the sequence.
			if limit.AllowN(ag.clk.Now(), groupBytes+blockBytes*(len(ev.Stored)+len(ev.Evicted))) {
				ag.Server.Offer(citronstream.MethodCache, ev, cacheWithin)
			}
		})
		ag.Own = upstreamload.New(ag.clk, ag.Up.Address, ag.reader.EngineLoad, mean, ag.busy())
	case se.Kind == citronstream.KindPlain && se.ReportsLoad:
		ag.reader = report.New()
		ag.Own = upstreamload.New(ag.clk, ag.Up.Address, ag.reader.ServiceLoad, mean, ag.busy())
	}
}

// fold adds the upstream's own report, and takes note of a death of the
// engine, which loses its models.
func (ag *Agent) fold(lo *citronstream.Load) {
	if ag.Own != nil {
		ag.Own.Merge(lo)
	}
	if lo.Down && ag.Orders != nil {
		ag.Orders.Down()
	}
}

// busy returns a function that says whether calls run or have run since it was
// last called: a call can be shorter than the interval of its callers.
func (ag *Agent) busy() func() bool {
	seen := uint64(0)
	return func() bool {
		ran := ag.Server.Counts().Ran.Load()
		was := seen
		seen = ran
		return ran != was || ag.Server.Running() > 0
	}
}
