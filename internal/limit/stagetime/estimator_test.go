package stagetime

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
)

func newEstimator(opts ...Option) (*Estimator, *clockwork.FakeClock) {
	clk := clockwork.NewFakeClock()
	return New(clk, opts...), clk
}

func observe(es *Estimator, count int, service string, cost float64, took time.Duration) {
	for range count {
		es.Observe(service, cost, took)
	}
}

// assertNear allows an error of one bucket width.
func assertNear(t *testing.T, want, got time.Duration) {
	t.Helper()
	assert.InEpsilon(t, float64(want), float64(got), 0.09)
}

func TestP50(t *testing.T) {
	t.Run("default, then service, then class", func(t *testing.T) {
		es, _ := newEstimator()
		assert.Equal(t, defaultEstimate, es.P50("encode", 3))
		observe(es, 10, "encode", 100, time.Second)
		assertNear(t, time.Second, es.P50("encode", 3))
		observe(es, 1, "encode", 3, 20*time.Millisecond)
		assertNear(t, 20*time.Millisecond, es.P50("encode", 2))
		assertNear(t, time.Second, es.P50("encode", 100))
	})
	// Guards against the use of a mean, which a few slow calls raise.
	t.Run("outliers do not move it", func(t *testing.T) {
		es, _ := newEstimator()
		observe(es, 60, "encode", 1, 10*time.Millisecond)
		observe(es, 40, "encode", 1, 10*time.Second)
		assertNear(t, 10*time.Millisecond, es.P50("encode", 1))
	})
	t.Run("old measurements decay", func(t *testing.T) {
		es, clk := newEstimator()
		observe(es, 100, "encode", 1, 10*time.Millisecond)
		clk.Advance(5 * halfLife)
		observe(es, 10, "encode", 1, time.Second)
		assertNear(t, time.Second, es.P50("encode", 1))
	})
	// Guards against an estimate that refuses all requests and so is never measured again.
	t.Run("decays without measurements", func(t *testing.T) {
		es, clk := newEstimator()
		observe(es, 10, "encode", 1, 8*time.Second)
		clk.Advance(staleAfter)
		assertNear(t, 8*time.Second, es.P50("encode", 1))
		clk.Advance(3 * halfLife)
		assertNear(t, time.Second, es.P50("encode", 1))
	})
}

func TestSplit(t *testing.T) {
	es, _ := newEstimator()
	observe(es, 5, "encode", 1, 100*time.Millisecond)
	observe(es, 5, "generate", 1, 2*time.Second)
	stages := []Stage{{"encode", 1}, {"encode", 1}, {"generate", 1}}
	// Guards against an early stage that uses up the time of later ones.
	t.Run("later stages keep their time", func(t *testing.T) {
		got := es.Split(6*time.Second, stages)
		assertNear(t, 3900*time.Millisecond, got[0])
		assertNear(t, 4*time.Second, got[1])
		assert.Equal(t, 6*time.Second, got[2])
	})
	t.Run("never below zero", func(t *testing.T) {
		assert.Equal(t, time.Duration(0), es.Split(time.Second, stages)[0])
	})
	t.Run("fits", func(t *testing.T) {
		assert.True(t, es.Fits(2500*time.Millisecond, stages))
		assert.False(t, es.Fits(1900*time.Millisecond, stages))
		assert.True(t, es.Fits(0, nil))
	})
}

// Guards against unbounded growth through callers that vary the cost or the service.
func TestBounded(t *testing.T) {
	es, clk := newEstimator(WithCap(10))
	for i := range 100 {
		clk.Advance(time.Millisecond)
		observe(es, 1, "encode", 1, time.Second)
		observe(es, 1, fmt.Sprint(i), float64(i), time.Millisecond)
	}
	assert.Equal(t, 10, es.Len())
	assertNear(t, time.Second, es.P50("encode", 1))
	assertNear(t, time.Millisecond, es.P50("98", 98))
}

func TestConcurrentUse(t *testing.T) {
	es, _ := newEstimator(WithCap(4))
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for cost := range 200 {
				es.Observe(fmt.Sprint(i%3), float64(cost), time.Millisecond)
				es.Fits(time.Second, []Stage{{fmt.Sprint(i % 3), float64(cost)}})
			}
		})
	}
	wg.Wait()
	assert.LessOrEqual(t, es.Len(), 4)
}

func BenchmarkP50(b *testing.B) {
	es, _ := newEstimator()
	observe(es, 10, "encode", 1, time.Second)
	b.ReportAllocs()
	for b.Loop() {
		es.P50("encode", 1)
	}
}
