// Package servicefloor decides which kinds of request are taken for urgent because
// they are hardly served. Load pattern: more urgent work than the upstreams can do, for
// longer than a burst. By rank alone the less urgent kinds would get nothing at all.
package servicefloor

import (
	"math"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
)

const (
	// share is the least part of the requests of a kind that is served, relative to
	// that of all requests. The operators ask for a quarter.
	share = 0.4
	// memory is the time constant of the counts. A burst of some seconds may take all
	// throughput.
	memory = 20 * time.Second
	// minAsked is the number of requests from which on the counts of a kind say something.
	minAsked = 10
	// maxKinds bounds the kinds that are counted.
	maxKinds = 4096
)

// Floor counts the requests of each kind that were served. Its methods are called
// concurrently.
type Floor struct {
	clk citronstream.Clock

	mu    sync.Mutex
	kinds map[string]*counts
	all   counts
}

type counts struct {
	asked, served float64
	at            time.Time
}

func (co *counts) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(co.at)) / float64(memory))
	co.asked, co.served, co.at = co.asked*factor, co.served*factor, now
}

func (co *counts) add(now time.Time, served bool) {
	co.decay(now)
	co.asked++
	if served {
		co.served++
	}
}

// New returns a Floor without counts.
func New(clk citronstream.Clock) *Floor {
	return &Floor{clk: clk, kinds: make(map[string]*counts), all: counts{at: clk.Now()}}
}

// Observe counts a request that has ended.
func (fl *Floor) Observe(kind string, served bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	now := fl.clk.Now()
	co := fl.kinds[kind]
	if co == nil {
		if len(fl.kinds) >= maxKinds {
			clear(fl.kinds) // kinds of former configurations, mostly
		}
		co = &counts{at: now}
		fl.kinds[kind] = co
	}
	co.add(now, served)
	fl.all.add(now, served)
}

// Below reports whether a kind is served so rarely that its next request is taken for
// urgent.
func (fl *Floor) Below(kind string) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	co := fl.kinds[kind]
	if co == nil {
		return false
	}
	now := fl.clk.Now()
	co.decay(now)
	fl.all.decay(now)
	return co.asked >= minAsked && co.served*fl.all.asked < share*co.asked*fl.all.served
}
