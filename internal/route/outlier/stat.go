package outlier

import (
	"math"
	"sync/atomic"

	"github.com/citronstream/citronstream/internal/route/table"
)

// average is a lock-free exponentially weighted moving average.
type average struct{ bits atomic.Uint64 }

func (av *average) load() float64 { return math.Float64frombits(av.bits.Load()) }

func (av *average) add(sample, alpha float64) {
	for {
		old := av.bits.Load()
		was := math.Float64frombits(old)
		if av.bits.CompareAndSwap(old, math.Float64bits(was+(sample-was)*alpha)) {
			return
		}
	}
}

// stat holds the statistics of one upstream.
type stat struct {
	node    *table.Node
	samples atomic.Uint64
	latency average // seconds per cost unit
	failure average // share of calls, 0 to 1
	out     atomic.Bool
}

func (sa *stat) observe(seconds float64, failed bool) {
	alpha := ordinaryAlpha
	if sa.out.Load() {
		alpha = probeAlpha
	}
	share := 0.0
	if failed {
		share = 1
	} else if sa.samples.Add(1) == 1 {
		sa.latency.add(seconds, 1)
	} else {
		sa.latency.add(seconds, alpha)
	}
	sa.failure.add(share, alpha)
}
