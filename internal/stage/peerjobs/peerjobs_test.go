package peerjobs

import (
	"testing"

	"github.com/citronstream/citronstream"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
)

var (
	key    = citronstream.JobKey{ID: "r", Stage: 1, Service: "s"}
	result = citronstream.JobResult{Handles: []string{"h"}}
)

// newJobs returns a set with one job, submitted over the link "one", and its answers.
func newJobs() (jobs *Jobs[string], clk *clockwork.FakeClock, answers *[]string) {
	clk, answers = clockwork.NewFakeClock(), &[]string{}
	jobs = New[string](clk)
	jobs.Add("one", key, "a", answerOn(answers, "one"))
	return jobs, clk, answers
}

func answerOn(answers *[]string, link string) func(citronstream.JobResult) {
	return func(re citronstream.JobResult) { *answers = append(*answers, link+":"+re.Handles[0]) }
}

// assertExpired asserts what is to be canceled and released at this moment.
func assertExpired(t *testing.T, jobs *Jobs[string], running, unsent int) {
	t.Helper()
	keys, releases := jobs.Expire()
	assert.Len(t, keys, running)
	assert.Len(t, releases, unsent)
}

// A job goes on over the next link, whether it ends before or after that.
func TestResume(t *testing.T) {
	for _, endsFirst := range []bool{true, false} {
		jobs, clk, answers := newJobs()
		jobs.Lost("one")
		if endsFirst {
			jobs.End(key, "a", result)
		}
		clk.Advance(keepRunning / 2)
		assertExpired(t, jobs, 0, 0)
		assert.True(t, jobs.Resume("two", key, "a", answerOn(answers, "two")))
		jobs.End(key, "a", result)
		clk.Advance(keepRunning)
		assertExpired(t, jobs, 0, 0)
		assert.Equal(t, []string{"two:h"}, *answers)
	}
}

// An answer that was lost with its link is sent again.
func TestAnswerIsLost(t *testing.T) {
	jobs, clk, answers := newJobs()
	jobs.End(key, "a", result)
	clk.Advance(keepAnswered / 2)
	jobs.Lost("one")
	clk.Advance(keepRunning)
	assertExpired(t, jobs, 0, 0)
	assert.False(t, jobs.Resume("two", key, "another", answerOn(answers, "two")), "another submission of the same job")
	assert.True(t, jobs.Resume("two", key, "a", answerOn(answers, "two")))
	assert.Equal(t, []string{"one:h", "two:h"}, *answers)
	clk.Advance(keepAnswered)
	assertExpired(t, jobs, 0, 0)
	assert.False(t, jobs.Resume("two", key, "a", answerOn(answers, "two")))
}

// What nobody asks for is canceled, or released if it has ended.
func TestExpire(t *testing.T) {
	jobs, clk, _ := newJobs()
	jobs.Lost("one")
	clk.Advance(keepRunning)
	assertExpired(t, jobs, 1, 0)
	assertExpired(t, jobs, 0, 0)

	jobs, clk, answers := newJobs()
	jobs.Lost("one")
	jobs.End(key, "a", result)
	clk.Advance(keepRunning)
	assertExpired(t, jobs, 0, 1)
	assert.Empty(t, *answers)
}
