package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// What can't be served is refused at once, with a time to come back; what can, or
// would be late without a long wait, is not.
func TestDecision(t *testing.T) {
	check := func(name string, admit bool, needs, wait time.Duration) {
		t.Run(name, func(t *testing.T) {
			de := New(Request{Needs: needs, Wait: wait, Target: 4 * time.Second, Left: 6 * time.Second}, 0.5)
			assert.Equal(t, admit, de.Admit)
			assert.Equal(t, !admit, de.RetryAfter > 0)
		})
	}
	check("in time", true, 4*time.Second, 3*time.Second)
	check("late with a short wait", true, 5*time.Second, time.Second)
	check("late with a long wait", false, 5*time.Second, 3*time.Second)
	check("after its deadline", false, 7*time.Second, 0)
}

// A caller that comes back with less time than its response takes is refused at once,
// also if its first event would be in time, and told that it need not come again.
func TestTooLittleTimeLeft(t *testing.T) {
	rq := Request{Needs: 1100 * time.Millisecond, Rest: 500 * time.Millisecond, Target: 2500 * time.Millisecond, Left: 1500 * time.Millisecond}
	assert.Equal(t, Decision{RetryAfter: rq.Left}, New(rq, 0))
	rq.Left = 1700 * time.Millisecond
	assert.True(t, New(rq, 0).Admit)
}

// Those who are turned away together come back at different times.
func TestComebacksAreSpread(t *testing.T) {
	at := func(draw float64) time.Duration {
		return New(Request{Needs: 5 * time.Second, Wait: 3 * time.Second, Target: 4 * time.Second, Left: 6 * time.Second}, draw).RetryAfter
	}
	assert.Equal(t, 700*time.Millisecond, at(0))
	assert.Equal(t, time.Second, at(0.5))
	assert.Greater(t, at(0.9), at(0.5))
}

// Guards against a refusal near the end of a pause that tells the client to return at once,
// into a queue that is still too long.
func TestRetryAfterNearTheEndOfAPause(t *testing.T) {
	rq := Request{Needs: 5 * time.Second, Wait: 3 * time.Second, Target: 4 * time.Second, Left: 6 * time.Second}
	without := New(rq, 0).RetryAfter
	rq.Pause = time.Millisecond
	assert.GreaterOrEqual(t, New(rq, 0).RetryAfter, without)
	rq.Wait = time.Second
	de := New(rq, 0)
	assert.False(t, de.Admit)
	assert.GreaterOrEqual(t, de.RetryAfter, minRetryAfter)
}
