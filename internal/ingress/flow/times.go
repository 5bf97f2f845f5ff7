package flow

import (
	"sync"
	"time"

	"github.com/citronstream/citronstream"
)

const (
	// firstGuess is the time to an engine's first event until one was measured.
	firstGuess = 150 * time.Millisecond
	// timeAlpha weighs the newest time in the moving average.
	timeAlpha = 0.1
	// spanLife is how long the longest remaining time of a route is remembered.
	spanLife = 30 * time.Second
	// ageSlack is the difference between two callers' remaining times that is
	// not taken for an earlier attempt: the time of the way varies by this.
	ageSlack  = 50 * time.Millisecond
	maxRoutes = 4096
)

// times has what a process learns of each route.
type times struct {
	clk citronstream.Clock
	mu  sync.Mutex
	of  map[string]*routeTimes
}

type routeTimes struct {
	first float64 // seconds to the first event or to the answer
	span  time.Duration
	until time.Time // end of span's life
}

func newTimes(clk citronstream.Clock) *times {
	return &times{clk: clk, of: make(map[string]*routeTimes)}
}

func (ti *times) route(name string) *routeTimes {
	rt := ti.of[name]
	if rt == nil {
		if len(ti.of) >= maxRoutes {
			clear(ti.of)
		}
		rt = &routeTimes{}
		ti.of[name] = rt
	}
	return rt
}

// age returns how long the caller has waited before this attempt. Callers of
// a route start with the same time, so the longest one seen is that of first attempts.
func (ti *times) age(name string, left time.Duration) time.Duration {
	ti.mu.Lock()
	defer ti.mu.Unlock()
	rt, now := ti.route(name), ti.clk.Now()
	if left >= rt.span || now.After(rt.until) {
		rt.span, rt.until = left, now.Add(spanLife)
	}
	if age := rt.span - left; age > ageSlack {
		return age
	}
	return 0
}

// began notes the time from a send to the first event or the answer.
func (ti *times) began(name string, took time.Duration) {
	ti.mu.Lock()
	defer ti.mu.Unlock()
	rt := ti.route(name)
	if rt.first == 0 {
		rt.first = took.Seconds()
	}
	rt.first += timeAlpha * (took.Seconds() - rt.first)
}

// expected returns the time from a send to the first event or the answer.
func (ti *times) expected(name string) time.Duration {
	ti.mu.Lock()
	defer ti.mu.Unlock()
	if rt := ti.route(name); rt.first > 0 {
		return time.Duration(rt.first * float64(time.Second))
	}
	return firstGuess
}
