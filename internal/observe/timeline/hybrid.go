package timeline

import (
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
)

// counterBits is the width of the counter below the milliseconds.
const counterBits = 16

// MaxDrift bounds how far an observed clock may be ahead of this process.
// Without it, one process with a wrong clock would move the clocks of all
// others forward permanently.
const MaxDrift = 10 * time.Minute

// At returns the lowest hybrid clock value of a time.
func At(ti time.Time) uint64 { return uint64(max(ti.UnixMilli(), 0)) << counterBits }

// Time returns the wall clock part of a hybrid clock value, to the millisecond.
func Time(at uint64) time.Time { return time.UnixMilli(int64(at >> counterBits)).UTC() }

// hybridClock is a hybrid logical clock. When the counter overflows it carries
// into the milliseconds, which keeps the clock strictly increasing.
type hybridClock struct {
	clk      citronstream.Clock
	last     atomic.Uint64
	rejected atomic.Uint64
}

func (hy *hybridClock) now() uint64 {
	for {
		last := hy.last.Load()
		next := max(At(hy.clk.Now()), last+1)
		if hy.last.CompareAndSwap(last, next) {
			return next
		}
	}
}

func (hy *hybridClock) observe(at uint64) {
	for last := hy.last.Load(); at > last; last = hy.last.Load() {
		if at > At(hy.clk.Now().Add(MaxDrift)) {
			hy.rejected.Add(1)
			return
		}
		if hy.last.CompareAndSwap(last, at) {
			return
		}
	}
}
