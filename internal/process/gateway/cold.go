package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/citronstream/citronstream/internal/limit/coldrate"
	"github.com/citronstream/citronstream/internal/stage/owner"
	"github.com/citronstream/citronstream/internal/upstream/batch"
)

// listInterval is how often the list of gateways is read while this process may not send
// to cold upstreams, as it does not know the others.
const listInterval = 2 * time.Second

// firstList is the time from the start within which a missing list of gateways is not logged.
const firstList = 10 * time.Second

// A cold upstream that may take no batch is avoided until it may, within these bounds.
const (
	minColdPause = 20 * time.Millisecond
	maxColdPause = 500 * time.Millisecond
)

// errCold is the reason of batches that are not sent to a cold upstream.
var errCold = errors.New("the upstream is cold and takes no more")

// coldBatcher bounds the batches that are sent to cold upstreams. Reports and releases of
// results don't count.
type coldBatcher struct {
	*batch.Caller
	clk  citronstream.Clock
	cold *coldrate.Limiter
}

var _ owner.Batcher = (*coldBatcher)(nil)

// Run implements owner.Batcher. A batch without a permit counts as one that reached no
// upstream, so that it costs no repeat. A permit counts from when the batch was written.
func (cb *coldBatcher) Run(ctx context.Context, nd *node.Node, items []citronstream.BatchItem) ([]citronstream.ItemResult, bool, error) {
	permit, ok := cb.cold.Take(nd.ID)
	if !ok {
		pause := cb.cold.Next([]string{nd.ID}, 0)
		nd.MarkDead(cb.clk.Now(), min(max(pause, minColdPause), maxColdPause))
		return nil, true, errCold
	}
	results, refused, err := cb.RunReporting(ctx, nd, items, permit.Sent)
	if refused && err != nil {
		permit.Return()
	}
	permit.Sent()
	return results, refused, err
}

// serviceSpec returns the settings of a service, the zero value of unknown ones.
func (ga *Gateway) serviceSpec(service string) citronstream.ServiceSpec {
	if routes := ga.view.Routes(); routes != nil {
		return routes.Services[service]
	}
	return citronstream.ServiceSpec{}
}

// turnsCold reports whether the rate of cold upstreams is bounded for any service.
func (ga *Gateway) turnsCold() bool {
	if routes := ga.view.Routes(); routes != nil {
		for _, spec := range routes.Services {
			if spec.ColdRate > 0 {
				return true
			}
		}
	}
	return false
}

// logCold logs the changes of the upstreams' state.
func (ga *Gateway) logCold() {
	for _, ch := range ga.cold.Changes() {
		text := "upstream warm"
		if ch.Cold {
			text = "upstream cold"
		}
		ga.log.Info(text, "upstream", ch.Upstream, "service", ch.Service, "source", ch.Source, "left", ch.Left.String())
	}
}

// logList logs whether nothing is sent to cold upstreams, as the list of gateways may be
// incomplete. That no list was read yet at the start is no news.
func (ga *Gateway) logList() {
	doubt := ga.cold.Incomplete()
	if doubt == ga.listDoubt || !ga.turnsCold() {
		return
	}
	first := ga.listDoubt == "" && doubt == coldrate.ReasonNotRead && ga.clk.Since(ga.began) < firstList
	switch ga.listDoubt = doubt; {
	case first:
	case doubt == "":
		ga.log.Info("list of gateways complete", "gateways", ga.cold.Known())
	default:
		ga.log.Info("list of gateways may be incomplete, nothing is sent to cold upstreams", "reason", doubt, "gateways", ga.cold.Known())
	}
}

// sweepCold tells the limiter which gateways are known and ends cold times that have passed.
func (ga *Gateway) sweepCold() {
	var known, linked []string
	for _, pe := range ga.mesh.Peers() {
		if pe.Boot() != "" {
			known = append(known, pe.Address)
		}
		if pe.Up() {
			linked = append(linked, pe.Address)
		}
	}
	ga.cold.Gateways(known)
	ga.cold.Linked(linked)
	members := ga.view.Members()
	ga.cold.Sweep(func(id string) bool { return members.Node(id) != nil })
	ga.logCold()
	ga.logList()
	if now := ga.clk.Now(); ga.turnsCold() && ga.cold.MayList() && now.Sub(ga.listAsked) >= listInterval {
		ga.listAsked = now
		ga.discovery.Refresh()
	}
}
