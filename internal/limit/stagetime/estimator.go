// Package stagetime estimates the run time of pipeline stages and divides a
// request's deadline among them (docs/design.md section 7).
package stagetime

import (
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
)

// Defaults and bounds.
const (
	defaultCap = 1024 // histograms; 40 services of 16 classes need 680
	// defaultEstimate is the estimate for a service that has not been measured.
	defaultEstimate = 50 * time.Millisecond
	// halfLife is the time in which a measurement loses half its weight.
	halfLife = 30 * time.Second
	// classes is the number of cost classes, powers of two from below 1 to 2^14 and above.
	classes = 16
	// anyClass selects the histogram of a service over all costs.
	anyClass = -1
)

// Stage is a stage that has not run yet.
type Stage struct {
	Service string
	Cost    float64 // estimated cost units
}

type key struct {
	service string
	class   int
}

// Estimator keeps the decayed median stage time by service and cost class.
// Reads use only atomics.
type Estimator struct {
	clk citronstream.Clock
	cap int

	histograms atomic.Pointer[map[key]*histogram] // replaced as a whole under mu
	mu         sync.Mutex
}

// Option changes an Estimator.
type Option func(*Estimator)

// WithCap bounds the histograms. The one with the oldest measurement is evicted first. Default 1,024.
func WithCap(count int) Option { return func(es *Estimator) { es.cap = max(count, 2) } }

// New returns an Estimator without measurements.
func New(clk citronstream.Clock, opts ...Option) *Estimator {
	es := &Estimator{clk: clk, cap: defaultCap}
	for _, opt := range opts {
		opt(es)
	}
	es.histograms.Store(&map[key]*histogram{})
	return es
}

func classOf(cost float64) int {
	if !(cost >= 1) {
		return 0
	}
	return min(int(math.Log2(cost))+1, classes-1)
}

// Observe records a completed stage. Took is the time measured by the entry, less
// the time in the agent's queue (Result.Queued): that wait depends on rank and
// workspace, and with it a flood of one rank would make the deadlines of other
// ranks appear too short.
func (es *Estimator) Observe(service string, cost float64, took time.Duration) {
	if took < 0 {
		return
	}
	now := es.clk.Now()
	es.histogram(key{service, classOf(cost)}).add(now, took)
	es.histogram(key{service, anyClass}).add(now, took)
}

func (es *Estimator) histogram(ke key) *histogram {
	if hi, ok := (*es.histograms.Load())[ke]; ok {
		return hi
	}
	es.mu.Lock()
	defer es.mu.Unlock()
	old := *es.histograms.Load()
	if hi, ok := old[ke]; ok {
		return hi
	}
	next := maps.Clone(old)
	if len(next) >= es.cap {
		evictOldest(next)
	}
	hi := &histogram{}
	hi.measuredAt.Store(es.clk.Now().UnixNano())
	next[ke] = hi
	es.histograms.Store(&next)
	return hi
}

func evictOldest(histograms map[key]*histogram) {
	var oldest key
	at := int64(math.MaxInt64)
	for ke, hi := range histograms {
		if when := hi.measuredAt.Load(); when < at {
			oldest, at = ke, when
		}
	}
	delete(histograms, oldest)
}

// P50 returns the median time of a stage: that of its cost class, else that of
// its service, else defaultEstimate.
func (es *Estimator) P50(service string, cost float64) time.Duration {
	histograms, now := *es.histograms.Load(), es.clk.Now()
	for _, class := range [...]int{classOf(cost), anyClass} {
		if hi, ok := histograms[key{service, class}]; ok {
			if median, ok := hi.median(now); ok {
				return median
			}
		}
	}
	return defaultEstimate
}

// Split returns for each stage the time within which it must end, from now: the
// remaining time less the estimates of the later stages, at least 0.
func (es *Estimator) Split(remaining time.Duration, stages []Stage) []time.Duration {
	budgets := make([]time.Duration, len(stages))
	for i := len(stages) - 1; i >= 0; i-- {
		budgets[i] = max(remaining, 0)
		remaining -= es.P50(stages[i].Service, stages[i].Cost)
	}
	return budgets
}

// Fits reports whether the stages can run in sequence within the remaining time.
func (es *Estimator) Fits(remaining time.Duration, stages []Stage) bool {
	for _, st := range stages {
		remaining -= es.P50(st.Service, st.Cost)
	}
	return remaining >= 0
}

// Len returns the number of histograms.
func (es *Estimator) Len() int { return len(*es.histograms.Load()) }
