// Package admission decides which requests are turned away before they wait for
// their stages, and when their callers may come back. Load patterns: more work than
// the upstreams of a stage can do; callers that come back after an outage with little
// time left. A request that will miss its target and would wait long, or that can't be
// answered whole before its deadline, is refused at once, as it would be dropped later.
package admission

import "time"

const (
	// maxLateWait is the longest queue wait with which a request that will miss
	// its target is still admitted. With a longer backlog most such requests
	// would be dropped in the end.
	maxLateWait = 2 * time.Second
	// minRetryAfter is the shortest Retry-After.
	minRetryAfter = 300 * time.Millisecond
	// targetShare is the part of a request's target after which its caller comes
	// back at the latest.
	targetShare = 4
	// Callers come back between 1-spread and 1+spread times the same time, so that
	// those who were turned away together do not meet again.
	spread = 0.3
	// pauseSpread is the time after the end of a pause in which callers come back.
	pauseSpread = time.Second
)

// Decision says whether a request is admitted.
type Decision struct {
	Admit      bool
	RetryAfter time.Duration // when the caller of a refused one may come back
}

// Request is what the decision needs to know of a request.
type Request struct {
	Needs time.Duration // to its first event, with the current queues
	Rest  time.Duration // from its first event to the end of its response
	Wait  time.Duration // the longest in a queue
	// Pause is the time until the first upstream of a stage takes work, while all of them
	// are in a pause that they have asked for; Wait includes it.
	Pause time.Duration
	// Target and Left are the times to its target and its deadline.
	Target, Left time.Duration
}

// New decides on a request. Draw is a random number in [0, 1).
func New(rq Request, draw float64) Decision {
	if rq.Needs-rq.Wait+rq.Rest >= rq.Left {
		return Decision{RetryAfter: max(minRetryAfter, rq.Left)} // no time before its deadline would do
	}
	if rq.Pause > 0 && (rq.Needs > rq.Target || rq.Needs+rq.Rest >= rq.Left) {
		after := max(minRetryAfter, rq.Pause, min(rq.Wait-maxLateWait, rq.Target/targetShare))
		return Decision{RetryAfter: after + time.Duration(draw*float64(pauseSpread))}
	}
	if rq.Needs+rq.Rest < rq.Left && (rq.Needs <= rq.Target || rq.Wait < maxLateWait) {
		return Decision{Admit: true}
	}
	after := max(minRetryAfter, min(rq.Wait-maxLateWait, rq.Target/targetShare))
	return Decision{RetryAfter: time.Duration(float64(after) * (1 - spread + 2*spread*draw))}
}
