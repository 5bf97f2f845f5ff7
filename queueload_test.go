package citronstream

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestQueueLoadWaits(t *testing.T) {
	ql := QueueLoad{Rate: 100, Arrivals: [Ranks]float64{20, 30, 45}}
	ql.Add(0, 300*time.Millisecond, 10)
	ql.Add(1, 3*time.Second, 20)
	ql.Add(2, time.Second, 40)
	ql.Late = 5
	check := func(name string, want, got time.Duration) {
		t.Helper()
		assert.InDelta(t, want.Seconds(), got.Seconds(), 0.001, name)
	}
	check("the most urgent rank waits for its own", 100*time.Millisecond, ql.WaitNew(time.Second, 0))
	check("what is due later does not count", 0, ql.WaitNew(100*time.Millisecond, 0))
	check("room is kept for more urgent arrivals", 375*time.Millisecond, ql.WaitNew(4*time.Second, 1))
	check("an admitted job has its place", 300*time.Millisecond, ql.Wait(4*time.Second, 1))
	check("a late one runs after all, also those to come", 15*time.Second, ql.WaitNew(-time.Second, 0))
	ql.Arrivals = [Ranks]float64{}
	check("or soon when nothing comes", 750*time.Millisecond, ql.WaitNew(-time.Second, 0))
	check("nothing waits", 0, (&QueueLoad{Rate: 100, Arrivals: [Ranks]float64{90}}).WaitNew(-time.Second, 2))
}

// Guards against absurd loads of an owner that turn into negative or endless waits.
func TestAbsurdQueueLoad(t *testing.T) {
	for _, ql := range []QueueLoad{
		{Rate: -5, Late: 10},
		{Rate: 1e-300, Late: 10},
		{Rate: 1e308, Late: 1 << 62},
		{Rate: math.Inf(1), Late: 10},
		{Rate: math.NaN(), Late: 10},
		{Rate: 10, Late: -10},
		{Rate: 10, Late: 10, Arrivals: [Ranks]float64{1e308, 1e308}},
		{Rate: 10, Late: 10, Arrivals: [Ranks]float64{-1e308}},
	} {
		for _, wait := range []time.Duration{ql.Wait(-time.Minute, 3), ql.WaitNew(-time.Minute, 3)} {
			assert.GreaterOrEqual(t, wait, time.Duration(0), "%+v", ql)
			assert.LessOrEqual(t, wait, time.Hour, "%+v", ql)
		}
	}
}
