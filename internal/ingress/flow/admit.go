package flow

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/limit/partquarantine"
	"github.com/citronstream/citronstream/internal/route/regions"
	"github.com/citronstream/citronstream/platform"
)

// shortRetryAfter is the Retry-After of a process that can't serve yet or is
// leaving. Another process may serve the request at once.
const shortRetryAfter = 200 * time.Millisecond

const (
	// usualStart is how long a process takes to read the configuration when the store is
	// sound. After it the store is away, mostly for longer than a second, and callers that
	// may come back only once must not do so too early.
	usualStart  = 300 * time.Millisecond
	storeReturn = time.Second
	// returnSpread is the part by which the time to come back varies, so that callers that
	// were refused together do not return together.
	returnSpread = 0.3
)

// notReadyRetryAfter returns the Retry-After of a process that has no configuration and
// has run for some time. Draw is a random number in [0, 1).
func notReadyRetryAfter(running time.Duration, draw float64) time.Duration {
	if running < usualStart {
		return shortRetryAfter
	}
	return time.Duration(float64(storeReturn) * (1 - returnSpread + 2*returnSpread*draw))
}

// admit reads and checks the request and selects its route and service. It
// returns false if it has already responded.
func (rt *request) admit() (outcome, bool) {
	var err error
	rt.CallerRequest, err = platform.ParseRequest(rt.rq.Header)
	if err != nil {
		rt.CallerRequest = &citronstream.CallerRequest{}
		return rt.reject(http.StatusBadRequest, err.Error()), false
	}
	if !rt.takeParsed() {
		return rt.refuseMemory(errNoMemory), false
	}
	if rt.fl.closed() {
		return rt.refuseLeaving("this process is shutting down"), false
	}
	rt.fl.Pass(rt.rq.Context())
	rt.routes = rt.fl.View.Routes()
	if rt.routes == nil {
		return rt.respond(http.StatusServiceUnavailable, notReadyRetryAfter(rt.fl.clk.Since(rt.fl.began), rand.Float64()),
			citronstream.NewFault(citronstream.NotRun, citronstream.CodeNotReady, "no configuration is known yet")), false
	}
	rt.route = rt.routes.Find(rt.rq.Host, rt.rq.URL.Path)
	if rt.route == nil {
		return rt.reject(http.StatusNotFound, "no route matches the host and path"), false
	}
	if !rt.identify() {
		return rt.reject(http.StatusUnauthorized, "unknown API key"), false
	}
	if out, ok := rt.readBody(); !ok {
		return out, false
	}
	if rt.fl.closed() { // the body may have taken long
		return rt.refuseLeaving("this process has begun to shut down before the request was read"), false
	}
	rt.setDeadlines()
	rt.raised = rt.fl.floor.Below(rt.route.Name)
	rt.service = pickShare(rt.route.Split)
	if until, held := rt.fl.Holds.Held(rt.digest); held {
		return rt.respond(http.StatusServiceUnavailable, until.Sub(rt.fl.clk.Now()),
			citronstream.NewFault(citronstream.NotRun, citronstream.CodeQuarantined, "this content is quarantined, as upstreams died while running it")), false
	}
	var re *partquarantine.Refusal
	if rt.visit, re = rt.fl.Parts.Enter(rt.Shared()); re != nil && re.Held {
		return rt.respond(http.StatusServiceUnavailable, re.RetryAfter, partFault(re)), false
	}
	if re != nil {
		return rt.respondFault(rt.rq.Context(), partFault(re)), false
	}
	return outcome{}, true
}

// partFault returns the fault of a request that is refused for a prompt part.
func partFault(re *partquarantine.Refusal) *citronstream.Fault {
	text := "prompt part %s is tried one request at a time, as upstreams died with it"
	if re.Held {
		text = "prompt part %s is quarantined, as upstreams died with it"
	}
	fa := citronstream.NewFault(citronstream.NotRun, citronstream.CodeQuarantined, text, partquarantine.PartName(re.Part))
	fa.RetryAfter = re.RetryAfter
	return fa
}

// identify finds the workspace of the request's key. It returns false if the
// route requires a key and this one is unknown.
func (rt *request) identify() bool {
	rt.rank = rt.route.Rank
	holder, known := rt.routes.Keys[rt.Key]
	if known {
		rt.workspace = holder.Workspace
		if holder.Rank >= 0 {
			rt.rank = holder.Rank
		}
	}
	rt.regions = regions.New(rt.route.Regions, holder.Regions)
	return known || rt.route.Anonymous || rt.routes.Keys == nil
}

// setDeadlines sets the target time and the deadline of the request.
func (rt *request) setDeadlines() {
	left := rt.route.Timeout
	if !rt.Unbounded && (rt.Left < left || left <= 0) {
		left = rt.Left
	}
	rt.end = rt.at.Add(left)
	rt.first, rt.returned = rt.fl.Refused.First(rt.digest, rt.at)
	rt.target = rt.first.Add(rt.route.Target)
}

// pickShare picks a service at random by the weights of the route.
func pickShare(split []citronstream.Share) string {
	sum := 0.0
	for _, sh := range split {
		sum += max(0, sh.Weight)
	}
	at := rand.Float64() * sum
	for _, sh := range split {
		if at -= max(0, sh.Weight); at < 0 {
			return sh.Service
		}
	}
	return split[0].Service
}
