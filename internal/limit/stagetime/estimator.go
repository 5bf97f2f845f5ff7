// Package stagetime estimates how long the stages of a pipeline take and
// splits a request's deadline among them, as docs/design.md section 7 states.
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
	defaultCap = 1024 // cells; 40 services of 16 classes need 680
	// unmeasured is the estimate for a service that has not been measured.
	unmeasured = 50 * time.Millisecond
	// halfLife is the time in which a measurement loses half its weight.
	halfLife = 30 * time.Second
	// classes are powers of two of the cost, from below 1 to 2^14 and above.
	classes = 16
	// anyClass is the cell of a service over all costs.
	anyClass = -1
)

// Stage is a stage that is still to run.
type Stage struct {
	Service string
	Cost    float64 // estimated cost units
}

type key struct {
	service string
	class   int
}

// Estimator keeps the decayed median stage time by service and cost class.
// Reads use atomics only.
type Estimator struct {
	clk citronstream.Clock
	cap int

	cells atomic.Pointer[map[key]*cell] // replaced as a whole under mu
	mu    sync.Mutex
}

// Option changes an Estimator.
type Option func(*Estimator)

// WithCap bounds the cells. The cell measured longest ago goes first. Default 1,024.
func WithCap(cells int) Option { return func(es *Estimator) { es.cap = max(cells, 2) } }

// New returns an Estimator without measurements.
func New(clk citronstream.Clock, opts ...Option) *Estimator {
	es := &Estimator{clk: clk, cap: defaultCap}
	for _, opt := range opts {
		opt(es)
	}
	es.cells.Store(&map[key]*cell{})
	return es
}

func classOf(cost float64) int {
	if !(cost >= 1) {
		return 0
	}
	return min(int(math.Log2(cost))+1, classes-1)
}

// Observe records a stage that ran to its end. Took is the time that the entry
// saw, less the time in the agent's queue (Result.Queued): the wait depends on
// rank and workspace, and counting it would let a flood of one rank make the
// deadlines of another look too short.
func (es *Estimator) Observe(service string, cost float64, took time.Duration) {
	if took < 0 {
		return
	}
	now := es.clk.Now()
	es.cell(key{service, classOf(cost)}).add(now, took)
	es.cell(key{service, anyClass}).add(now, took)
}

func (es *Estimator) cell(ke key) *cell {
	if ce, ok := (*es.cells.Load())[ke]; ok {
		return ce
	}
	es.mu.Lock()
	defer es.mu.Unlock()
	old := *es.cells.Load()
	if ce, ok := old[ke]; ok {
		return ce
	}
	next := maps.Clone(old)
	if len(next) >= es.cap {
		evictOldest(next)
	}
	ce := &cell{}
	ce.at.Store(es.clk.Now().UnixNano())
	next[ke] = ce
	es.cells.Store(&next)
	return ce
}

func evictOldest(cells map[key]*cell) {
	var oldest key
	at := int64(math.MaxInt64)
	for ke, ce := range cells {
		if when := ce.at.Load(); when < at {
			oldest, at = ke, when
		}
	}
	delete(cells, oldest)
}

// P50 returns the median time of a stage: that of its cost class, else that
// of its service, else unmeasured.
func (es *Estimator) P50(service string, cost float64) time.Duration {
	cells, now := *es.cells.Load(), es.clk.Now()
	for _, class := range [...]int{classOf(cost), anyClass} {
		if ce, ok := cells[key{service, class}]; ok {
			if median, ok := ce.median(now); ok {
				return median
			}
		}
	}
	return unmeasured
}

// Split returns for each stage the time from now by which it must end: the
// remaining time less the estimates of the later stages, at least 0.
func (es *Estimator) Split(remaining time.Duration, stages []Stage) []time.Duration {
	budgets := make([]time.Duration, len(stages))
	for i := len(stages) - 1; i >= 0; i-- {
		budgets[i] = max(remaining, 0)
		remaining -= es.P50(stages[i].Service, stages[i].Cost)
	}
	return budgets
}

// Fits says whether the stages can run one after the other in the remaining time.
func (es *Estimator) Fits(remaining time.Duration, stages []Stage) bool {
	for _, st := range stages {
		remaining -= es.P50(st.Service, st.Cost)
	}
	return remaining >= 0
}

// Len returns the number of cells.
func (es *Estimator) Len() int { return len(*es.cells.Load()) }
