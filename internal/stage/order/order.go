// Package order defines the order of the jobs that wait for the upstreams of a
// stage.
package order

import (
	"cmp"
	"time"
)

// Priority has the properties that decide the position of a job.
type Priority struct {
	Rank int
	// Start is the latest start with which the request still reaches its target.
	Start time.Time
	// Due is the time by which it should start: Start, or earlier when its inputs expire.
	Due time.Time
	// FreesMemory says that the job releases more memory of the upstreams than it
	// takes.
	FreesMemory bool
	// End is the latest start with which it is still answered before its
	// deadline.
	End time.Time
}

// Late reports whether the job is deferred because its request can no longer
// reach its target. A job that frees memory is not deferred, as jobs that can
// reach theirs may wait for that memory.
func (pr Priority) Late(now time.Time) bool { return !pr.FreesMemory && now.After(pr.Start) }

// Compare returns a negative number if a comes before b. Jobs that can still
// reach their target come first, by Due; the others are worth less and come by
// rank, then by End.
func Compare(a, b Priority, now time.Time) int {
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
