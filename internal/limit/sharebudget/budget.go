// Package sharebudget bounds the repeated sends of all entries of a site
// together. Each entry keeps to its share, which needs no messages.
package sharebudget

import (
	"sync"
	"time"

	"github.com/citronstream/citronstream"
)

const (
	// buckets is the resolution of the window. The oldest bucket counts whole.
	buckets = 20
	// safety is the part of the share that is used: the number of live entries
	// and the edge of the window are not known exactly.
	safety = 0.8
	// maxServices bounds the services that are counted.
	maxServices = 1024
)

// Budget counts first and repeated sends by service.
type Budget struct {
	clk    citronstream.Clock
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

type window [buckets + 1]bucket

// New returns a budget. Live gives the number of entries that share it.
func New(clk citronstream.Clock, bounds citronstream.Bounds, live func() int) *Budget {
	return &Budget{clk: clk, bounds: bounds, live: live, services: make(map[string]*window)}
}

// First counts the first send of a request to a service.
func (bu *Budget) First(service string) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if wi := bu.window(service); wi != nil {
		bu.bucket(wi).first++
	}
}

// Take reserves up to count repeated sends and returns how many it got.
func (bu *Budget) Take(service string, count int) int {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	wi := bu.window(service)
	if wi == nil {
		return 0
	}
	now := bu.bucket(wi)
	first, extras := 0, 0
	for i := range wi {
		if now.number-wi[i].number <= buckets {
			first, extras = first+wi[i].first, extras+wi[i].extras
		}
	}
	allowed := safety * (bu.bounds.RetryRatio*float64(first) + float64(bu.bounds.RetryExtra)/float64(max(1, bu.live())))
	got := max(0, min(count, int(allowed)-extras))
	now.extras += got
	if got < count {
		bu.refused++
	}
	return got
}

// Return gives back sends that were reserved and not made.
func (bu *Budget) Return(service string, count int) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if wi := bu.window(service); wi != nil {
		now := bu.bucket(wi)
		now.extras -= count
	}
}

// Refused returns how often a repeat was refused in whole or in part.
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

// bucket returns the bucket of this moment.
func (bu *Budget) bucket(wi *window) *bucket {
	length := max(bu.bounds.RetryWindow, time.Second) / buckets
	number := bu.clk.Now().UnixNano() / int64(length)
	bc := &wi[number%int64(len(wi))]
	if bc.number != number {
		*bc = bucket{number: number}
	}
	return bc
}
