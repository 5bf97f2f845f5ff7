// Package requests counts the requests of a process by how they ended.
package requests

import (
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// maxSeries bounds the combinations of labels; further ones count as "other".
	maxSeries = 512
	other     = "other"
)

// buckets are the bounds of the histogram, in seconds: from a plain call to
// the longest deadline of a stream.
var buckets = []float64{0.01, 0.03, 0.1, 0.3, 0.6, 1, 1.5, 2, 3, 4, 6, 10, 20}

// Request is the end of a request.
type Request struct {
	Service, Workspace, Outcome string
	Rank                        int
	Took                        time.Duration
}

// Meter counts requests. It is a prometheus.Collector.
type Meter struct {
	ended *prometheus.CounterVec
	took  *prometheus.HistogramVec

	mu   sync.Mutex
	seen map[Request]bool // with Took zero
}

// New returns a meter without counts.
func New() *Meter {
	return &Meter{
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "citronstream_site_requests_total", Help: "Requests by service, rank, workspace and outcome.",
		}, []string{"service", "rank", "workspace", "outcome"}),
		took: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "citronstream_site_request_seconds", Help: "Time from the arrival of a request to its end, by service and outcome.", Buckets: buckets,
		}, []string{"service", "outcome"}),
		seen: make(map[Request]bool),
	}
}

// Observe counts a request.
func (me *Meter) Observe(rq Request) {
	took := rq.Took
	rq = me.bound(rq)
	me.ended.WithLabelValues(rq.Service, strconv.Itoa(rq.Rank), rq.Workspace, rq.Outcome).Inc()
	me.took.WithLabelValues(rq.Service, rq.Outcome).Observe(took.Seconds())
}

// bound returns the labels, or those of all others above the bound.
func (me *Meter) bound(rq Request) Request {
	rq.Took = 0
	me.mu.Lock()
	defer me.mu.Unlock()
	if me.seen[rq] {
		return rq
	}
	if len(me.seen) >= maxSeries {
		return Request{Service: other, Workspace: other, Outcome: rq.Outcome}
	}
	me.seen[rq] = true
	return rq
}

// Describe implements prometheus.Collector.
func (me *Meter) Describe(to chan<- *prometheus.Desc) {
	me.ended.Describe(to)
	me.took.Describe(to)
}

// Collect implements prometheus.Collector.
func (me *Meter) Collect(to chan<- prometheus.Metric) {
	me.ended.Collect(to)
	me.took.Collect(to)
}
