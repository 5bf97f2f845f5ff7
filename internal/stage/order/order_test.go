package order

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// plan sorts jobs of a queue whose upstreams run 10 pieces a second, and returns
// their numbers in order and those that give way.
func plan(jobs ...Priority) (sorted []int, way []int) {
	now := time.Unix(100, 0)
	list := make([]*numbered, len(jobs))
	for i := range jobs {
		list[i] = &numbered{jobs[i], i}
	}
	Plan(list, func(nu *numbered) *Priority { return &nu.Priority }, 10, now)
	for _, nu := range list {
		sorted = append(sorted, nu.number)
		if nu.GivesWay {
			way = append(way, nu.number)
		}
	}
	return sorted, way
}

type numbered struct {
	Priority
	number int
}

// at returns a job of a rank that has to start within some ms.
func at(rank int, slack time.Duration, pieces int) Priority {
	start := time.Unix(100, 0).Add(slack * time.Millisecond)
	return Priority{RouteRank: rank, Start: start, Last: start, Due: start, End: start.Add(time.Second), Length: pieces}
}

func TestPlan(t *testing.T) {
	check := func(name string, sorted, way []int, jobs ...Priority) {
		t.Run(name, func(t *testing.T) {
			gotSorted, gotWay := plan(jobs...)
			assert.Equal(t, sorted, gotSorted)
			assert.Equal(t, way, gotWay)
		})
	}
	returned := at(0, 100, 5)
	returned.Returned = true
	frees := at(2, 100, 5)
	frees.FreesMemory = true
	workspace := at(0, 100, 5)
	workspace.Rank = 1
	check("all in time: by latest start", []int{1, 0}, nil, at(0, 900, 5), at(2, 100, 5))
	check("the less urgent kind gives way", []int{1, 0}, []int{0}, at(2, 100, 5), at(0, 300, 5))
	check("as many as needed", []int{2, 1, 0}, []int{1, 0}, at(2, 100, 5), at(1, 150, 5), at(0, 200, 5))
	check("not more than needed", []int{1, 2, 0}, []int{0}, at(2, 100, 5), at(1, 150, 2), at(0, 300, 5))
	check("within a kind the later one", []int{0, 1}, []int{1}, at(0, 100, 5), at(0, 300, 5))
	check("a returned caller's stays", []int{0, 1}, []int{1}, returned, at(0, 300, 5))
	check("one that frees memory stays", []int{0, 1}, []int{1}, frees, at(0, 300, 5))
	begun := at(2, -100, 5)
	begun.Begun = true
	check("one that has begun is done first", []int{0, 1}, []int{1}, begun, at(0, 300, 5))
	check("the rank of the workspace goes first", []int{1, 0}, []int{0}, workspace, at(2, 300, 5))
	check("late ones come last, by rank", []int{2, 1, 0}, nil, at(2, -100, 5), at(0, -50, 5), at(2, 100, 5))
	unsure := at(0, -50, 5)
	unsure.Last = unsure.Last.Add(time.Second)
	check("one that can still be in time is not late", []int{1, 0}, nil, at(0, 600, 5), unsure)
	check("no jobs", nil, nil)
}

// Guards against overload in which jobs that are late and free memory run first, so that the
// others are late in turn, and against memory that waits for all jobs which give way or are
// late for good.
func TestLateJobsThatFreeMemory(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(last time.Duration, change func(pr *Priority)) *Priority {
		pr := &Priority{Start: now.Add(last), Last: now.Add(last), Due: now.Add(last), End: now.Add(last + 4*time.Second), Length: 1}
		change(pr)
		return pr
	}
	none := func(*Priority) {}
	frees := func(pr *Priority) { pr.FreesMemory = true }
	late, lateFrees, inTime, freesInTime := at(-time.Second, none), at(-time.Second, frees), at(time.Second, none), at(500*time.Millisecond, frees)
	tooLate := at(100*time.Millisecond, func(pr *Priority) { pr.Rank = 3 }) // behind two at 5 a second
	begun := at(-2*time.Second, func(pr *Priority) { pr.Begun = true })
	jobs := []*Priority{late, lateFrees, inTime, freesInTime, tooLate, begun}
	Plan(jobs, func(pr *Priority) *Priority { return pr }, 5, now)
	assert.Equal(t, []*Priority{begun, freesInTime, inTime, lateFrees, tooLate, late}, jobs)
	assert.True(t, tooLate.GivesWay)
	assert.False(t, lateFrees.Late(now), "it is not refused for being late")
	assert.True(t, lateFrees.Behind(now))
}
