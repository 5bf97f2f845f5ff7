package retrybudget

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func assertWithinCap(t assert.TestingT, bu *Budget) {
	requests, extras := bu.Window()
	assert.LessOrEqual(t, float64(extras), max(0.1*float64(requests), defaultMinExtras))
}

// Guards against a retry storm: while every attempt fails, the extra attempts of any window
// stay at 10% of its requests, and those of the run at 10% plus the minimum.
func TestCapWhenAllAttemptsFail(t *testing.T) {
	clk := clockwork.NewFakeClock()
	bu := New(clk, citronstream.DefaultLimits())
	const requests, windows = 20_000, 20
	for range requests {
		re := bu.Request()
		for re.TakeExtra() {
			assertWithinCap(t, bu)
		}
		clk.Advance(windows * windowLength / requests)
	}
	spent, _ := bu.Counts()
	assert.LessOrEqual(t, spent, uint64(requests/10+defaultMinExtras))
	assert.GreaterOrEqual(t, spent, uint64(requests/10-defaultMinExtras), "the budget is usable")
}

// inWindow counts the times in the last bucketCount periods.
func inWindow(times []time.Time, now time.Time) float64 {
	width, count := int64(windowLength/bucketCount), 0.0
	for _, at := range times {
		if now.UnixNano()/width-at.UnixNano()/width < bucketCount {
			count++
		}
	}
	return count
}

// Guards against a window that drops requests and extra attempts too early or too late: each
// decision must match one computed from a list of all times.
func TestDecisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clk := clockwork.NewFakeClock()
		bu := New(clk, citronstream.DefaultLimits())
		var requests, extras []time.Time
		t.Repeat(map[string]func(*rapid.T){
			"requests": func(t *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(t, "count") {
					bu.Request()
					requests = append(requests, clk.Now())
				}
			},
			"extra": func(t *rapid.T) {
				requests = append(requests, clk.Now())
				allowed := inWindow(extras, clk.Now())+1 <= max(0.1*inWindow(requests, clk.Now()), defaultMinExtras)
				assert.Equal(t, allowed, bu.Request().TakeExtra())
				if allowed {
					extras = append(extras, clk.Now())
				}
			},
			"advance": func(t *rapid.T) { clk.Advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond) },
		})
	})
}

// Guards against a request that spends the budget of the process.
func TestPerRequest(t *testing.T) {
	bu := New(clockwork.NewFakeClock(), citronstream.DefaultLimits(), WithMinExtras(100))
	re := bu.Request()
	assert.True(t, re.TakeExtra())
	assert.True(t, re.TakeExtra())
	assert.False(t, re.TakeExtra())
	assert.Zero(t, re.Left())
}

// Guards against a budget that is never replenished.
func TestWindowSlides(t *testing.T) {
	clk := clockwork.NewFakeClock()
	bu := New(clk, citronstream.DefaultLimits(), WithMinExtras(1))
	assert.True(t, bu.Request().TakeExtra())
	assert.False(t, bu.Request().TakeExtra())
	clk.Advance(windowLength)
	assert.True(t, bu.Request().TakeExtra())
}

// Guards against concurrent callers that exceed the cap together.
func TestConcurrentCallersKeepTheCap(t *testing.T) {
	bu := New(clockwork.NewFakeClock(), citronstream.DefaultLimits())
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 500 {
				bu.Request().TakeExtra()
			}
		})
	}
	wg.Wait()
	requests, _ := bu.Window()
	assert.Equal(t, 4000, requests)
	assertWithinCap(t, bu)
}

func TestBackoff(t *testing.T) {
	// Guards against retries that are synchronized or later than the longest delay.
	t.Run("full jitter below the ceiling", func(t *testing.T) {
		bu := New(clockwork.NewFakeClock(), citronstream.DefaultLimits(), WithSource(rand.NewPCG(1, 2)))
		for attempt, ceiling := range map[int]time.Duration{1: backoffBase, 2: 2 * backoffBase, 60: backoffMax} {
			var total time.Duration
			for range 1000 {
				delay := bu.Backoff(attempt)
				assert.Less(t, delay, ceiling)
				total += delay
			}
			assert.InDelta(t, 0.5, float64(total)/1000/float64(ceiling), 0.05)
		}
	})
	t.Run("same seed, same delays", func(t *testing.T) {
		first := New(clockwork.NewFakeClock(), citronstream.DefaultLimits(), WithSource(rand.NewPCG(1, 2)))
		second := New(clockwork.NewFakeClock(), citronstream.DefaultLimits(), WithSource(rand.NewPCG(1, 2)))
		assert.Equal(t, first.Backoff(9), second.Backoff(9))
	})
}
