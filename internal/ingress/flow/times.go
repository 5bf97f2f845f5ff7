package flow

import (
	"math"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
)

const (
	// firstGuess is the time to an engine's first event until one was measured.
	firstGuess = 150 * time.Millisecond
	// timeAlpha weighs the newest time in the moving average.
	timeAlpha = 0.1
	// stageAlpha does so for the times of stages, which change within a burst.
	stageAlpha = 0.15
	maxRoutes  = 4096
)

// times has what a process learns of each route.
type times struct {
	clk citronstream.Clock
	mu  sync.Mutex
	of  map[string]*routeTimes
}

type routeTimes struct {
	first  float64 // seconds to the first event or to the answer
	stages map[int]*average
}

// average is a moving average with its mean deviation, in seconds.
type average struct{ mean, deviation float64 }

func (av *average) add(value float64) {
	if av.mean == 0 {
		av.mean = value
	}
	av.deviation += stageAlpha * (math.Abs(value-av.mean) - av.deviation)
	av.mean += stageAlpha * (value - av.mean)
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
		rt = &routeTimes{stages: make(map[int]*average)}
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

// staged notes the time of a stage, from its job's submission to the results.
func (ti *times) staged(name string, number int, took time.Duration) {
	ti.mu.Lock()
	defer ti.mu.Unlock()
	rt := ti.route(name)
	av := rt.stages[number]
	if av == nil {
		av = &average{}
		rt.stages[number] = av
	}
	av.add(took.Seconds())
}

// stage returns the time within which most jobs of a stage end, at least that of its work.
func (ti *times) stage(name string, number int, work time.Duration) time.Duration {
	ti.mu.Lock()
	defer ti.mu.Unlock()
	av := ti.route(name).stages[number]
	if av == nil {
		return work
	}
	return max(work, time.Duration((av.mean+av.deviation)*float64(time.Second)))
}
