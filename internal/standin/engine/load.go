package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// maxNotes bounds the load kept for the lagging report; the oldest are dropped.
const maxNotes = 4096

// noteEvery bounds how many notes a second of lag takes.
const noteEvery = time.Millisecond

type loadNote struct {
	at      time.Time
	running int
	waiting int
	cache   float64
}

// loadHistory keeps the load of the recent past.
type loadHistory struct {
	clk   citronstream.Clock
	mu    sync.Mutex
	notes []loadNote
}

func newLoadHistory(clk citronstream.Clock) *loadHistory { return &loadHistory{clk: clk} }

// note keeps the load as of now; of several within noteEvery the last one counts.
func (lh *loadHistory) note(running, waiting int, cache float64) {
	lh.mu.Lock()
	defer lh.mu.Unlock()
	now := loadNote{at: lh.clk.Now(), running: running, waiting: waiting, cache: cache}
	if last := len(lh.notes) - 1; last >= 0 && now.at.Sub(lh.notes[last].at) < noteEvery {
		now.at = lh.notes[last].at
		lh.notes[last] = now
		return
	}
	if len(lh.notes) >= maxNotes {
		lh.notes = lh.notes[1:]
	}
	lh.notes = append(lh.notes, now)
}

// before returns the load as it was lag ago and forgets what is older.
func (lh *loadHistory) before(lag time.Duration) loadNote {
	lh.mu.Lock()
	defer lh.mu.Unlock()
	horizon := lh.clk.Now().Add(-lag)
	for len(lh.notes) > 1 && !lh.notes[1].at.After(horizon) {
		lh.notes = lh.notes[1:]
	}
	if len(lh.notes) == 0 || lh.notes[0].at.After(horizon) {
		return loadNote{}
	}
	return lh.notes[0]
}

func (lh *loadHistory) clear() {
	lh.mu.Lock()
	defer lh.mu.Unlock()
	lh.notes = nil
}

// metrics serves GET /metrics in Prometheus text, as the load was lag ago.
func (se *Server) metrics() http.Handler {
	re := prometheus.NewRegistry()
	gauge := func(name, help string, value func(loadNote) float64) {
		re.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 {
			return value(se.load.before(se.Scaled(se.lag)))
		}))
	}
	gauge("engine_requests_running", "Sequences in the batch.", func(ln loadNote) float64 { return float64(ln.running) })
	gauge("engine_requests_waiting", "Sequences in the queue.", func(ln loadNote) float64 { return float64(ln.waiting) })
	gauge("engine_cache_usage_ratio", "Share of the prefix cache in use.", func(ln loadNote) float64 { return ln.cache })
	gauge("engine_capacity", "Sequences that the batch holds.", func(loadNote) float64 { return float64(se.capacity) })
	return promhttp.HandlerFor(re, promhttp.HandlerOpts{})
}
