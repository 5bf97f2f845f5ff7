package flow

import (
	"math"
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
	// stepAlpha is the weight of the newest stream in the mean time between events, which
	// is over all engines. It is of use from minStreams on.
	stepAlpha  = 0.05
	minStreams = 5
	// restDeviations is how many mean deviations a response may be shorter than the
	// average before it counts as one that could not have been served.
	restDeviations = 2
)

// latencies keeps the measured response latency of each route.
type latencies struct {
	clk    citronstream.Clock
	mu     sync.Mutex
	routes map[string]*routeLatency
}

type routeLatency struct {
	seconds   float64 // moving average
	read      float64 // moving average of the time to read the prompt, in seconds
	deviation float64 // moving average of the difference from what was expected, in seconds
	// rest and restDeviation are the same for the time from the first event to the end.
	rest, restDeviation float64
	// step is the moving average of the time between two events, in seconds, over steps streams.
	step  float64
	steps int
}

func newLatencies(clk citronstream.Clock) *latencies {
	return &latencies{clk: clk, routes: make(map[string]*routeLatency)}
}

// measured reports whether a response of the route was measured.
func (la *latencies) measured(name string) bool {
	la.mu.Lock()
	defer la.mu.Unlock()
	rl := la.routes[name]
	return rl != nil && rl.seconds > 0
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
// response, and the time that its prompt takes alone.
func (la *latencies) observe(name string, took, read time.Duration) {
	la.mu.Lock()
	defer la.mu.Unlock()
	rl := la.route(name)
	if rl.seconds == 0 {
		rl.seconds, rl.read = took.Seconds(), read.Seconds()
	}
	rl.deviation += latencyAlpha * (math.Abs(took.Seconds()-rl.expected(read)) - rl.deviation)
	rl.seconds += latencyAlpha * (took.Seconds() - rl.seconds)
	rl.read += latencyAlpha * (read.Seconds() - rl.read)
}

// expected returns the time from sending a request to its first event or complete
// response: the average of its route, corrected for the length of its prompt.
func (la *latencies) expected(name string, read time.Duration) time.Duration {
	la.mu.Lock()
	defer la.mu.Unlock()
	rl := la.route(name)
	if rl.seconds <= 0 {
		return max(defaultLatency, read)
	}
	return time.Duration(rl.expected(read) * float64(time.Second))
}

func (rl *routeLatency) expected(read time.Duration) float64 {
	return max(rl.seconds/4, rl.seconds+read.Seconds()-rl.read)
}

// observeStep records the mean time between two events of a stream. It returns this time
// relative to the usual one of the route; false until that is known.
func (la *latencies) observeStep(name string, took time.Duration) (ratio float64, known bool) {
	la.mu.Lock()
	defer la.mu.Unlock()
	rl := la.route(name)
	if rl.steps >= minStreams {
		ratio, known = took.Seconds()/rl.step, rl.step > 0
	}
	rl.steps++
	rl.step += max(stepAlpha, 1/float64(rl.steps)) * (took.Seconds() - rl.step)
	return ratio, known
}

// observeRest records the time from the first event of a response to its end.
func (la *latencies) observeRest(name string, took time.Duration) {
	la.mu.Lock()
	defer la.mu.Unlock()
	rl := la.route(name)
	if rl.rest == 0 {
		rl.rest, rl.restDeviation = took.Seconds(), took.Seconds()/2
	}
	rl.restDeviation += latencyAlpha * (math.Abs(took.Seconds()-rl.rest) - rl.restDeviation)
	rl.rest += latencyAlpha * (took.Seconds() - rl.rest)
}

// rest returns the time that most responses of a route take at least from their first
// event to their end, 0 until that was measured.
func (la *latencies) rest(name string) time.Duration {
	la.mu.Lock()
	defer la.mu.Unlock()
	rl := la.route(name)
	return time.Duration(max(0, rl.rest-restDeviations*rl.restDeviation) * float64(time.Second))
}

// beyondFirst returns the time that responses of a route take beyond the expected time to
// the first event, with some mean deviations on top; false until that was measured.
func (la *latencies) beyondFirst(name string, stream bool, deviations float64) (more time.Duration, measured bool) {
	la.mu.Lock()
	defer la.mu.Unlock()
	rl := la.route(name)
	seconds, measured := deviations*rl.deviation, rl.seconds > 0
	if stream {
		seconds += rl.rest + deviations*rl.restDeviation
		measured = measured && rl.rest > 0
	}
	return time.Duration(seconds * float64(time.Second)), measured
}

// deviation returns the mean difference between the measured and the expected times
// of a route.
func (la *latencies) deviation(name string) time.Duration {
	la.mu.Lock()
	defer la.mu.Unlock()
	return time.Duration(la.route(name).deviation * float64(time.Second))
}
