package flow

import (
	"net/http"
	"time"

	"github.com/citronstream/citronstream"
)

const (
	// acceptAfterLeave is how long requests are accepted after Leave. By then the platform
	// sends new connections elsewhere.
	acceptAfterLeave = 3 * time.Second
	// graceDeviations is how many mean deviations longer than the average a response that
	// may not be repeated is assumed to take: if it is canceled, nobody can tell its
	// caller whether it ran. Others are assumed to take the average.
	graceDeviations = 2
)

// Leave closes each connection after its next response and, after acceptAfterLeave,
// refuses requests. CancelRequests will be called when the rest of the grace period has
// passed; what would not end by then is refused at once.
func (fl *Flow) Leave(rest time.Duration) {
	now := max(1, fl.clk.Since(fl.began))
	fl.graceEnd.Store(int64(now + rest))
	fl.leaving.Store(int64(now))
}

// closed reports whether the process no longer accepts requests.
func (fl *Flow) closed() bool {
	left := time.Duration(fl.leaving.Load())
	return left > 0 && fl.clk.Since(fl.began)-left > acceptAfterLeave
}

// graceLeft returns the time until CancelRequests is called, if the process is leaving.
func (fl *Flow) graceLeft() (left time.Duration, leaving bool) {
	if fl.leaving.Load() == 0 {
		return 0, false
	}
	return time.Duration(fl.graceEnd.Load()) - fl.clk.Since(fl.began), true
}

// outlivesGrace reports whether the process leaves and would have to cancel the request
// before its response is complete. Needs returns the expected time to the first event or,
// of a response that is no stream, to its end.
func (rt *request) outlivesGrace(needs func() time.Duration) bool {
	left, leaving := rt.fl.graceLeft()
	// At its deadline it ends whether or not the process leaves.
	if !leaving || rt.deadlineLeft() <= left {
		return false
	}
	deviations := 0.0
	if !rt.route.Repeat.Idempotent() {
		deviations = graceDeviations
	}
	more, measured := rt.fl.latencies.beyondFirst(rt.route.Name, rt.route.Stream, deviations)
	if !measured && !rt.route.Repeat.Idempotent() {
		return true
	}
	return needs()+more > left
}

// refuseLeaving refuses a request that has not been sent, as another process can serve it.
func (rt *request) refuseLeaving(why string) outcome {
	rt.wr.Header().Set("Connection", "close") // it may have come before Leave
	if !rt.first.IsZero() {
		rt.fl.Refused.RecordRefusal(rt.digest, rt.first, rt.fl.clk.Now().Add(shortRetryAfter))
	}
	return rt.respond(http.StatusServiceUnavailable, shortRetryAfter,
		citronstream.NewFault(citronstream.NotRun, citronstream.CodeLeaving, "%s", why))
}
