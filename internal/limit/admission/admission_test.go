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
			de := New(needs, wait, 4*time.Second, 6*time.Second, 0.5)
			assert.Equal(t, admit, de.Admit)
			assert.Equal(t, !admit, de.RetryAfter > 0)
		})
	}
	check("in time", true, 4*time.Second, 3*time.Second)
	check("late with a short wait", true, 5*time.Second, time.Second)
	check("late with a long wait", false, 5*time.Second, 3*time.Second)
	check("after its deadline", false, 7*time.Second, 0)
}

// Those who are turned away together come back at different times.
func TestComebacksAreSpread(t *testing.T) {
	at := func(draw float64) time.Duration {
		return New(5*time.Second, 3*time.Second, 4*time.Second, 6*time.Second, draw).RetryAfter
	}
	assert.Equal(t, 700*time.Millisecond, at(0))
	assert.Equal(t, time.Second, at(0.5))
	assert.Greater(t, at(0.9), at(0.5))
}
