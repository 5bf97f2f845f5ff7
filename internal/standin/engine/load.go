package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// maxSamples bounds the load samples kept for the delayed report; the oldest are dropped.
const maxSamples = 4096

// sampleInterval is the shortest interval between two samples; it bounds their number per second of lag.
const sampleInterval = time.Millisecond

type loadSample struct {
	at      time.Time
	running int
	waiting int
	cache   float64
}

// loadHistory keeps recent load samples.
type loadHistory struct {
	clk     citronstream.Clock
	mu      sync.Mutex
	samples []loadSample
}

func newLoadHistory(clk citronstream.Clock) *loadHistory { return &loadHistory{clk: clk} }

// add records the current load; a sample within sampleInterval of the last replaces it.
func (lh *loadHistory) add(running, waiting int, cache float64) {
	lh.mu.Lock()
	defer lh.mu.Unlock()
	now := loadSample{at: lh.clk.Now(), running: running, waiting: waiting, cache: cache}
	if last := len(lh.samples) - 1; last >= 0 && now.at.Sub(lh.samples[last].at) < sampleInterval {
		now.at = lh.samples[last].at
		lh.samples[last] = now
		return
	}
	if len(lh.samples) >= maxSamples {
		lh.samples = lh.samples[1:]
	}
	lh.samples = append(lh.samples, now)
}

// delayed returns the load as of lag ago and drops older samples.
func (lh *loadHistory) delayed(lag time.Duration) loadSample {
	lh.mu.Lock()
	defer lh.mu.Unlock()
	horizon := lh.clk.Now().Add(-lag)
	for len(lh.samples) > 1 && !lh.samples[1].at.After(horizon) {
		lh.samples = lh.samples[1:]
	}
	if len(lh.samples) == 0 || lh.samples[0].at.After(horizon) {
		return loadSample{}
	}
	return lh.samples[0]
}

func (lh *loadHistory) clear() {
	lh.mu.Lock()
	defer lh.mu.Unlock()
	lh.samples = nil
}

// metrics serves GET /metrics in Prometheus text, with the load as of lag ago.
func (se *Server) metrics() http.Handler {
	re := prometheus.NewRegistry()
	gauge := func(name, help string, value func(loadSample) float64) {
		re.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 {
			return value(se.load.delayed(se.Scaled(se.lag)))
		}))
	}
	gauge("engine_requests_running", "Sequences in the batch.", func(ln loadSample) float64 { return float64(ln.running) })
	gauge("engine_requests_waiting", "Sequences in the queue.", func(ln loadSample) float64 { return float64(ln.waiting) })
	gauge("engine_cache_usage_ratio", "Share of the prefix cache in use.", func(ln loadSample) float64 { return ln.cache })
	gauge("engine_capacity", "Sequences that the batch holds.", func(loadSample) float64 { return float64(se.capacity) })
	return promhttp.HandlerFor(re, promhttp.HandlerOpts{})
}
