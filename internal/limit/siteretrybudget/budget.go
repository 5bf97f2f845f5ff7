// Package siteretrybudget bounds the repeated sends of all entries of a site
// together. Each entry enforces its own share, so that they exchange no messages.
package siteretrybudget

import (
	"sync"
	"time"

	"github.com/citronstream/citronstream"
)

const (
	// bucketCount divides the window. The oldest bucket counts in full.
	bucketCount = 20
	// safetyFactor is the usable fraction of the share: the number of live entries
	// and the edge of the window are known only approximately.
	safetyFactor = 0.8
	// maxServices bounds the services with counts; others get no repeated sends.
	maxServices = 1024
)

// Budget counts first and repeated sends per service and limits the latter.
type Budget struct {
	clk    citronstream.Clock
	began  time.Time // periods count from it by the steady clock, as the time of day may jump
	bounds citronstream.Bounds
	live   func() int

	mu       sync.Mutex
	services map[string]*window
	refused  uint64
}

type bucket struct {
	number        int64
	first, extras int
}

type window [bucketCount + 1]bucket

// New returns a budget. Live returns the number of entries that share it.
func New(clk citronstream.Clock, bounds citronstream.Bounds, live func() int) *Budget {
	return &Budget{clk: clk, began: clk.Now(), bounds: bounds, live: live, services: make(map[string]*window)}
}

// First counts the first send of a request to a service.
func (bu *Budget) First(service string) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if wi := bu.window(service); wi != nil {
		bu.currentBucket(wi).first++
	}
}

// Take reserves up to count repeated sends and returns how many were granted.
func (bu *Budget) Take(service string, count int) int { return bu.take(service, count, 0) }

// TakeAll reserves count repeated sends, or none. It reports whether they were granted.
func (bu *Budget) TakeAll(service string, count int) bool {
	return bu.take(service, count, count) == count
}

// take reserves up to count repeated sends, none if fewer than least are left.
func (bu *Budget) take(service string, count, least int) int {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	wi := bu.window(service)
	if wi == nil {
		return 0
	}
	now := bu.currentBucket(wi)
	first, extras := 0, 0
	for i := range wi {
		if now.number-wi[i].number <= bucketCount {
			first, extras = first+wi[i].first, extras+wi[i].extras
		}
	}
	allowed := safetyFactor * (bu.bounds.RetryRatio*float64(first) + float64(bu.bounds.RetryExtra)/float64(max(1, bu.live())))
	got := max(0, min(count, int(allowed)-extras))
	if got < least {
		got = 0
	}
	now.extras += got
	if got < count {
		bu.refused++
	}
	return got
}

// Return releases reserved sends that were not made. They are deducted from the part of
// the window in which they were taken, unless that has left the window.
func (bu *Budget) Return(service string, count int, taken time.Time) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	wi := bu.window(service)
	if wi == nil {
		return
	}
	number := bu.period(taken.Sub(bu.began))
	if bc := &wi[number%int64(len(wi))]; bc.number == number {
		bc.extras = max(0, bc.extras-count)
	}
}

// Refused returns how often Take granted less than requested.
func (bu *Budget) Refused() uint64 {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	return bu.refused
}

func (bu *Budget) window(service string) *window {
	wi := bu.services[service]
	if wi == nil && len(bu.services) < maxServices {
		wi = &window{}
		bu.services[service] = wi
	}
	return wi
}

// currentBucket returns the bucket of the current period and resets it if necessary.
func (bu *Budget) currentBucket(wi *window) *bucket {
	number := bu.period(bu.clk.Since(bu.began))
	bc := &wi[number%int64(len(wi))]
	if bc.number != number {
		*bc = bucket{number: number}
	}
	return bc
}

// period returns the number of the period at a time since the start.
func (bu *Budget) period(since time.Duration) int64 {
	return int64(since / (max(bu.bounds.RetryWindow, time.Second) / bucketCount))
}
