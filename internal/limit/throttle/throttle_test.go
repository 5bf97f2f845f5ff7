package throttle

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
)

// offer sends requests of a kind at 1,000 a second while the fleet accepts a share of
// those that pass, and returns the share that passed.
func offer(clk *clockwork.FakeClock, th *Throttle, kind Kind, requests int, accepts func(passed int) bool) float64 {
	passed := 0
	for range requests {
		clk.Advance(time.Millisecond)
		if th.Admit(kind) {
			passed++
			th.Ended(kind, !accepts(passed))
		}
	}
	return float64(passed) / float64(requests)
}

func TestThrottle(t *testing.T) {
	clk := clockwork.NewFakeClock()
	th := New(clk, 1)
	flood, small := Kind{Workspace: "large"}, Kind{Workspace: "small"}
	none := func(int) bool { return false }
	all := func(int) bool { return true }

	// Without the throttle each refused request has run its earlier stages.
	t.Run("a kind that is refused hardly passes", func(t *testing.T) {
		offer(clk, th, flood, 2000, none)
		assert.Less(t, offer(clk, th, flood, 2000, none), 0.05)
	})
	t.Run("another workspace is not held back", func(t *testing.T) {
		assert.InDelta(t, 1, offer(clk, th, small, 1000, all), 0)
	})
	t.Run("a kind that is accepted in part passes about as much", func(t *testing.T) {
		half := Kind{Workspace: "half"}
		quota := func(passed int) bool { return passed%3 != 0 }
		assert.Greater(t, offer(clk, th, half, 4000, quota), 0.9)
	})
	t.Run("the end of a flood is seen", func(t *testing.T) {
		clk.Advance(5 * window)
		assert.Greater(t, offer(clk, th, flood, 1000, all), 0.95)
	})
	t.Run("kinds are bounded", func(t *testing.T) {
		for i := range maxKinds + 10 {
			th.Admit(Kind{Rank: i})
		}
		assert.Equal(t, maxKinds, th.Len())
	})
}
