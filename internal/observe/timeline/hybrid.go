package timeline

import (
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
)

// counterBits is the width of the counter below the milliseconds.
const counterBits = 16

// MaxDrift is the furthest that an observed clock may be ahead of this
// process. Without a bound one process with a wrong clock would move the
// clocks of all others for good.
const MaxDrift = 10 * time.Minute

// At returns the lowest hybrid clock of a time.
func At(ti time.Time) uint64 { return uint64(max(ti.UnixMilli(), 0)) << counterBits }

// Time returns the wall clock part of a hybrid clock, in milliseconds' precision.
func Time(at uint64) time.Time { return time.UnixMilli(int64(at >> counterBits)).UTC() }

// hybrid is a hybrid logical clock. When the counter overflows it carries
// into the milliseconds, which keeps the clock strictly increasing.
type hybrid struct {
	clk      citronstream.Clock
	last     atomic.Uint64
	rejected atomic.Uint64
}

func (hy *hybrid) now() uint64 {
	for {
		last := hy.last.Load()
		next := max(At(hy.clk.Now()), last+1)
		if hy.last.CompareAndSwap(last, next) {
			return next
		}
	}
}

func (hy *hybrid) observe(at uint64) {
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
