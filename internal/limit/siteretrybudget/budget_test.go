package siteretrybudget

import (
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
)

var bounds = citronstream.Bounds{RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetryExtra: 50}

// Guards against entries that together exceed the bound of a window.
func TestShareOfLiveEntries(t *testing.T) {
	live := 5
	bu := New(clockwork.NewFakeClock(), bounds, func() int { return live })
	assert.Equal(t, 8, bu.Take("s", 100)) // 0.8 x 50 / 5
	assert.Zero(t, bu.Take("s", 1))
	live = 2
	assert.Equal(t, 12, bu.Take("s", 100))
	assert.Equal(t, 20, bu.Take("other", 100))
}

func TestRatioAndWindow(t *testing.T) {
	clk := clockwork.NewFakeClock()
	bu := New(clk, bounds, func() int { return 50 })
	for range 100 {
		bu.First("s")
	}
	assert.Equal(t, 16, bu.Take("s", 100)) // 0.8 x (0.2 x 100 + 1)
	clk.Advance(9 * time.Second)
	assert.Zero(t, bu.Take("s", 1))
	clk.Advance(2 * time.Second)
	assert.Zero(t, bu.Take("s", 1), "the requests have left the window as well")
	bu.First("s")
	for range 9 {
		bu.First("s")
	}
	assert.Equal(t, 2, bu.Take("s", 5))
	assert.NotZero(t, bu.Refused())
}

// steppedClock is a clock whose time of day has been set.
type steppedClock struct {
	*clockwork.FakeClock
	step time.Duration
}

func (cl *steppedClock) Now() time.Time { return cl.FakeClock.Now().Add(cl.step) }

// Guards against a budget that is granted again because the time of day has been set:
// the requests of the window have not left it.
func TestTimeOfDayIsSet(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour} {
		clk := &steppedClock{FakeClock: clockwork.NewFakeClock()}
		bu := New(clk, bounds, func() int { return 5 })
		assert.Equal(t, 8, bu.Take("s", 100))
		clk.step = step
		assert.Zero(t, bu.Take("s", 1), "after %v", step)
	}
}

// Guards against a return that is deducted from a later part of the window than the one
// that the repeat was counted in, and allows one too many once that has left.
func TestReturnInALaterPartOfTheWindow(t *testing.T) {
	clk := clockwork.NewFakeClock()
	bu := New(clk, bounds, func() int { return 5 })
	taken := clk.Now()
	assert.Equal(t, 8, bu.Take("s", 100)) // 0.8 x 50 / 5
	clk.Advance(9 * time.Second)
	bu.Return("s", 8, taken)
	assert.Equal(t, 8, bu.Take("s", 100))
	clk.Advance(2 * time.Second)
	assert.Zero(t, bu.Take("s", 1), "all were sent in this window")
}

// Guards against repeats that are reserved though there are too few for their purpose.
func TestTakeAllOrNone(t *testing.T) {
	bu := New(clockwork.NewFakeClock(), bounds, func() int { return 5 })
	assert.False(t, bu.TakeAll("s", 9))
	assert.NotZero(t, bu.Refused())
	assert.True(t, bu.TakeAll("s", 8))
	assert.False(t, bu.TakeAll("s", 1))
}
