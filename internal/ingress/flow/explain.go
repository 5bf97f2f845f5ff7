package flow

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/citronstream/citronstream/internal/limit/partquarantine"
	"github.com/citronstream/citronstream/internal/route/leastrequest"
	"github.com/citronstream/citronstream/internal/route/regions"
)

// WhereError says why a query has no result. Status is that of the answer.
type WhereError struct {
	Status int
	Text   string
}

// Error implements error.
func (we *WhereError) Error() string { return we.Text }

// Explain tells where a request or a job would go now, by the decisions that requests go
// through. It sends nothing, counts nothing and takes no permit. The error is a *WhereError.
func (fl *Flow) Explain(qu *citronstream.WhereQuery) (*citronstream.Where, error) {
	routes := fl.View.Routes()
	if routes == nil || fl.leaving.Load() > 0 {
		return nil, &WhereError{http.StatusServiceUnavailable, "this gateway is not ready"}
	}
	wh := &citronstream.Where{Queues: []citronstream.WhereQueue{}, Candidates: []citronstream.WhereCandidate{}, Excluded: []citronstream.WhereExcluded{}}
	if qu.Job != nil {
		return wh, fl.explainJob(wh, qu.Job, routes.Services)
	}
	rt, err := fl.queried(qu)
	if err != nil {
		return nil, err
	}
	wh.Route, wh.Workspace, wh.Service, wh.Raised = rt.route.Name, rt.workspace, rt.service, rt.raised
	wh.Rank, wh.RouteRank = rt.ranks()
	wh.Regions = rt.regions.String()
	if len(rt.route.Split) > 1 {
		wh.Split = make(map[string]float64)
		for _, sh := range rt.route.Split {
			wh.Split[sh.Service] = sh.Weight
		}
	}
	rt.explainAdmission(wh)
	rt.explainChoice(wh)
	return wh, nil
}

func (fl *Flow) explainJob(wh *citronstream.Where, jo *citronstream.WhereJob, services map[string]citronstream.ServiceSpec) error {
	if services[jo.Service].Batch == nil {
		return &WhereError{http.StatusNotFound, "service " + jo.Service + " has no queue of a stage"}
	}
	allowed := regions.New(jo.Regions, nil)
	wh.Service, wh.RouteRank, wh.Rank, wh.Regions = jo.Service, jo.Rank, jo.Rank, allowed.String()
	wh.Queues = append(wh.Queues, fl.Broker.Explain(jo.Service, allowed, fromMilliseconds(jo.SlackMs), jo.Rank, jo.Admitted))
	now := fl.clk.Now()
	for _, nd := range fl.View.Members().Listed(jo.Service) {
		if reason := fl.excluded(nd, allowed, now); reason != "" {
			wh.Excluded = append(wh.Excluded, citronstream.WhereExcluded{Upstream: nd.ID, Zone: nd.Zone, Reason: reason})
		}
	}
	return nil
}

func fromMilliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// queried returns the request of a query, as admit would leave it.
func (fl *Flow) queried(qu *citronstream.WhereQuery) (*request, error) {
	rt := &request{
		CallerRequest: &citronstream.CallerRequest{Key: qu.Key, Left: fromMilliseconds(qu.LeftMs), Unbounded: qu.LeftMs <= 0, TokensIn: qu.Tokens, Pieces: qu.Pieces},
		fl:            fl, at: fl.clk.Now(), suspended: fl.Suspended(), routes: fl.View.Routes(), tried: make(map[string]bool),
	}
	sum := 0
	for _, part := range qu.Prompt {
		rt.Prompt = append(rt.Prompt, citronstream.PromptPart{ID: citronstream.Digest([]byte(part.Name)), Tokens: part.Tokens})
		sum += part.Tokens
	}
	rt.TokensIn = max(rt.TokensIn, sum)
	if rt.route = rt.routes.Find(qu.Host, qu.Path); rt.route == nil {
		return nil, &WhereError{http.StatusNotFound, "no route matches the host and path"}
	}
	if qu.Workspace != "" {
		if rt.Key = rt.keyOf(qu.Workspace); rt.Key == "" {
			return nil, &WhereError{http.StatusUnauthorized, "no API key belongs to workspace " + qu.Workspace}
		}
	}
	if !rt.identify() {
		return nil, &WhereError{http.StatusUnauthorized, "unknown API key"}
	}
	rt.deadlinesFrom(rt.at)
	rt.raised = fl.floor.Below(rt.route.Name)
	if rt.service = serviceOf(rt.route.Split, qu.Service); rt.service == "" {
		return nil, &WhereError{http.StatusNotFound, "route " + rt.route.Name + " has no service " + qu.Service}
	}
	rt.visit, _ = fl.Parts.Enter(nil) // counts nothing
	rt.estimateReadTime()
	rt.stages = newStages(rt)
	return rt, nil
}

// keyOf returns an API key of a workspace, empty if it has none.
func (rt *request) keyOf(workspace string) string {
	for key, holder := range rt.routes.Keys {
		if holder.Workspace == workspace {
			return key
		}
	}
	return ""
}

// serviceOf returns the named service of a route, or the one with the greatest weight.
func serviceOf(split []citronstream.Share, name string) (best string) {
	most := -1.0
	for _, sh := range split {
		if sh.Service == name {
			return name
		}
		if name == "" && sh.Weight > most {
			best, most = sh.Service, sh.Weight
		}
	}
	return best
}

// explainAdmission adds the decision on admission and the queues of the stages.
func (rt *request) explainAdmission(wh *citronstream.Where) {
	if re := rt.fl.Parts.Check(rt.Shared()); re != nil {
		wh.Admission = &citronstream.WhereAdmission{Reason: partFault(re).Text, Suspect: partquarantine.PartName(re.Part), RetryAfterMs: citronstream.Milliseconds(re.RetryAfter)}
		return
	}
	if fa := rt.checkRegions(); fa != nil {
		wh.Admission = &citronstream.WhereAdmission{Reason: fa.Text, RetryAfterMs: citronstream.Milliseconds(fa.RetryAfter)}
		return
	}
	if len(rt.stages.list) == 0 {
		wh.Admission = &citronstream.WhereAdmission{
			Admit: true, Reason: "the route has no stages", TargetMs: citronstream.Milliseconds(rt.target.Sub(rt.at)), LeftMs: citronstream.Milliseconds(rt.deadlineLeft()),
			ReadMs: citronstream.Milliseconds(rt.readTime),
		}
		return
	}
	rq, at, de := rt.stages.decide(0.5)
	wa := &citronstream.WhereAdmission{
		Admit: de.Admit, RetryAfterMs: citronstream.Milliseconds(de.RetryAfter), WaitFor: at, NeedsMs: citronstream.Milliseconds(rq.Needs), RestMs: citronstream.Milliseconds(rq.Rest),
		WaitMs: citronstream.Milliseconds(rq.Wait), TargetMs: citronstream.Milliseconds(rq.Target), LeftMs: citronstream.Milliseconds(rq.Left), ReadMs: citronstream.Milliseconds(rt.readTime),
	}
	switch {
	case !de.Admit && rq.Pause > 0:
		wa.Reason = "all upstreams of a stage are in a pause"
	case !de.Admit && rq.Needs+rq.Rest >= rq.Left:
		wa.Reason = "it would not end before its deadline"
	case !de.Admit:
		wa.Reason = "it would miss its target and wait for long"
	case rq.Needs <= rq.Target:
		wa.Reason = "it can reach its target"
	default:
		wa.Reason = "it would miss its target, but the wait is short"
	}
	wh.Admission = wa
	_, rank := rt.ranks()
	for _, st := range rt.stages.list {
		wq := rt.fl.Broker.Explain(st.spec.Service, rt.regions, rq.Target-rq.Needs, rank, false)
		wq.Stage, wq.Pieces = st.number, st.pieces
		wh.Queues = append(wh.Queues, wq)
	}
}

// explainChoice adds the choice of the upstream and what excludes others.
func (rt *request) explainChoice(wh *citronstream.Where) {
	fl, now, usable := rt.fl, rt.fl.clk.Now(), rt.usable()
	if rt.routes.Services[rt.service].Engine {
		needs := time.Duration(0)
		if len(rt.stages.list) > 0 {
			needs = rt.stages.estimate(true)
		}
		ex := fl.Engines.Explain(usable, rt.laterDemand(needs))
		wh.Home, wh.HomeKnown = ex.Home, ex.Known
		wh.Candidates = append(wh.Candidates, ex.Candidates...)
		if ex.Chosen != nil {
			wh.Chosen = ex.Chosen.ID
		}
	} else if list := leastrequest.Explain(usable, fl.Zone, nil, now); len(list) > 0 {
		wh.Candidates, wh.Chosen = list, list[0].Upstream
	}
	listed := make(map[string]bool)
	for _, ca := range wh.Candidates {
		listed[ca.Upstream] = true
	}
	for _, nd := range fl.View.Members().Listed(rt.service) {
		if !listed[nd.ID] {
			reason := cmp.Or(fl.excluded(nd, rt.regions, now), "a request that waits comes first")
			wh.Excluded = append(wh.Excluded, citronstream.WhereExcluded{Upstream: nd.ID, Zone: nd.Zone, Reason: reason})
		}
	}
	switch {
	case wh.Chosen != "":
	case len(usable) > 0:
		wh.NoChoice = "all upstreams seem broken; a random one would be tried"
	case len(wh.Excluded) > 0:
		wh.NoChoice = "no upstream takes new requests"
	default:
		wh.NoChoice = "no upstream of service " + rt.service + " is known"
	}
}

// excluded returns why an upstream gets no requests with these allowed regions now, empty
// if it may get some.
func (fl *Flow) excluded(nd *node.Node, allowed regions.Set, now time.Time) string {
	members := fl.View.Members()
	switch {
	case members.Evacuated(nd.Zone):
		return "its zone is evacuated"
	case nd.Draining:
		return "draining"
	case !slices.Contains(members.Service(nd.Service), nd):
		return "it has said that it leaves"
	case allowed != "" && !fl.Zones.Allows(allowed, nd.Zone):
		return "outside of the allowed regions"
	case nd.Avoided(now):
		return "its connections broke, or it died"
	case !fl.Cold.Free(nd.ID) && !fl.Cold.Settled():
		return "cold, and the list of gateways may be incomplete: " + fl.Cold.Incomplete()
	case !fl.Cold.Free(nd.ID):
		return "cold, and the share of this gateway is used up"
	}
	if routes := fl.View.Routes(); routes != nil && fl.ConnectionLimit != nil {
		if use, bounded := fl.use(routes.Services[nd.Service], nd); bounded && !use.Free() {
			return "the connections to it that are this gateway's share are in use"
		}
	}
	return ""
}
