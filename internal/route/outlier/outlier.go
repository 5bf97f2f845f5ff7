// Package outlier finds upstreams that are slower or fail more often than
// the median of their service, and reduces their weight in the routing table.
package outlier

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/route/table"
)

const (
	normalAlpha = 0.1
	// probeAlpha gives the calls of an outlier more weight, because it gets fewer.
	probeAlpha = 0.3
	// interval is the time between two evaluations.
	interval = time.Second
	// minSamples is the number of answers from which an upstream's latency is compared.
	minSamples = 10
	// outlierWeight is the share of its normal work that an outlier still gets, as probes.
	outlierWeight = 0.1
	// The bounds to become an outlier and to recover differ, so that an upstream
	// near one of them doesn't change at each evaluation.
	slowEnter, slowLeave = 3.0, 1.5
	failEnter, failLeave = 0.3, 0.1
	// minExcess is the excess over the median that is never slow, in seconds. It covers
	// the distance between zones.
	minExcess = 0.005
)

// Detector implements policy.Outliers. Its size is that of the routing table.
type Detector struct {
	clk     citronstream.Clock
	table   *table.Table
	due     atomic.Int64 // nanoseconds since 1970
	records atomic.Pointer[records]
	mu      sync.Mutex // serialises current and Evaluate
}

// records holds the statistics for one snapshot of the routing table.
type records struct {
	snapshot *table.Snapshot
	stats    map[string]*stat
	services [][]*stat
}

// New returns a detector that sets the weights of the table's nodes.
func New(clk citronstream.Clock, ta *table.Table) *Detector {
	de := &Detector{clk: clk, table: ta}
	de.records.Store(&records{})
	return de
}

// Len returns the number of upstreams with statistics.
func (de *Detector) Len() int { return len(de.current().stats) }

// Outliers returns the names of the current outliers in order.
func (de *Detector) Outliers() []string {
	var names []string
	for name, st := range de.current().stats {
		if st.outlier.Load() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Observe records the outcome of a call. Latency is divided by the cost, if that
// exceeds 1. Refusals and the caller's own faults don't count as failures.
func (de *Detector) Observe(upstream string, cost float64, took time.Duration, err error) {
	failed := false
	if err != nil {
		if failed = isUpstreamFault(err); !failed {
			return
		}
	}
	if st := de.current().stats[upstream]; st != nil {
		st.observe(took.Seconds()/max(1, cost), failed)
	}
	now, due := de.clk.Now().UnixNano(), de.due.Load()
	if now >= due && de.due.CompareAndSwap(due, now+int64(interval)) {
		de.Evaluate()
	}
}

// isUpstreamFault reports whether the error is the upstream's fault.
func isUpstreamFault(err error) bool {
	switch citronstream.FaultOf(err).Code {
	case citronstream.CodeUpstreamDied, citronstream.CodeUpstreamFailed, citronstream.CodeLinkLost, citronstream.CodeInternal:
		return true
	}
	return false
}

// current returns the records, updated if the table has another snapshot.
func (de *Detector) current() *records {
	sn := de.table.Snapshot()
	if rec := de.records.Load(); rec.snapshot == sn {
		return rec
	}
	de.mu.Lock()
	defer de.mu.Unlock()
	old := de.records.Load()
	if sn = de.table.Snapshot(); old.snapshot == sn {
		return old
	}
	rec := &records{snapshot: sn, stats: make(map[string]*stat, sn.Len())}
	sn.Each(func(se *table.Service) {
		group := make([]*stat, 0, len(se.Nodes))
		for _, nd := range se.Nodes {
			st := &stat{node: nd}
			if prev := old.stats[nd.Name]; prev != nil && prev.node.Same(nd) {
				st = prev
			}
			rec.stats[nd.Name] = st
			group = append(group, st)
		}
		rec.services = append(rec.services, group)
	})
	de.records.Store(rec)
	return rec
}

// Evaluate compares the upstreams of each service and sets their weights. Observe
// calls it at most once a second.
func (de *Detector) Evaluate() {
	rec := de.current()
	de.mu.Lock()
	defer de.mu.Unlock()
	for _, group := range rec.services {
		evaluate(group)
	}
}

// deviation is how far an upstream is from the median, relative to the bound.
type deviation struct {
	stat  *stat
	ratio float64
}

func evaluate(group []*stat) {
	latency, failure := medians(group)
	var outliers []deviation
	for _, st := range group {
		slow, fail := slowEnter, failEnter
		if st.outlier.Load() {
			slow, fail = slowLeave, failLeave
		}
		worst := (st.failure.load() - failure) / fail
		if st.samples.Load() >= minSamples && latency > 0 {
			worst = max(worst, st.latency.load()/max(latency*slow, latency+minExcess))
		}
		if worst > 1 {
			outliers = append(outliers, deviation{st, worst})
		}
	}
	slices.SortFunc(outliers, func(a, b deviation) int { return cmp.Compare(b.ratio, a.ratio) })
	outliers = outliers[:min(len(outliers), len(group)/3)]
	for _, st := range group {
		isOutlier := slices.ContainsFunc(outliers, func(dv deviation) bool { return dv.stat == st })
		if st.outlier.Swap(isOutlier) != isOutlier {
			weight := 1.0
			if isOutlier {
				weight = outlierWeight
			}
			st.node.SetWeight(weight)
		}
	}
}

func medians(group []*stat) (latency, failure float64) {
	var latencies, failures []float64
	for _, st := range group {
		if st.samples.Load() >= minSamples {
			latencies = append(latencies, st.latency.load())
		}
		failures = append(failures, st.failure.load())
	}
	return median(latencies), median(failures)
}

// median returns the lower median, or 0 for fewer than three values: of two
// upstreams, either could be the outlier.
func median(values []float64) float64 {
	if len(values) < 3 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
