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
	ordinaryAlpha = 0.1
	// probeAlpha gives the calls of an outlier more weight, because it gets fewer.
	probeAlpha = 0.3
	// interval is the time between two evaluations.
	interval = time.Second
	// enough is the number of answers from which an upstream's latency is compared.
	enough = 10
	// outWeight is the share of its normal work that an outlier still gets, as probes.
	outWeight = 0.1
	// The bounds to become an outlier and to recover differ, so that an upstream
	// near one of them doesn't change at each evaluation.
	slowOut, slowBack = 3.0, 1.5
	failOut, failBack = 0.3, 0.1
	// slack is the excess over the median that is never slow, in seconds. It covers
	// the distance between zones.
	slack = 0.005
)

// Detector implements policy.Outliers. Its size is that of the routing table.
type Detector struct {
	clk   citronstream.Clock
	table *table.Table
	due   atomic.Int64 // nanoseconds since 1970
	view  atomic.Pointer[view]
	mu    sync.Mutex // serialises refresh and Judge
}

// records holds the statistics for one snapshot of the routing table.
type view struct {
	of       *table.Snapshot
	stats    map[string]*stat
	services [][]*stat
}

// New returns a detector that sets the weights of the table's nodes.
func New(clk citronstream.Clock, ta *table.Table) *Detector {
	de := &Detector{clk: clk, table: ta}
	de.view.Store(&view{})
	return de
}

// Len returns the number of upstreams with statistics.
func (de *Detector) Len() int { return len(de.current().stats) }

// Outliers returns the names of the current outliers in order.
func (de *Detector) Outliers() []string {
	var names []string
	for name, sa := range de.current().stats {
		if sa.out.Load() {
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
		if failed = blames(err); !failed {
			return
		}
	}
	if sa := de.current().stats[upstream]; sa != nil {
		sa.observe(took.Seconds()/max(1, cost), failed)
	}
	now, due := de.clk.Now().UnixNano(), de.due.Load()
	if now >= due && de.due.CompareAndSwap(due, now+int64(interval)) {
		de.Judge()
	}
}

// blames reports whether the error is the upstream's fault.
func blames(err error) bool {
	switch citronstream.FaultOf(err).Code {
	case citronstream.CodeUpstreamDied, citronstream.CodeUpstreamFailed, citronstream.CodeLinkLost, citronstream.CodeInternal:
		return true
	}
	return false
}

// current returns the records, updated if the table has another snapshot.
func (de *Detector) current() *view {
	sn := de.table.Snapshot()
	if vi := de.view.Load(); vi.of == sn {
		return vi
	}
	de.mu.Lock()
	defer de.mu.Unlock()
	old := de.view.Load()
	if sn = de.table.Snapshot(); old.of == sn {
		return old
	}
	vi := &view{of: sn, stats: make(map[string]*stat, sn.Len())}
	sn.Each(func(se *table.Service) {
		group := make([]*stat, 0, len(se.Nodes))
		for _, no := range se.Nodes {
			sa := &stat{node: no}
			if was := old.stats[no.Name]; was != nil && was.node.Same(no) {
				sa = was
			}
			vi.stats[no.Name] = sa
			group = append(group, sa)
		}
		vi.services = append(vi.services, group)
	})
	de.view.Store(vi)
	return vi
}

// Judge compares the upstreams of each service and sets their weights. Observe
// calls it at most once a second.
func (de *Detector) Judge() {
	vi := de.current()
	de.mu.Lock()
	defer de.mu.Unlock()
	for _, group := range vi.services {
		judge(group)
	}
}

// deviation is how far an upstream is from the median, relative to the bound.
type mark struct {
	of    *stat
	worst float64
}

func judge(group []*stat) {
	latency, failure := medians(group)
	var out []mark
	for _, sa := range group {
		slow, fail := slowOut, failOut
		if sa.out.Load() {
			slow, fail = slowBack, failBack
		}
		worst := (sa.failure.load() - failure) / fail
		if sa.samples.Load() >= enough && latency > 0 {
			worst = max(worst, sa.latency.load()/max(latency*slow, latency+slack))
		}
		if worst > 1 {
			out = append(out, mark{sa, worst})
		}
	}
	slices.SortFunc(out, func(a, b mark) int { return cmp.Compare(b.worst, a.worst) })
	out = out[:min(len(out), len(group)/3)]
	for _, sa := range group {
		isOut := slices.ContainsFunc(out, func(ma mark) bool { return ma.of == sa })
		if sa.out.Swap(isOut) != isOut {
			weight := 1.0
			if isOut {
				weight = outWeight
			}
			sa.node.SetWeight(weight)
		}
	}
}

func medians(group []*stat) (latency, failure float64) {
	var latencies, failures []float64
	for _, sa := range group {
		if sa.samples.Load() >= enough {
			latencies = append(latencies, sa.latency.load())
		}
		failures = append(failures, sa.failure.load())
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
