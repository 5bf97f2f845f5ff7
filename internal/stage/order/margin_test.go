package order

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against jobs with a near target that are taken for late when they come.
func TestLastMargin(t *testing.T) {
	assert.Equal(t, time.Second, LastMargin(5*time.Second, time.Second), "much slack")
	assert.Equal(t, 810*time.Millisecond, LastMargin(900*time.Millisecond, time.Second), "less slack than margin")
	assert.Zero(t, LastMargin(-time.Second, time.Second), "late without a margin")
	assert.Zero(t, LastMargin(time.Second, 0))
}

// Guards against a workspace that has queued more than its share and displaces others of the
// same rank; a less urgent job still gives way first.
func TestWorkspaceAheadGivesWay(t *testing.T) {
	now := time.Unix(1000, 0)
	job := func(rank, tag int, start time.Duration) *Priority {
		at := now.Add(start)
		return &Priority{Rank: rank, Tag: tag, Start: at, Last: at, Due: at, End: at.Add(time.Second), Length: 1}
	}
	ahead, other, less := job(0, 9, time.Second), job(0, 1, 1100*time.Millisecond), job(1, 0, 900*time.Millisecond)
	jobs := []*Priority{other, ahead}
	Plan(jobs, func(pr *Priority) *Priority { return pr }, 0.8, now)
	assert.True(t, ahead.GivesWay)
	assert.False(t, other.GivesWay)
	jobs = []*Priority{other, less}
	other.Tag = 9
	Plan(jobs, func(pr *Priority) *Priority { return pr }, 0.8, now)
	assert.True(t, less.GivesWay)
	assert.False(t, other.GivesWay)
}
