package flow

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
)

const (
	// stallFactor times the target is how long a response may take before
	// another upstream is tried, for idempotent requests.
	stallFactor = 3
	// The first event of a stream may take firstEventFactor times the average
	// plus firstEventExtra: a long prompt takes several times the average.
	firstEventFactor = 4
	firstEventExtra  = time.Second
	// A stream that pauses for longer than gapFactor times the route's MaxGap,
	// and at least minGap, is resumed at another upstream. A sound upstream may be
	// silent for a second or so.
	gapFactor = 2
	minGap    = 2 * time.Second
	// replacementInterval is how often a stalled attempt looks for a replacement.
	replacementInterval = 500 * time.Millisecond
	// acceptTime is how long after it was sent a request counts as accepted by an engine,
	// unless it was refused. Full engines refuse at once, and two may work on one request
	// for 400 ms.
	acceptTime = 250 * time.Millisecond
)

var (
	// errStalled is the cause of an attempt that another upstream has taken over.
	errStalled = errors.New("the upstream stalled")
	// errNotNeeded is the cause of an attempt to take over from an upstream that went on.
	errNotNeeded = errors.New("the upstream before went on")
)

// takeover watches an attempt and sends the request to another upstream when it stalls.
// The attempt goes on until the other upstream has accepted the request: a silent upstream
// may be sound, and the other one may refuse.
//
// The goroutine of the request calls await before it waits for the attempt's upstream, and
// awake or fails before it uses the state of the request again. Between these calls, the
// takeover may use that state. The methods may be called on nil.
type takeover struct {
	rt   *request
	at   *attempt
	wait time.Duration // until the response or its first event
	gap  time.Duration // the longest pause between events; 0 if there are none

	mu       sync.Mutex
	waiting  bool      // the goroutine of the request waits for the upstream
	progress time.Time // when the last response or event has arrived; zero if there was none
	pinned   bool      // the attempt is not to be replaced at present
	over     bool      // the attempt has failed
	ended    bool
	rest     time.Duration // from the first event to the end; 0 once the stream has begun
	timer    interface {
		Stop() bool
		Reset(d time.Duration) bool
	}
	next     *attempt      // at another upstream; nil if there is none
	sent     bool          // next has been written
	settled  chan struct{} // closed when next has been accepted or has failed
	answered bool          // next has a response or a fault
	accepted bool          // the upstream of next has the request now
}

// startTakeover starts to watch an attempt that is about to be made. It returns nil if no
// other upstream may be tried.
func (rt *request) startTakeover(at *attempt) *takeover {
	if !rt.route.Repeat.Idempotent() || rt.sends+1 >= rt.route.Attempts {
		return nil
	}
	to := &takeover{rt: rt, at: at, rest: rt.timeAfterFirstEvent(), wait: stallFactor * rt.route.Target, waiting: true}
	if rt.route.Stream {
		to.wait = firstEventFactor*rt.fl.latencies.expected(rt.route.Name, rt.readTime) + firstEventExtra
		to.gap = max(gapFactor*rt.route.MaxGap, minGap)
	}
	if to.wait <= 0 {
		return nil // without a target, nothing tells whether an upstream is slow
	}
	to.mu.Lock()
	defer to.mu.Unlock()
	to.timer = rt.fl.clk.AfterFunc(to.wait, rt.guard(to.expired))
	return to
}

// await is called before the goroutine of the request waits for the upstream.
func (to *takeover) await() {
	if to == nil {
		return
	}
	to.mu.Lock()
	defer to.mu.Unlock()
	to.waiting = true
}

// tryAwake is like awake if no other upstream is tried. Else it returns false, and the
// goroutine of the request is to wait for the upstream again.
func (to *takeover) tryAwake() bool {
	if to == nil {
		return true
	}
	to.mu.Lock()
	defer to.mu.Unlock()
	if to.next != nil {
		return false
	}
	to.waiting = false
	return true
}

// awake is called when the goroutine of the request no longer waits for the upstream. It
// reports whether the attempt goes on. With progress, it does unless another upstream has
// accepted the request; without, it waits until one that was tried accepts or fails.
func (to *takeover) awake(progress bool) bool {
	if to == nil {
		return true
	}
	to.mu.Lock()
	to.waiting = false
	if progress && !to.accepted {
		to.progress, to.rest = to.rt.fl.clk.Now(), 0
		if to.next != nil {
			to.next.cancel(errNotNeeded)
		}
		if to.gap > 0 {
			to.timer.Reset(to.gap)
		}
	}
	settled, tried := to.settled, to.next != nil
	to.mu.Unlock()
	if tried {
		<-settled
	}
	to.mu.Lock()
	defer to.mu.Unlock()
	return !to.accepted
}

// fails is called when the attempt has failed, in place of awake. It waits until no other
// upstream is tried: one that has the request accepts it, as nothing else is left.
func (to *takeover) fails() {
	if to == nil {
		return
	}
	to.mu.Lock()
	to.waiting, to.over = false, true
	if to.sent {
		to.acceptLocked(to.next, false)
	}
	to.mu.Unlock()
	to.awake(false)
}

// pin sets whether the attempt goes on even if it can be replaced.
func (to *takeover) pin(pinned bool) {
	if to == nil {
		return
	}
	to.mu.Lock()
	defer to.mu.Unlock()
	to.pinned = pinned
}

// stop ends the watch and returns the attempt at the upstream that has accepted the
// request, nil if there is none.
func (to *takeover) stop() *attempt {
	if to == nil {
		return nil
	}
	to.mu.Lock()
	to.ended = true
	to.timer.Stop()
	settled, tried := to.settled, to.next != nil
	if tried && !to.accepted {
		to.next.cancel(errNotNeeded)
	}
	to.mu.Unlock()
	if tried {
		<-settled
	}
	to.mu.Lock()
	defer to.mu.Unlock()
	return to.next
}

// expired tries to replace the attempt or looks again later.
func (to *takeover) expired() {
	to.rt.fl.Pass(to.at.ctx) // without the lock, which the goroutine of the request needs
	to.mu.Lock()
	defer to.mu.Unlock()
	if to.ended || to.next != nil {
		return
	}
	if left := to.untilStalled(); left > 0 {
		to.timer.Reset(left)
		return
	}
	if !to.waiting || to.pinned || !to.begin() {
		to.timer.Reset(replacementInterval)
	}
}

// untilStalled returns how long the attempt may still be silent. The caller holds the lock.
func (to *takeover) untilStalled() time.Duration {
	if !to.progress.IsZero() {
		return to.gap - to.rt.fl.clk.Since(to.progress)
	}
	sent := to.at.sentAt.Load()
	if sent == nil {
		return to.wait // its inputs are computed
	}
	return to.wait - to.rt.fl.clk.Since(*sent)
}

// begin sends the request to another upstream. It returns false if there is none, or no
// repeat. The caller holds the lock.
func (to *takeover) begin() bool {
	rt := to.rt
	if rt.sends+1 >= rt.route.Attempts || rt.unreached >= maxUnreached || rt.visit.Apart() || !rt.takeReplacement(to.at.nd, to.rest) {
		return false
	}
	nd, demand, permit := rt.pick()
	if nd == nil {
		return false // the repeat stays in hand
	}
	retry, _ := rt.takeRetry() // takeReplacement has it in hand
	next := rt.newAttempt(to.at.parent, nd, demand, retry)
	next.permit = permit
	after := to.acceptAfter()
	next.written = func() { to.written(next, after) }
	to.next, to.settled, to.sent, to.answered = next, make(chan struct{}), false, false
	rt.fl.log.Info("upstream silent", "request", rt.ID, "upstream", to.at.nd.ID, "events", rt.lastEvent, "next", nd.ID)
	go rt.guard(func() { to.run(next) })()
	return true
}

// acceptAfter returns how long after it was sent the request counts as accepted by another
// upstream that has not refused it, 0 if only an answer counts. The caller holds the lock.
func (to *takeover) acceptAfter() time.Duration {
	rt := to.rt
	switch {
	case rt.route.Stream || rt.routes.Services[rt.service].Engine:
		return acceptTime
	case rt.sends+2 < rt.route.Attempts:
		return to.wait // a third upstream may be tried beside it
	}
	return 0
}

// written records that the other upstream has been sent the whole request.
func (to *takeover) written(next *attempt, after time.Duration) {
	to.mu.Lock()
	defer to.mu.Unlock()
	if to.next != next {
		return
	}
	to.sent = true
	switch {
	case to.over:
		to.acceptLocked(next, false)
	case after > 0:
		to.rt.fl.clk.AfterFunc(after, to.rt.guard(func() { to.accept(next, false) }))
	}
}

// takeReplacement reports whether another attempt can replace the one at an
// upstream: there is another upstream, time for the rest of its response, and a
// repeat, which is taken unless the request has one in hand.
func (rt *request) takeReplacement(current *node.Node, rest time.Duration) bool {
	if rt.timeLeft() <= rest {
		return false
	}
	now := rt.fl.clk.Now()
	for _, nd := range rt.usable() {
		if nd.ID != current.ID && !rt.tried[nd.ID] && !nd.Avoided(now) {
			if rt.nextRetry.IsZero() && rt.fl.Budget.Take(rt.service, 1) == 1 {
				rt.nextRetry = now
			}
			return !rt.nextRetry.IsZero()
		}
	}
	return false
}

// run makes the attempt at another upstream. Unless that accepts, it ends before the
// goroutine of the request uses the state of the request again.
func (to *takeover) run(next *attempt) {
	rt := to.rt
	settled := false
	defer func() {
		if !settled {
			to.fail(next) // it has panicked
		}
	}()
	rt.fl.Pass(next.ctx)
	rt.send(next)
	if settled = !to.answer(); settled {
		return // the goroutine of the request handles the answer
	}
	re, ok := rt.judge(next)
	if settled = ok && to.accept(next, true); settled {
		return
	}
	rt.account(next, &re)
	if !re.reached && !re.misdirected && !re.withheld && errors.Is(context.Cause(next.ctx), errNotNeeded) {
		rt.unreached-- // nothing is known of the upstream
	}
	to.fail(next)
	settled = true
}

// fail ends an attempt at another upstream that has not accepted the request.
func (to *takeover) fail(next *attempt) {
	to.mu.Lock()
	defer to.mu.Unlock()
	if to.accepted {
		return // the goroutine of the request ends it
	}
	to.rt.finish(next)
	to.next, to.sent = nil, false
	if !to.ended {
		to.timer.Reset(replacementInterval)
	}
	close(to.settled)
}

// answer records that the other upstream has answered or failed. It returns false if it
// has accepted the request before.
func (to *takeover) answer() bool {
	to.mu.Lock()
	defer to.mu.Unlock()
	to.answered = true
	return !to.accepted
}

// judge checks the answer of the other upstream. The result is that of a failed attempt.
func (rt *request) judge(next *attempt) (result, bool) {
	if next.fault != nil {
		return rt.failAttempt(next, nil, next.fault), false
	}
	re, ok := rt.checkHead(next, nil)
	switch {
	case !ok:
		return re, false
	case next.ans.Status >= http.StatusInternalServerError:
		next.nd.RequestFailed()
		return result{reached: true, fault: citronstream.NewFault(citronstream.Ran, citronstream.CodeUpstreamFailed, "upstream %s answered %d", next.nd.ID, next.ans.Status)}, false
	}
	return result{reached: true, fault: citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeCanceled, "%v", errNotNeeded)}, true
}

// accept lets the other upstream have the request and cancels the attempt before, unless
// that has gone on. Without answered, it does nothing once there is an answer.
func (to *takeover) accept(next *attempt, answered bool) bool {
	to.mu.Lock()
	defer to.mu.Unlock()
	return to.acceptLocked(next, answered)
}

// acceptLocked is accept for a caller that holds the lock.
func (to *takeover) acceptLocked(next *attempt, answered bool) bool {
	if to.next != next || to.accepted || to.answered != answered || next.ctx.Err() != nil {
		return false
	}
	to.accepted = true
	to.at.cancel(errStalled)
	to.rt.fl.log.Info("request taken over", "request", to.rt.ID, "upstream", next.nd.ID, "before", to.at.nd.ID, "answered", answered)
	close(to.settled)
	return true
}
