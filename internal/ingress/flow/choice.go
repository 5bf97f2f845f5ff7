package flow

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/citronstream/citronstream/internal/limit/coldrate"
	"github.com/citronstream/citronstream/internal/route/engines"
	"github.com/citronstream/citronstream/internal/route/leastrequest"
)

// turnInterval is how often a request that waits for a cold upstream looks whether it is
// its turn.
const turnInterval = 20 * time.Millisecond

// usable returns the upstreams that may get the request now: without cold ones that may
// take nothing more from this process, or whose next permit is for a request that waits,
// and without plain ones whose connections are in use.
func (rt *request) usable() []*node.Node {
	nodes := coldrate.Usable(rt.fl.Cold, rt.permitted(), func(nd *node.Node) string { return nd.ID }, rt.service, rt.urgency(), rt.turn)
	if first := slices.IndexFunc(nodes, func(nd *node.Node) bool { return !rt.hasConnection(nd) }); first >= 0 {
		left := append(make([]*node.Node, 0, len(nodes)), nodes[:first]...)
		for _, nd := range nodes[first+1:] {
			if rt.hasConnection(nd) {
				left = append(left, nd)
			}
		}
		return left
	}
	return nodes
}

// permitted returns the upstreams to which the request may be sent: those in the regions
// that it is restricted to.
func (rt *request) permitted() []*node.Node {
	members := rt.fl.View.Members()
	nodes := members.Service(rt.service)
	if rt.fl.Ramp.Active() {
		nodes = slices.Clone(nodes)
		for _, nd := range members.Evacuees(rt.service) {
			if rt.mayStay(nd.Zone) {
				nodes = append(nodes, nd)
			}
		}
	}
	return rt.allowed(nodes)
}

// mayStay reports whether the request may still use an evacuated zone, whose load moves. The
// queues of stages leave it at once: they give the others no more than these can take, and
// admission is to count what is left.
func (rt *request) mayStay(zone string) bool { return rt.stay < rt.fl.Ramp.Share(zone) }

func (rt *request) permittedOf(service string) []*node.Node {
	return rt.allowed(rt.fl.View.Members().Service(service))
}

// allowed returns those of some upstreams that are in the regions of the request.
func (rt *request) allowed(nodes []*node.Node) []*node.Node {
	if rt.regions == "" {
		return nodes
	}
	var allowed []*node.Node
	for _, nd := range nodes {
		if rt.fl.Zones.Allows(rt.regions, nd.Zone) {
			allowed = append(allowed, nd)
		}
	}
	return allowed
}

// checkRegions refuses a request for which no upstream is left in the regions that it is
// restricted to.
func (rt *request) checkRegions() *citronstream.Fault {
	if rt.regions == "" {
		return nil
	}
	services := []string{rt.service}
	for _, st := range rt.stages.list {
		if st.pieces > 0 {
			services = append(services, st.spec.Service)
		}
	}
	for _, service := range services {
		if len(rt.permittedOf(service)) == 0 {
			return citronstream.NewFault(citronstream.NotRun, citronstream.CodeUnavailable, "no upstream of service %s is known in the allowed regions (%s)", service, rt.regions)
		}
	}
	return nil
}

// pick chooses an upstream and takes the permit that it may need. An engine is counted as
// used until attempt calls Engines.End.
func (rt *request) pick() (*node.Node, *engines.Request, *coldrate.Permit) {
	for {
		nodes := rt.usable()
		nd, demand := rt.choose(nodes)
		if nd == nil {
			return nil, nil, nil
		}
		if permit, ok := rt.fl.Cold.Take(nd.ID); ok {
			return nd, demand, permit
		}
		// Another request has taken the last permit, so that nd is not usable any more.
		if demand != nil {
			rt.fl.Engines.End(nd, *demand, false)
		}
	}
}

// choose chooses one of the upstreams.
func (rt *request) choose(nodes []*node.Node) (*node.Node, *engines.Request) {
	if rt.routes.Services[rt.service].Engine {
		demand := rt.demand(rt.tried)
		if nd := rt.fl.Engines.Pick(nodes, &demand); nd != nil {
			return nd, &demand
		}
		return rt.anyUntried(nodes), nil
	}
	if nd := leastrequest.Pick(nodes, rt.fl.Zone, rt.tried, rt.fl.clk.Now()); nd != nil {
		return nd, nil
	}
	return rt.anyUntried(nodes), nil
}

// anyUntried returns a random upstream that was not tried, including ones that
// seem broken, but none in a pause that it has asked for.
func (rt *request) anyUntried(nodes []*node.Node) *node.Node {
	var left []*node.Node
	now := rt.fl.clk.Now()
	for _, nd := range nodes {
		if _, paused := nd.Self.Paused(now); !paused && !rt.tried[nd.ID] {
			left = append(left, nd)
		}
	}
	if len(left) == 0 {
		return nil
	}
	return left[rand.IntN(len(left))]
}

// pickLater waits for a permit of a cold upstream if only such ones are left and the
// request can still reach its target then. The most urgent requests come first.
func (rt *request) pickLater(ctx context.Context) (*node.Node, *engines.Request, *coldrate.Permit) {
	cold := rt.candidates()
	if len(cold) == 0 {
		return nil, nil, nil
	}
	latest := rt.target.Add(-rt.fl.latencies.expected(rt.route.Name, rt.readTime))
	if rt.started {
		latest = rt.fl.clk.Now().Add(rt.timeLeft()) // else the stream ends as cut
	}
	wa := rt.fl.Cold.Wait(rt.service, rt.urgency(), cold)
	defer wa.Leave()
	defer func() { rt.turn = false }()
	for ctx.Err() == nil {
		rt.turn = wa.Turn()
		if nd, demand, permit := rt.pick(); nd != nil {
			return nd, demand, permit
		}
		wait := rt.fl.Cold.Next(cold, wa.Ahead())
		if rt.fl.clk.Now().Add(wait).After(latest) {
			rt.refuseCold(len(cold), wait)
			return nil, nil, nil
		}
		timer := rt.fl.clk.NewTimer(turnInterval)
		select {
		case <-ctx.Done():
		case <-timer.Chan():
		}
		timer.Stop()
		rt.fl.Pass(ctx)
		if cold = rt.candidates(); len(cold) == 0 {
			return nil, nil, nil
		}
		wa.SetCandidates(cold)
	}
	return nil, nil, nil
}

// candidates returns the upstreams that the request may still be sent to, whether they may
// take it now or not.
func (rt *request) candidates() (ids []string) {
	now := rt.fl.clk.Now()
	for _, nd := range rt.permitted() {
		if _, paused := nd.Self.Paused(now); !paused && !rt.tried[nd.ID] {
			ids = append(ids, nd.ID)
		}
	}
	return ids
}

// refuseCold records that the cold upstreams that are left can't take the request in time.
func (rt *request) refuseCold(count int, wait time.Duration) {
	rt.noRetry = noPermitLeft
	if rt.worst.Verdict != citronstream.NotRun {
		return
	}
	rt.worst = citronstream.NewFault(citronstream.NotRun, citronstream.CodeOverloaded, "the %d upstreams of service %s that are left are cold and take no more for %v", count, rt.service, wait.Round(time.Millisecond))
	rt.worst.RetryAfter = max(wait, shortRetryAfter)
}

// recheck returns why the chosen upstream may get nothing any more. Inputs of the request
// may have been computed since it was chosen.
func (rt *request) recheck(at *attempt) *citronstream.Fault {
	members := rt.fl.View.Members()
	stays := members.Evacuated(at.nd.Zone) && rt.mayStay(at.nd.Zone)
	if members.Evacuated(at.nd.Zone) && !stays {
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeUnavailable, "zone %s of upstream %s was evacuated", at.nd.Zone, at.nd.ID)
	}
	if !members.TakesWork(rt.service, at.nd.ID, at.nd.StartedMs) && !(stays && members.WouldTakeWork(rt.service, at.nd.ID, at.nd.StartedMs)) {
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeUnavailable, "upstream %s takes no new work or is gone", at.nd.ID)
	}
	if _, paused := at.nd.Self.Paused(rt.fl.clk.Now()); paused {
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeOverloaded, "upstream %s asks for a pause", at.nd.ID)
	}
	if at.permit == nil {
		permit, ok := rt.fl.Cold.Take(at.nd.ID)
		if !ok {
			return citronstream.NewFault(citronstream.NotRun, citronstream.CodeOverloaded, "upstream %s has turned cold", at.nd.ID)
		}
		at.permit = permit
	}
	return nil
}
