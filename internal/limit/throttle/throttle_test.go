package throttle

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
)

// offer sends requests of a kind at 1,000 a second, of which the fleet accepts some of
// the admitted ones, and returns the fraction admitted.
func offer(clk *clockwork.FakeClock, th *Throttle, kind Kind, requests int, accepts func(admitted int) bool) float64 {
	admitted := 0
	for range requests {
		clk.Advance(time.Millisecond)
		if th.Admit(kind) {
			admitted++
			th.Ended(kind, !accepts(admitted))
		}
	}
	return float64(admitted) / float64(requests)
}

func TestThrottle(t *testing.T) {
	clk := clockwork.NewFakeClock()
	th := New(clk, 1)
	flood, small := Kind{Workspace: "large"}, Kind{Workspace: "small"}
	none := func(int) bool { return false }
	all := func(int) bool { return true }

	// Guards against refused requests that have already run their earlier stages.
	t.Run("a refused kind is rarely admitted", func(t *testing.T) {
		offer(clk, th, flood, 2000, none)
		assert.Less(t, offer(clk, th, flood, 2000, none), 0.05)
	})
	t.Run("another workspace is not throttled", func(t *testing.T) {
		assert.InDelta(t, 1, offer(clk, th, small, 1000, all), 0)
	})
	t.Run("a partly accepted kind is mostly admitted", func(t *testing.T) {
		half := Kind{Workspace: "half"}
		quota := func(admitted int) bool { return admitted%3 != 0 }
		assert.Greater(t, offer(clk, th, half, 4000, quota), 0.9)
	})
	t.Run("the end of a flood is detected", func(t *testing.T) {
		clk.Advance(5 * decayTime)
		assert.Greater(t, offer(clk, th, flood, 1000, all), 0.95)
	})
	t.Run("kinds are bounded", func(t *testing.T) {
		for i := range maxKinds + 10 {
			th.Admit(Kind{Rank: i})
		}
		assert.Equal(t, maxKinds, th.Len())
	})
}
