// Package requests counts the requests of a process by outcome.
package requests

import (
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// maxLabelSets bounds the combinations of label values; further ones count as "other".
	maxLabelSets = 512
	other        = "other"
)

// buckets are the bounds of the histogram, in seconds: from a short plain call
// to the longest deadline of a stream.
var buckets = []float64{0.01, 0.03, 0.1, 0.3, 0.6, 1, 1.5, 2, 3, 4, 6, 10, 20}

// Request describes a request that has ended.
type Request struct {
	Service, Workspace, Outcome string
	Rank                        int
	Took                        time.Duration
	// Unanswered says that no byte of a response was written.
	Unanswered bool
}

// Meter counts requests. It is a prometheus.Collector.
type Meter struct {
	ended *prometheus.CounterVec
	took  *prometheus.HistogramVec
	// unanswered has the outcomes as causes, of which there are few.
	unanswered *prometheus.CounterVec

	mu   sync.Mutex
	seen map[Request]bool // with Took zero and Unanswered false
}

// New returns a meter whose counts are zero.
func New() *Meter {
	return &Meter{
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "citronstream_site_requests_total", Help: "Requests by service, rank, workspace and outcome.",
		}, []string{"service", "rank", "workspace", "outcome"}),
		took: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "citronstream_site_request_seconds", Help: "Time from the arrival of a request to its end, by service and outcome.", Buckets: buckets,
		}, []string{"service", "outcome"}),
		unanswered: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "citronstream_site_requests_unanswered_total", Help: "Requests that ended before a byte of a response was written, by cause.",
		}, []string{"cause"}),
		seen: make(map[Request]bool),
	}
}

// Observe counts a request.
func (mt *Meter) Observe(rq Request) {
	if rq.Unanswered {
		mt.unanswered.WithLabelValues(rq.Outcome).Inc()
	}
	took := rq.Took
	rq = mt.limitLabels(rq)
	mt.ended.WithLabelValues(rq.Service, strconv.Itoa(rq.Rank), rq.Workspace, rq.Outcome).Inc()
	mt.took.WithLabelValues(rq.Service, rq.Outcome).Observe(took.Seconds())
}

// limitLabels returns the labels of a request, or "other" if its combination
// is beyond maxLabelSets.
func (mt *Meter) limitLabels(rq Request) Request {
	rq.Took, rq.Unanswered = 0, false
	mt.mu.Lock()
	defer mt.mu.Unlock()
	if mt.seen[rq] {
		return rq
	}
	if len(mt.seen) >= maxLabelSets {
		return Request{Service: other, Workspace: other, Outcome: rq.Outcome}
	}
	mt.seen[rq] = true
	return rq
}

// Describe implements prometheus.Collector.
func (mt *Meter) Describe(to chan<- *prometheus.Desc) {
	mt.ended.Describe(to)
	mt.took.Describe(to)
	mt.unanswered.Describe(to)
}

// Collect implements prometheus.Collector.
func (mt *Meter) Collect(to chan<- prometheus.Metric) {
	mt.ended.Collect(to)
	mt.took.Collect(to)
	mt.unanswered.Collect(to)
}
