package selfreport

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var start = time.Unix(1000, 0)

// Guards against work for a process that has said that it leaves, and against a refusal of
// work to the one that follows it.
func TestLeaving(t *testing.T) {
	re := New()
	assert.False(t, re.Leaving("i", 5))
	assert.True(t, re.Leaves("i", 5))
	assert.False(t, re.Leaves("i", 5), "no news")
	assert.True(t, re.Leaving("i", 5))
	assert.False(t, re.Leaving("j", 5))
	assert.True(t, re.Of("i", 5).Leaving(), "its row says ready")
	assert.True(t, re.Leaving("i", 4), "an older row of it")
	assert.False(t, re.Of("i", 6).Leaving())
	assert.False(t, re.Leaving("i", 6))
	leaving, _ := re.Counts(start)
	assert.Zero(t, leaving)
}

// Guards against a pause that is not kept, lengthened by a wrong value without bound, or that
// ends with all traffic at once.
func TestPause(t *testing.T) {
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	st := New().Of("i", 1)
	assert.Equal(t, 1.0, st.Share(start))
	assert.False(t, st.Pause(0, start))
	assert.False(t, st.Pause(-time.Second, start))
	assert.True(t, st.Pause(4*time.Second, start))
	assert.False(t, st.Pause(time.Second, at(1)), "a shorter one")
	until, paused := st.Paused(at(3.9))
	assert.True(t, paused)
	assert.Equal(t, at(4), until)
	assert.Zero(t, st.Share(at(3.9)))
	_, paused = st.Paused(at(4))
	assert.False(t, paused)
	assert.InDelta(t, 0.25, st.Share(at(4.5)), 1e-9)
	assert.Equal(t, at(6), st.Returned())
	assert.Equal(t, 1.0, st.Share(at(6)))
	assert.True(t, st.Pause(time.Hour, at(10)))
	until, _ = st.Paused(at(10))
	assert.Equal(t, at(10).Add(maxPause), until)
}

// Guards against a record that grows without bound.
func TestBound(t *testing.T) {
	re := New()
	for i := range maxUpstreams + 10 {
		re.Leaves(fmt.Sprint(i), 1)
		re.Of(fmt.Sprint(i), 2)
		re.Leaves(fmt.Sprint(i), 2)
	}
	leaving, _ := re.Counts(start)
	assert.Equal(t, maxUpstreams, leaving)
	assert.Len(t, re.order, maxUpstreams)
	assert.False(t, re.Leaving("9", 2))
	assert.True(t, re.Leaving("10", 2))
}

// Guards against nodes of tests and tools, which have no state.
func TestNoState(t *testing.T) {
	var st *State
	assert.False(t, st.Leaving())
	assert.False(t, st.Pause(time.Second, start))
	_, paused := st.Paused(start)
	assert.False(t, paused)
	assert.Equal(t, 1.0, st.Share(start))
	assert.True(t, st.Returned().IsZero())
}
