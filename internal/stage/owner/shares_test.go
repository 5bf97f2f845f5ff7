package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/stretchr/testify/assert"
)

// Guards against a workspace whose jobs, which came first, displace that of another one when
// not all can be in time.
func TestWorkspaceAheadOfItsShare(t *testing.T) {
	hs := newHarness(t, upstream("a", ""))
	hs.submit(newJob("first", 4, nil))
	first := hs.batch()
	from := func(workspace string, slack time.Duration) func(jo *citronstream.Job) {
		return func(jo *citronstream.Job) { jo.Workspace, jo.Slack = workspace, slack }
	}
	for i := range 3 {
		hs.submit(newJob(fmt.Sprint("large", i), 4, from("large", 400*time.Millisecond)))
	}
	hs.submit(newJob("small", 4, from("small", 410*time.Millisecond)))
	hs.finish(first)
	assert.Equal(t, "large0", ids(hs.batch())[0])
	hs.Owner.mu.Lock()
	defer hs.Owner.mu.Unlock()
	hs.plan(hs.clk.Now())
	assert.Equal(t, "small", hs.waiting[1].ID)
	assert.Equal(t, "large2", hs.waiting[2].ID)
	assert.True(t, hs.waiting[2].GivesWay)
}

// Guards against a workspace that pays for jobs that ended before they began.
func TestEndedJobsDoNotCount(t *testing.T) {
	hs := newHarness(t)
	for i := range 3 {
		jo := newJob(fmt.Sprint(i), 4, nil)
		hs.submit(jo)
		hs.Cancel(citronstream.JobKey{ID: jo.ID, Service: "s"}, "")
	}
	hs.submit(newJob("last", 4, nil))
	assert.Zero(t, hs.waiting[0].Tag)
}

// Guards against jobs of one workspace that give way by the order of their arrival instead of
// their starts, although no other workspace waits for a share.
func TestSingleWorkspaceKeepsTheOrderOfStarts(t *testing.T) {
	hs := newHarness(t, upstream("a", ""))
	hs.submit(newJob("first", 4, nil))
	hs.batch()
	slack := func(slack time.Duration) func(jo *citronstream.Job) {
		return func(jo *citronstream.Job) { jo.Workspace, jo.Slack = "only", slack }
	}
	for i := range 3 {
		hs.submit(newJob(fmt.Sprint("far", i), 4, slack(410*time.Millisecond)))
	}
	hs.submit(newJob("near", 4, slack(400*time.Millisecond)))
	hs.Owner.mu.Lock()
	defer hs.Owner.mu.Unlock()
	hs.plan(hs.clk.Now())
	assert.Equal(t, "near", hs.waiting[0].ID)
	assert.False(t, hs.waiting[0].GivesWay)
	gone := 0
	for _, jb := range hs.waiting {
		if jb.GivesWay {
			gone++
		}
	}
	assert.NotZero(t, gone)
}
