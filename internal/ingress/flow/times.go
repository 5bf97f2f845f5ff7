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
