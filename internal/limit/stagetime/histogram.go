package stagetime

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bucketsPerOctave sets the accuracy of the median: 1/8 of an octave, 9%.
	bucketsPerOctave = 8
	// firstBound is the upper bound of the first bucket; 24 octaves above it reach 1,600 s.
	firstBound  = 100 * time.Microsecond
	bucketCount = 24 * bucketsPerOctave
	// staleAfter is the time without measurements after which an estimate decays.
	// A high estimate refuses all requests and so stops the measurements that
	// could correct it.
	staleAfter = 10 * time.Second
)

// histogram is a decayed histogram of times with a published median.
type histogram struct {
	p50        atomic.Int64 // nanoseconds; 0 means that there is none
	measuredAt atomic.Int64 // UnixNano of the last measurement

	mu        sync.Mutex
	decayedAt time.Time
	counts    [bucketCount]float64
	total     float64
}

func bucketOf(took time.Duration) int {
	if took <= firstBound {
		return 0
	}
	return min(int(math.Log2(float64(took)/float64(firstBound))*bucketsPerOctave)+1, bucketCount-1)
}

// middle returns the geometric mean of the bounds of a bucket.
func middle(bucket int) time.Duration {
	return time.Duration(float64(firstBound) * math.Exp2((float64(bucket)-0.5)/bucketsPerOctave))
}

func (hi *histogram) add(now time.Time, took time.Duration) {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	if past := now.Sub(hi.decayedAt); past > 0 {
		factor := math.Exp2(-past.Seconds() / halfLife.Seconds())
		for i := range hi.counts {
			hi.counts[i] *= factor
		}
		hi.total *= factor
		hi.decayedAt = now
	}
	hi.counts[bucketOf(took)]++
	hi.total++
	sum := 0.0
	for i, count := range hi.counts {
		if sum += count; sum >= hi.total/2 {
			hi.p50.Store(int64(middle(i)))
			break
		}
	}
	hi.measuredAt.Store(now.UnixNano())
}

// median returns the published median. It halves with each half-life after
// freshFor without measurements.
func (hi *histogram) median(now time.Time) (time.Duration, bool) {
	p50 := hi.p50.Load()
	if p50 == 0 {
		return 0, false
	}
	if stale := time.Duration(now.UnixNano()-hi.measuredAt.Load()) - staleAfter; stale > 0 {
		p50 = int64(float64(p50) * math.Exp2(-stale.Seconds()/halfLife.Seconds()))
	}
	return time.Duration(p50), true
}
