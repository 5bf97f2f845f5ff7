package stagetime

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// steps a factor of two; the median is accurate to 1/steps of an octave, 9%.
	steps = 8
	// least is the upper bound of the first bucket; 24 octaves reach 1,600 s.
	least   = 100 * time.Microsecond
	buckets = 24 * steps
	// freshFor is the time without measurements after which an estimate decays:
	// refusals by a high estimate end the measurements, and it must not last.
	freshFor = 10 * time.Second
)

// cell is a decayed histogram of times with a published median.
type cell struct {
	p50 atomic.Int64 // nanoseconds; 0 means that there is none
	at  atomic.Int64 // UnixNano of the last measurement

	mu     sync.Mutex
	last   time.Time
	counts [buckets]float64
	total  float64
}

func bucketOf(took time.Duration) int {
	if took <= least {
		return 0
	}
	return min(int(math.Log2(float64(took)/float64(least))*steps)+1, buckets-1)
}

// middle is the geometric middle of a bucket.
func middle(bucket int) time.Duration {
	return time.Duration(float64(least) * math.Exp2((float64(bucket)-0.5)/steps))
}

func (ce *cell) add(now time.Time, took time.Duration) {
	ce.mu.Lock()
	defer ce.mu.Unlock()
	if past := now.Sub(ce.last); past > 0 {
		factor := math.Exp2(-past.Seconds() / halfLife.Seconds())
		for i := range ce.counts {
			ce.counts[i] *= factor
		}
		ce.total *= factor
		ce.last = now
	}
	ce.counts[bucketOf(took)]++
	ce.total++
	sum := 0.0
	for i, count := range ce.counts {
		if sum += count; sum >= ce.total/2 {
			ce.p50.Store(int64(middle(i)))
			break
		}
	}
	ce.at.Store(now.UnixNano())
}

// median returns the published median. It halves with each half-life after
// freshFor without measurements.
func (ce *cell) median(now time.Time) (time.Duration, bool) {
	p50 := ce.p50.Load()
	if p50 == 0 {
		return 0, false
	}
	if silence := time.Duration(now.UnixNano()-ce.at.Load()) - freshFor; silence > 0 {
		p50 = int64(float64(p50) * math.Exp2(-silence.Seconds()/halfLife.Seconds()))
	}
	return time.Duration(p50), true
}
