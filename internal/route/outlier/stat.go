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
		prev := math.Float64frombits(old)
		if av.bits.CompareAndSwap(old, math.Float64bits(prev+(sample-prev)*alpha)) {
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
	outlier atomic.Bool
}

func (st *stat) observe(seconds float64, failed bool) {
	alpha := normalAlpha
	if st.outlier.Load() {
		alpha = probeAlpha
	}
	share := 0.0
	if failed {
		share = 1
	} else if st.samples.Add(1) == 1 {
		st.latency.add(seconds, 1)
	} else {
		st.latency.add(seconds, alpha)
	}
	st.failure.add(share, alpha)
}
