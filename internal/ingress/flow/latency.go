package flow

import (
	"sync"
	"time"

	"github.com/citronstream/citronstream"
)

const (
	// defaultLatency is the time to an engine's first event until one was
	// measured.
	defaultLatency = 150 * time.Millisecond
	// latencyAlpha is the weight of the newest time in the moving average.
	latencyAlpha = 0.1
	maxRoutes    = 4096
)

// latencies keeps the measured response latency of each route.
type latencies struct {
	clk    citronstream.Clock
	mu     sync.Mutex
	routes map[string]*routeLatency
}

type routeLatency struct {
	seconds float64 // moving average
}

func newLatencies(clk citronstream.Clock) *latencies {
	return &latencies{clk: clk, routes: make(map[string]*routeLatency)}
}

func (la *latencies) route(name string) *routeLatency {
	rl := la.routes[name]
	if rl == nil {
		if len(la.routes) >= maxRoutes {
			clear(la.routes)
		}
		rl = &routeLatency{}
		la.routes[name] = rl
	}
	return rl
}

// observe records the time from sending a request to its first event or complete
// response.
func (la *latencies) observe(name string, took time.Duration) {
	la.mu.Lock()
	defer la.mu.Unlock()
	rl := la.route(name)
	if rl.seconds == 0 {
		rl.seconds = took.Seconds()
	}
	rl.seconds += latencyAlpha * (took.Seconds() - rl.seconds)
}

// expected returns the average time from sending a request to its first event or
// complete response.
func (la *latencies) expected(name string) time.Duration {
	la.mu.Lock()
	defer la.mu.Unlock()
	if rl := la.route(name); rl.seconds > 0 {
		return time.Duration(rl.seconds * float64(time.Second))
	}
	return defaultLatency
}
