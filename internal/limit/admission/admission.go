// Package admission decides which requests are turned away before they wait for
// their stages, and when their callers may come back. Load pattern: more work than
// the upstreams of a stage can do. A request that will miss its target and would
// wait long is refused at once, as it would be dropped later.
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
)

// Decision says whether a request is admitted.
type Decision struct {
	Admit      bool
	RetryAfter time.Duration // when the caller of a refused one may come back
}

// New decides on a request. Needs is the time to its first event with the current
// queues, wait the longest of their waits, target and left are the times to its
// target and its deadline. Draw is a random number in [0, 1).
func New(needs, wait, target, left time.Duration, draw float64) Decision {
	if needs <= target || wait < maxLateWait && needs < left {
		return Decision{Admit: true}
	}
	after := max(minRetryAfter, min(wait-maxLateWait, target/targetShare))
	return Decision{RetryAfter: time.Duration(float64(after) * (1 - spread + 2*spread*draw))}
}
