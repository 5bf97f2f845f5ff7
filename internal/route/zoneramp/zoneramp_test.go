package zoneramp

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
)

const bound = 5 * time.Second

// Load pattern: 25 gateways hear of an evacuation within 0.3 s. Guards against the load of a
// zone that moves in one moment, and against a zone that gets anything after the time that is
// allowed.
func TestLoadMovesSlowly(t *testing.T) {
	const gateways, step = 25, 100 * time.Millisecond
	clk := clockwork.NewFakeClock()
	known := clk.Now()
	var ramps []*Ramp
	load := func() (sum float64) {
		for _, ra := range ramps {
			sum += ra.Share("z") / gateways
		}
		return sum + float64(gateways-len(ramps))/gateways
	}
	before, moved := 1.0, time.Duration(0)
	for at := time.Duration(0); at <= bound; at += step {
		for len(ramps) < gateways && time.Duration(len(ramps))*300*time.Millisecond/gateways <= at {
			ra := New(clk, bound)
			assert.Equal(t, bound/3, ra.Evacuated("z", known))
			ramps = append(ramps, ra)
		}
		now := load()
		assert.LessOrEqual(t, before-now, 0.08, "at %v", at)
		if before = now; now > 0 {
			moved = at
		}
		clk.Advance(step)
	}
	assert.Greater(t, moved, bound/4)
	assert.Less(t, moved, bound/2)
}

// Guards against a gateway that hears late of an evacuation and sends to its zone after the
// time that is allowed.
func TestNoTimeForARamp(t *testing.T) {
	for name, te := range map[string]struct {
		bound, age, length time.Duration
	}{
		"heard at once":          {bound, 0, bound / 3},
		"within a long poll":     {bound, 2 * time.Second, bound / 3},
		"after a pause":          {bound, 4 * time.Second, 500 * time.Millisecond},
		"after a long pause":     {bound, 6 * time.Second, 0},
		"no bound in the config": {0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			clk := clockwork.NewFakeClock()
			ra := New(clk, te.bound)
			assert.Equal(t, te.length, ra.Evacuated("z", clk.Now().Add(-te.age)))
			assert.Equal(t, te.length > 0, ra.Share("z") > 0)
			clk.Advance(te.length)
			assert.Zero(t, ra.Share("z"))
		})
	}
	t.Run("first read after the start", func(t *testing.T) {
		ra := New(clockwork.NewFakeClock(), bound)
		assert.Zero(t, ra.Evacuated("z", time.Time{}))
		assert.False(t, ra.Active())
	})
}

// Guards against a share that is left from an evacuation that has ended, for the next one.
func TestTakenBack(t *testing.T) {
	clk := clockwork.NewFakeClock()
	ra := New(clk, bound)
	ra.Evacuated("z", clk.Now())
	ra.Evacuated("y", clk.Now())
	ra.TakenBack("z")
	assert.Zero(t, ra.Share("z"))
	assert.Equal(t, 1.0, ra.Share("y"))
	assert.Equal(t, 1, ra.Count())
	ra.Evacuated("z", clk.Now().Add(-bound))
	assert.Zero(t, ra.Share("z"), "heard late the second time")
	clk.Advance(bound)
	assert.True(t, ra.Active())
	assert.Zero(t, ra.Count())
	ra.Sweep()
	assert.False(t, ra.Active())
}
