package flow

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/citronstream/citronstream/internal/route/engines"
)

// maxUnreached is the maximum number of upstreams that could not be reached.
// They do not count as attempts.
const maxUnreached = 4

// forward tries upstreams until one has responded.
func (rt *request) forward(ctx context.Context) outcome {
	rt.tried, rt.visited = make(map[string]bool), make(map[string]bool)
	rt.worst = citronstream.NewFault(citronstream.NotRun, citronstream.CodeUnavailable, "no upstream of service %s is known", rt.service)
	rt.fl.Budget.First(rt.service)
	defer rt.returnRetry()
	for next := (*attempt)(nil); ; {
		at, send := next, rt.waitFor
		if at == nil {
			at, send = rt.nextAttempt(ctx), rt.send
		}
		if at == nil {
			break
		}
		var re result
		if re, next = rt.relay(at, send); re.done {
			return re.out
		}
		rt.account(at, &re)
		if ctx.Err() != nil || rt.unplaced || re.quarantined || re.fault.Verdict != citronstream.NotRun && !rt.route.Repeat.Idempotent() {
			rt.abandon(next)
			break
		}
		if re.inputLost && next == nil {
			if fa := rt.recomputeInputs(ctx); fa != nil {
				if rt.worst.Verdict == citronstream.NotRun {
					rt.worst = fa
				}
				break // an earlier attempt may have run, whatever became of this one
			}
		}
	}
	if rt.fallback != nil && !rt.started && ctx.Err() == nil {
		return rt.writeResponse(rt.fallback, "upstream failed")
	}
	return rt.respondFault(ctx, rt.worst)
}

// nextAttempt chooses the next upstream. It returns nil and sets noRetry if there is none
// or no other one may be tried.
func (rt *request) nextAttempt(ctx context.Context) *attempt {
	if rt.unreached >= maxUnreached {
		rt.noRetry = noUpstreamReached
		return nil
	}
	var retry time.Time
	if rt.deliveries > 0 && !rt.mayRepeat(ctx) {
		rt.noRetry = contentHeld
		return nil
	}
	if rt.deliveries > 0 {
		if retry, rt.noRetry = rt.takeRetry(); rt.noRetry != "" {
			return nil
		}
	}
	rt.fl.Pass(ctx)
	rt.noRetry = ""
	nd, demand, permit := rt.pick()
	for nd == nil && rt.awaitPause(ctx) {
		nd, demand, permit = rt.pick()
	}
	if nd == nil && rt.noRetry == "" {
		nd, demand, permit = rt.awaitConnection(ctx)
	}
	if nd == nil && rt.noRetry == "" {
		nd, demand, permit = rt.pickLater(ctx)
	}
	if nd == nil {
		rt.noRetry = cmp.Or(rt.noRetry, noUpstreamLeft)
		if !retry.IsZero() {
			rt.keepRetry(retry) // returnRetry gives it back
		}
		return nil
	}
	at := rt.newAttempt(ctx, nd, demand, retry)
	at.permit = permit
	return at
}

// account records the outcome of an attempt that did not end the request.
func (rt *request) account(at *attempt, re *result) {
	switch {
	case re.reached || re.misdirected:
		rt.deliveries++
	case !at.retry.IsZero():
		rt.keepRetry(at.retry)
	}
	switch {
	case re.reached:
		rt.sends++
	case !re.withheld:
		rt.unreached++
	}
	if re.response != nil {
		rt.fallback = re.response
	}
	if re.fault != nil && (rt.worst.Verdict == citronstream.NotRun || re.fault.Verdict != citronstream.NotRun) {
		rt.worst = re.fault
	}
}

// waitFor waits until an attempt that a takeover has begun has a response or a fault.
func (rt *request) waitFor(at *attempt) { <-at.returned }

// abandon ends an attempt whose response is not needed any more; it may be nil.
func (rt *request) abandon(at *attempt) {
	if at == nil {
		return
	}
	at.cancel(nil)
	<-at.returned
	rt.finish(at)
}

// Reasons for not trying another upstream, for the log.
const (
	noUpstreamLeft    = "no other upstream"
	noUpstreamReached = "no upstream reached"
	noAttemptLeft     = "no attempt left"
	noRetryBudget     = "retry budget used up"
	contentHeld       = "content quarantined"
	upstreamsPaused   = "all upstreams ask for a pause"
	noPermitLeft      = "other upstreams are cold"
	noConnectionLeft  = "no connection left"
)

const (
	// verdictTimeout bounds the wait for the decision whether content is held: 50 ms until
	// the upstream is probed, and 250 to 350 ms until all have told what ran there.
	verdictTimeout = 600 * time.Millisecond
	verdictPoll    = 20 * time.Millisecond
)

// mayRepeat reports whether the request may be sent again: it is not held. A process that
// does not know yet which content has crashed upstreams waits, after a connection that
// broke, until its peers have told it or it is clear whether the upstream has died.
func (rt *request) mayRepeat(ctx context.Context) bool {
	if rt.checked != nil && !rt.fl.Holds.Knows() {
		rt.awaitVerdict(ctx, rt.checked)
	}
	rt.checked = nil
	_, held := rt.fl.Holds.Held(rt.digest)
	return !held && ctx.Err() == nil
}

// awaitVerdict waits until it is decided whether the content of the request is held.
func (rt *request) awaitVerdict(ctx context.Context, checked <-chan struct{}) {
	ctx, cancel := context.WithTimeout(ctx, verdictTimeout)
	defer cancel()
	select {
	case <-checked:
	case <-rt.fl.Holds.Learned():
	case <-ctx.Done():
	}
	for rt.fl.Holds.Unsettled(rt.digest) && ctx.Err() == nil {
		timer := rt.fl.clk.NewTimer(verdictPoll)
		select {
		case <-timer.Chan():
		case <-rt.fl.Holds.Learned():
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// awaitPause waits until the first upstream of the service takes requests again, if all have
// asked for a pause and the request then still reaches its target. Otherwise it returns false,
// and if all are in a pause the request is to be refused with the time until then. Traffic
// returns over some time, so the waits end at different times.
func (rt *request) awaitPause(ctx context.Context) bool {
	now := rt.fl.clk.Now()
	nodes := rt.permitted()
	var first *node.Node
	var end time.Time
	for _, nd := range nodes {
		until, paused := nd.Self.Paused(now)
		if !paused {
			return false
		}
		if first == nil || until.Before(end) {
			first, end = nd, until
		}
	}
	if first == nil {
		return false
	}
	at := end.Add(rand.N(first.Self.Returned().Sub(end) + 1))
	if at.Add(rt.fl.latencies.expected(rt.route.Name, rt.readTime)).After(rt.target) {
		if rt.worst.Verdict == citronstream.NotRun {
			rt.worst = citronstream.NewFault(citronstream.NotRun, citronstream.CodeOverloaded, "all upstreams of service %s ask for a pause", rt.service)
			rt.worst.RetryAfter = at.Sub(now)
		}
		rt.noRetry = upstreamsPaused
		return false
	}
	timer := rt.fl.clk.NewTimer(at.Sub(now))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.Chan():
	}
	delete(rt.tried, first.ID) // it may have refused this request when it asked for the pause
	return true
}

// takeRetry takes a repeat from the retry budget, unless one is in hand, and returns when
// it was taken, or why there is none.
func (rt *request) takeRetry() (taken time.Time, missing string) {
	switch {
	case !rt.nextRetry.IsZero():
		taken, rt.nextRetry = rt.nextRetry, time.Time{}
		return taken, ""
	case rt.sends >= rt.route.Attempts:
		return taken, noAttemptLeft
	}
	taken = rt.fl.clk.Now()
	if rt.fl.Budget.Take(rt.service, 1) < 1 {
		return taken, noRetryBudget
	}
	return taken, ""
}

// keepRetry keeps the repeat of an attempt that reached no upstream for the next one,
// unless another one is in hand.
func (rt *request) keepRetry(taken time.Time) {
	if rt.nextRetry.IsZero() {
		rt.nextRetry = taken
		return
	}
	rt.fl.Budget.Return(rt.service, 1, taken)
}

// returnRetry returns a repeat to the budget that was taken and not needed.
func (rt *request) returnRetry() {
	if !rt.nextRetry.IsZero() {
		rt.fl.Budget.Return(rt.service, 1, rt.nextRetry)
		rt.nextRetry = time.Time{}
	}
}

// recomputeInputs recomputes lost inputs of the request.
func (rt *request) recomputeInputs(ctx context.Context) *citronstream.Fault {
	rt.stages.recomputeMu.Lock()
	defer rt.stages.recomputeMu.Unlock()
	return rt.stages.recompute(ctx, rt.stages.finalStages())
}

// estimateReadTime sets the time to read the prompt.
func (rt *request) estimateReadTime() {
	if rt.routes.Services[rt.service].Engine {
		rt.readTime = rt.fl.Engines.ReadTime(rt.usable(), rt.demand(nil))
	}
}

// preferredEngine returns the engine that the request would get now if its
// stages were done, nil for services without engines. Needs is the time that the
// stages still take.
func (rt *request) preferredEngine(needs time.Duration) *node.Node {
	if !rt.routes.Services[rt.service].Engine {
		return nil
	}
	return rt.fl.Engines.Prefer(rt.usable(), rt.laterDemand(needs))
}

// laterDemand describes the request for the choice of an engine when its stages, which
// still take some time, are done.
func (rt *request) laterDemand(needs time.Duration) engines.Request {
	demand := rt.demand(nil)
	demand.Slack -= needs
	return demand
}
