package flow

import (
	"context"
	"errors"
	"sync"
	"time"

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
)

// errStalled is the cause of an attempt canceled by its stallTimer.
var errStalled = errors.New("the upstream stalled")

// startStallTimer starts a timer that cancels a stalled attempt, if another
// upstream may be tried.
func (rt *request) startStallTimer(nd *node.Node, cancel context.CancelCauseFunc) *stallTimer {
	si := &stallTimer{cancel: cancel, rest: rt.timeAfterFirstEvent()}
	si.replace = func() bool { return rt.takeReplacement(nd, si.rest) }
	if !rt.route.Repeat.Idempotent() || rt.sends+1 >= rt.route.Attempts {
		return si
	}
	wait := stallFactor * rt.route.Target
	if rt.route.Stream {
		wait = firstEventFactor*rt.fl.latencies.expected(rt.route.Name, rt.readTime) + firstEventExtra
		si.gap = max(gapFactor*rt.route.MaxGap, minGap)
	}
	si.mu.Lock()
	defer si.mu.Unlock()
	si.timer = rt.fl.clk.AfterFunc(wait, si.expired)
	return si
}

// takeReplacement reports whether another attempt can replace the one at an
// upstream: there is another upstream, time for the rest of its response, and a
// repeat, which is taken unless the request has one in hand.
func (rt *request) takeReplacement(current *node.Node, rest time.Duration) bool {
	if rt.timeLeft() <= rest {
		return false
	}
	now := rt.fl.clk.Now()
	for _, nd := range rt.fl.View.Members().Service(rt.service) {
		if nd.ID != current.ID && !rt.tried[nd.ID] && !nd.Avoided(now) {
			if rt.nextRetry.IsZero() && rt.fl.Budget.Take(rt.service, 1) == 1 {
				rt.nextRetry = now
			}
			return !rt.nextRetry.IsZero()
		}
	}
	return false
}

// stallTimer cancels an attempt that receives nothing for too long once it can be
// replaced. Until then it goes on: a sound upstream may be silent for a while.
type stallTimer struct {
	cancel  context.CancelCauseFunc
	replace func() bool // takes the replacement; it is not called after Stop
	gap     time.Duration

	mu     sync.Mutex
	ended  bool
	rest   time.Duration // from the first event to the end; 0 once the stream has begun
	pinned bool          // the attempt is not to be replaced at present
	timer  interface {
		Stop() bool
		Reset(d time.Duration) bool
	}
}

// expired cancels the attempt or looks again later.
func (si *stallTimer) expired() {
	si.mu.Lock()
	defer si.mu.Unlock()
	switch {
	case si.ended:
	case !si.pinned && si.replace():
		si.ended = true
		si.cancel(errStalled)
	default:
		si.timer.Reset(replacementInterval)
	}
}

// Stop stops the timer.
func (si *stallTimer) Stop() {
	si.mu.Lock()
	defer si.mu.Unlock()
	si.ended = true
	if si.timer != nil {
		si.timer.Stop()
	}
}

// reset restarts the timer after an event of a stream.
func (si *stallTimer) reset() {
	si.mu.Lock()
	defer si.mu.Unlock()
	si.rest = 0
	if si.timer != nil && si.gap > 0 && !si.ended {
		si.timer.Reset(si.gap)
	}
}

// pin sets whether the attempt goes on even if it can be replaced.
func (si *stallTimer) pin(pinned bool) {
	si.mu.Lock()
	defer si.mu.Unlock()
	si.pinned = pinned
}
