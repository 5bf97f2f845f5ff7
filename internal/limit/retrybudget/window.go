package retrybudget

import (
	"sync/atomic"
	"time"
)

// bucketCount is the number of buckets in the sliding window.
const bucketCount = 10

// A bucket packs period, requests and extra attempts into one word, so that no
// count is lost in a bucket that another goroutine resets for a new period.
const (
	extraBits   = 20
	requestBits = 24
	oneExtra    = uint64(1)
	oneRequest  = uint64(1) << extraBits
	countMask   = uint64(1)<<(extraBits+requestBits) - 1
	periodMask  = uint64(1)<<(64-extraBits-requestBits) - 1
)

// bucketWidth is the length of the period of one bucket.
const bucketWidth = windowLength / bucketCount

// window counts requests and extra attempts in the last bucketCount periods.
type window struct {
	buckets [bucketCount]atomic.Uint64
}

// bucketRef refers to a bucket in one period.
type bucketRef struct {
	bucket *atomic.Uint64
	period uint64
}

func (wi *window) period(now time.Time) uint64 { return uint64(now.UnixNano() / int64(bucketWidth)) }

// add counts one request or extra attempt. A full bucket keeps its count; no
// process reaches 2^24 requests in one bucket.
func (wi *window) add(now time.Time, one uint64) bucketRef {
	period := wi.period(now)
	ref := bucketRef{bucket: &wi.buckets[period%bucketCount], period: period & periodMask}
	for {
		old := ref.bucket.Load()
		next := old + one
		if old>>(extraBits+requestBits) != ref.period {
			next = ref.period<<(extraBits+requestBits) | one
		} else if bucketFull(old, one) {
			return ref
		}
		if ref.bucket.CompareAndSwap(old, next) {
			return ref
		}
	}
}

func bucketFull(word, one uint64) bool {
	if one == oneExtra {
		return word&(oneRequest-1) == oneRequest-1
	}
	return word&countMask>>extraBits == 1<<requestBits-1
}

// release subtracts an extra attempt if its bucket is still in the same period.
func (wi *window) release(ref bucketRef) {
	for {
		old := ref.bucket.Load()
		if old>>(extraBits+requestBits) != ref.period || old&(oneRequest-1) == 0 {
			return
		}
		if ref.bucket.CompareAndSwap(old, old-oneExtra) {
			return
		}
	}
}

// sum returns the totals of the buckets whose period is in the window.
func (wi *window) sum(now time.Time) (requests, extras int) {
	period := wi.period(now)
	for i := range wi.buckets {
		word := wi.buckets[i].Load()
		if age := (period - word>>(extraBits+requestBits)) & periodMask; age >= bucketCount {
			continue
		}
		requests += int(word & countMask >> extraBits)
		extras += int(word & (oneRequest - 1))
	}
	return requests, extras
}
