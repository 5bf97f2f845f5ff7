// Package order ranks the jobs that wait for the upstreams of a stage.
package order

import (
	"cmp"
	"time"
)

// Entry is what the order of a job depends on.
type Entry struct {
	Rank int
	// Start is the latest start with which the request still reaches its target.
	Start time.Time
	// Due is the time by which it should start: Start, or earlier when its inputs expire.
	Due time.Time
	// Frees says that the job gives back more memory of the upstreams than it takes.
	Frees bool
	// End is the latest start with which it is still answered in time at all.
	End time.Time
}

// Late reports whether the job is put behind because its request can no longer
// reach its target. A job that frees memory is not: the jobs that can wait for it.
func (en Entry) Late(now time.Time) bool { return !en.Frees && now.After(en.Start) }

// Compare returns a negative number when a comes before b. Jobs that can still
// reach their target come first, by the time they are due; the others are worth
// less and come by rank, then by the time until they are worth nothing.
func Compare(a, b Entry, now time.Time) int {
	lateA, lateB := a.Late(now), b.Late(now)
	switch {
	case lateA != lateB:
		if lateA {
			return 1
		}
		return -1
	case !lateA:
		return a.Due.Compare(b.Due)
	}
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), a.End.Compare(b.End))
}
