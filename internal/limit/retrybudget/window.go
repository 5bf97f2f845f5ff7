package retrybudget

import (
	"sync/atomic"
	"time"
)

// buckets divide the sliding window.
const buckets = 10

// A bucket packs period, requests and extra attempts into one word, so that
// a count can't land in a bucket that another goroutine is clearing.
const (
	extraBits   = 20
	requestBits = 24
	oneExtra    = uint64(1)
	oneRequest  = uint64(1) << extraBits
	countMask   = uint64(1)<<(extraBits+requestBits) - 1
	periodMask  = uint64(1)<<(64-extraBits-requestBits) - 1
)

// width is the period of one bucket.
const width = windowLength / buckets

// window counts by bucket over the last buckets x width.
type window struct {
	cells [buckets]atomic.Uint64
}

// slot names a bucket in one period.
type slot struct {
	cell   *atomic.Uint64
	period uint64
}

func (wi *window) period(now time.Time) uint64 { return uint64(now.UnixNano() / int64(width)) }

// add counts one request or extra attempt. A bucket that is full keeps its
// count, which at 2^24 requests a bucket no process reaches.
func (wi *window) add(now time.Time, one uint64) slot {
	period := wi.period(now)
	sl := slot{cell: &wi.cells[period%buckets], period: period & periodMask}
	for {
		old := sl.cell.Load()
		next := old + one
		if old>>(extraBits+requestBits) != sl.period {
			next = sl.period<<(extraBits+requestBits) | one
		} else if full(old, one) {
			return sl
		}
		if sl.cell.CompareAndSwap(old, next) {
			return sl
		}
	}
}

func full(cell, one uint64) bool {
	if one == oneExtra {
		return cell&(oneRequest-1) == oneRequest-1
	}
	return cell&countMask>>extraBits == 1<<requestBits-1
}

// giveBack takes back an extra attempt if its bucket still has its period.
func (wi *window) giveBack(sl slot) {
	for {
		old := sl.cell.Load()
		if old>>(extraBits+requestBits) != sl.period || old&(oneRequest-1) == 0 {
			return
		}
		if sl.cell.CompareAndSwap(old, old-oneExtra) {
			return
		}
	}
}

// sum adds up the buckets whose period lies in the window.
func (wi *window) sum(now time.Time) (requests, extras int) {
	period := wi.period(now)
	for i := range wi.cells {
		cell := wi.cells[i].Load()
		if age := (period - cell>>(extraBits+requestBits)) & periodMask; age >= buckets {
			continue
		}
		requests += int(cell & countMask >> extraBits)
		extras += int(cell & (oneRequest - 1))
	}
	return requests, extras
}
