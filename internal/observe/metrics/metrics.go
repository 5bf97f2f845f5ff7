// Package metrics exports the counters of a process as Prometheus metrics.
package metrics

import (
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/version"
	"github.com/citronstream/citronstream/internal/observe/invariant"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// maxLabels bounds the distinct values of a histogram's label. The values are
// names from the configuration and accumulate over its versions; further ones
// count as "other".
const maxLabels = 256

const other = "other"

// Buckets of the histograms, in seconds. A first token is due within 0.97 s
// and a pipeline within 6 s (design page, section 1.4).
var (
	requestBuckets = []float64{0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 0.97, 2, 4, 6, 15, 60}
	stageBuckets   = []float64{0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 6, 30}
)

// emit reports one value of a family with its label values.
type emit func(value float64, labels ...string)

// family is a metric that is read at scrape time.
type family struct {
	desc *prometheus.Desc
	kind prometheus.ValueType
	read func(put emit)
}

// Set holds the metrics of one process. It is a prometheus.Collector that
// reads the existing counters when it is scraped, so that only the two
// histograms cost time on the request path.
type Set struct {
	reg      *prometheus.Registry
	requests *histogram
	stages   *histogram

	mu       sync.Mutex
	families []family
}

// New returns a set with the metrics that every process has. Version returns
// the configuration version in force.
func New(version func() uint64) *Set {
	se := &Set{
		reg:      prometheus.NewRegistry(),
		requests: newHistogram("citronstream_request_duration_seconds", "Time from the arrival of a request to its end, by rank.", "rank", requestBuckets),
		stages:   newHistogram("citronstream_stage_duration_seconds", "Time of a stage in the queue and at the upstream, by service.", "service", stageBuckets),
	}
	se.gauge("citronstream_config_version", "Configuration version in force.", func() float64 { return float64(version()) })
	se.counter("citronstream_invariant_violations_total", "Violated invariants of the program.", invariant.Default.Count)
	se.reg.MustRegister(se, se.requests.vec, se.stages.vec, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return se
}

// Request records the end of a request.
func (se *Set) Request(rank string, took time.Duration) { se.requests.observe(rank, took) }

// Stage records the end of a stage.
func (se *Set) Stage(service string, took time.Duration) { se.stages.observe(service, took) }

// Count implements the meter interfaces of entry and agent. An attempt that
// did not run and a replayed answer have no stage time.
func (se *Set) Count(ca *citronstream.Call, re *citronstream.Result) {
	if re.Replayed || (re.Fault != nil && re.Fault.Verdict == citronstream.NotRun) {
		return
	}
	se.Stage(ca.Service, re.Queued+re.Usage.Busy)
}

// Handler serves the metrics in Prometheus' text formats.
func (se *Set) Handler() http.Handler {
	return promhttp.HandlerFor(se.reg, promhttp.HandlerOpts{Registry: se.reg, MaxRequestsInFlight: 4})
}

// Describe implements prometheus.Collector. It sends nothing, which makes the
// collector unchecked: an entry or agent adds its families only once it has a
// configuration.
func (se *Set) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (se *Set) Collect(to chan<- prometheus.Metric) {
	se.mu.Lock()
	families := se.families
	se.mu.Unlock()
	for _, fam := range families {
		fam.read(func(value float64, labels ...string) {
			to <- prometheus.MustNewConstMetric(fam.desc, fam.kind, value, labels...)
		})
	}
}

func (se *Set) add(kind prometheus.ValueType, name, help string, labels []string, read func(put emit)) {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.families = append(se.families, family{desc: prometheus.NewDesc(name, help, labels, nil), kind: kind, read: read})
}

func (se *Set) gauge(name, help string, read func() float64) {
	se.add(prometheus.GaugeValue, name, help, nil, func(put emit) { put(read()) })
}

func (se *Set) counter(name, help string, read func() uint64) {
	se.add(prometheus.CounterValue, name, help, nil, func(put emit) { put(float64(read())) })
}

// events adds a counter with one label that names the event.
func (se *Set) events(name, help, label string, read func(put func(value uint64, event string))) {
	se.add(prometheus.CounterValue, name, help, []string{label}, func(put emit) {
		read(func(value uint64, event string) { put(float64(value), event) })
	})
}

// putReads reports the number of reads from a source and how many of them failed.
type putReads func(source string, all, failed uint64)

// periodicReads adds the counter of the reads that a process repeats at intervals.
func (se *Set) periodicReads(read func(put putReads)) {
	se.add(prometheus.CounterValue, "citronstream_reads_total", "Periodic reads, by source and outcome.", []string{"source", "outcome"}, func(put emit) {
		read(func(source string, all, failed uint64) {
			put(float64(all-min(all, failed)), source, "done")
			put(float64(failed), source, "failed")
		})
	})
}

// configNotices adds the counter of version notices sent to peers, and of those
// skipped because the peer had reported the version already.
func (se *Set) configNotices(read func() (sent, skipped uint64)) {
	se.events("citronstream_config_notices_total", "Notices of a configuration version to peers, by event.", "event", func(put func(uint64, string)) {
		sent, skipped := read()
		put(sent, "sent")
		put(skipped, "spared")
	})
}

// configDocuments adds the counter of configuration documents read or sent to peers.
func (se *Set) configDocuments(st *version.Store) {
	se.events("citronstream_config_documents_total", "Configuration documents read or sent to peers, by event.", "event", func(put func(uint64, string)) {
		co := st.Counts()
		put(co.FullReceived, "whole_read")
		put(co.DeltasApplied, "difference_read")
		put(co.DeltaMismatches, "difference_refused")
		put(co.FullSent, "whole_given")
		put(co.DeltasSent, "difference_given")
	})
}

// tableSizes adds the gauge of the sizes of a process's bounded tables.
func (se *Set) tableSizes(read func(put func(size int, table string))) {
	se.add(prometheus.GaugeValue, "citronstream_table_size", "Elements in a bounded table of the process.", []string{"table"}, func(put emit) {
		read(func(size int, table string) { put(float64(size), table) })
	})
}

// histogram is a histogram with one label of bounded values. The map of its
// observers is copied on write, so that the request path takes no lock.
type histogram struct {
	vec       *prometheus.HistogramVec
	mu        sync.Mutex // held while a label value is added
	observers atomic.Pointer[map[string]prometheus.Observer]
}

func newHistogram(name, help, label string, buckets []float64) *histogram {
	hg := &histogram{vec: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets}, []string{label})}
	hg.observers.Store(&map[string]prometheus.Observer{})
	return hg
}

func (hg *histogram) observe(label string, took time.Duration) {
	ob, ok := (*hg.observers.Load())[label]
	if !ok {
		ob = hg.addLabel(label)
	}
	ob.Observe(took.Seconds())
}

func (hg *histogram) addLabel(label string) prometheus.Observer {
	hg.mu.Lock()
	defer hg.mu.Unlock()
	current := *hg.observers.Load()
	if ob, ok := current[label]; ok {
		return ob
	}
	if len(current) >= maxLabels-1 {
		return hg.vec.WithLabelValues(other)
	}
	next := maps.Clone(current)
	next[label] = hg.vec.WithLabelValues(label)
	hg.observers.Store(&next)
	return next[label]
}
