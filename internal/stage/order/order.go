// Package order decides in which order the jobs that wait for the upstreams of a
// stage run, and which of them give way. Load pattern: a burst in which not all
// jobs can reach their targets, or upstreams that are lost under load. Jobs run by
// their latest start as long as all of them reach their targets. When one can't,
// a job of the least urgent kind before it is put behind the others, as otherwise
// all of them would be a little late.
package order

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Priority has the properties that decide the position of a job.
type Priority struct {
	// Rank is that of the request's workspace or route, RouteRank that of its route.
	// Jobs with a higher Rank give way first, then those with a higher RouteRank.
	Rank, RouteRank int
	// Returned says that the caller was refused before and came back when it was told to.
	// Its job gives way after those of newcomers.
	Returned bool
	// Start is the latest start with which the request is likely to reach its target,
	// Last the latest with which it still can.
	Start, Last time.Time
	// Due is the time by which it should start: Start, or earlier when its inputs expire.
	Due time.Time
	// FreesMemory says that the job releases more memory of the upstreams than it
	// takes.
	FreesMemory bool
	// End is the latest start with which it is still answered before its
	// deadline.
	End time.Time
	// Begun says that some of its pieces have run. Their results take memory until the
	// others are done, so that the job neither gives way nor waits behind late ones.
	Begun bool
	// Tag orders the workspaces of one rank: the job with the higher one gives way first,
	// as its workspace has queued more, see package workspaceshare.
	Tag int
	// Alone says that no other workspace has waiting jobs of its ranks, so that Tag, which
	// follows the order of arrival within a workspace, does not count.
	Alone bool
	// Length is the number of pieces that wait.
	Length int
	// GivesWay is set by Plan.
	GivesWay bool
}

// Late reports whether the job is deferred behind all others because its request can no
// longer reach its target. A job that frees memory is not, as others wait for that memory.
func (pr *Priority) Late(now time.Time) bool { return !pr.keeps() && now.After(pr.Last) }

// Behind reports whether the job runs after those that can reach their targets, as its own
// request can't.
func (pr *Priority) Behind(now time.Time) bool { return !pr.Begun && now.After(pr.Last) }

// keeps reports whether the job neither gives way nor is late.
func (pr *Priority) keeps() bool { return pr.FreesMemory || pr.Begun }

// Compare returns a negative number if a comes before b. Jobs that can still
// reach their target come first, by Due; then those that can't and free memory, by Due;
// then those that give way and late ones, which are worth less, by rank and by End.
func Compare(a, b *Priority, now time.Time) int {
	groupA, groupB := a.group(now), b.group(now)
	switch {
	case groupA != groupB:
		return cmp.Compare(groupA, groupB)
	case groupA <= freesMemory:
		return a.Due.Compare(b.Due)
	}
	return cmp.Or(compareRank(a, b), a.End.Compare(b.End))
}

// Groups of jobs, in the order in which they run.
const (
	inTime = iota
	freesMemory
	givesWay
	late
)

func (pr *Priority) group(now time.Time) int {
	switch {
	case pr.Late(now):
		return late
	case pr.GivesWay:
		return givesWay
	case pr.Behind(now):
		return freesMemory
	}
	return inTime
}

func compareRank(a, b *Priority) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.RouteRank, b.RouteRank))
}

// Plan sorts the jobs for upstreams that run rate pieces a second, and sets which
// of them give way (Moore and Hodgson's rule, with ranks instead of lengths): if a
// job would start too late, one of the least urgent among it and those before it
// is put behind. Jobs that have begun or free memory don't give way.
func Plan[T any](jobs []T, of func(T) *Priority, rate float64, now time.Time) {
	for _, jb := range jobs {
		of(jb).GivesWay = false
	}
	compare := func(a, b T) int { return Compare(of(a), of(b), now) }
	slices.SortStableFunc(jobs, compare)
	if rate <= 0 {
		return
	}
	var planned leastUrgent
	pieces := 0
	moved := false
	for _, jb := range jobs {
		pr := of(jb)
		if pr.group(now) != inTime {
			break
		}
		if !pr.keeps() {
			heap.Push(&planned, pr)
		}
		for pieces > 0 && len(planned) > 0 && pr.startsLate(now, pieces, rate) {
			last := heap.Pop(&planned).(*Priority)
			last.GivesWay, moved = true, true
			if last == pr {
				break
			}
			pieces -= last.Length
		}
		if !pr.GivesWay {
			pieces += pr.Length
		}
	}
	if moved {
		slices.SortStableFunc(jobs, compare)
	}
}

// startsLate reports whether the job starts too late behind some pieces.
func (pr *Priority) startsLate(now time.Time, pieces int, rate float64) bool {
	latest := pr.Start
	if now.After(latest) {
		latest = pr.Last
	}
	return now.Add(time.Duration(float64(pieces) / rate * float64(time.Second))).After(latest)
}

// leastUrgent is a heap of jobs, with the one that gives way next on top.
type leastUrgent []*Priority

func (le leastUrgent) Len() int { return len(le) }

func (le leastUrgent) Less(i, j int) bool {
	a, b := le[i], le[j]
	if rank := compareRank(a, b); rank != 0 {
		return rank > 0
	}
	if a.Returned != b.Returned {
		return b.Returned
	}
	if a.Tag != b.Tag && !(a.Alone && b.Alone) {
		return a.Tag > b.Tag
	}
	return a.Start.After(b.Start)
}

func (le leastUrgent) Swap(i, j int) { le[i], le[j] = le[j], le[i] }

// Push implements heap.Interface.
func (le *leastUrgent) Push(pr any) { *le = append(*le, pr.(*Priority)) }

// Pop implements heap.Interface.
func (le *leastUrgent) Pop() any {
	last := (*le)[len(*le)-1]
	*le = (*le)[:len(*le)-1]
	return last
}
