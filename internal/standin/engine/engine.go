// Package engine simulates a model engine: simplified continuous batching, a
// prefix cache, priorities, streams that can be resumed and cancelled, delayed
// reports, and commands with a fencing token.
package engine

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/standin/host"
	"github.com/citronstream/citronstream/internal/standin/record"
)

// loadTime is how long a load command takes.
const loadTime = 200 * time.Millisecond

// settings are the values that options set.
type settings struct {
	capacity    int
	prefill     time.Duration // per uncached prompt token
	step        time.Duration // per step of the batch
	stepEach    time.Duration // added per sequence of the batch
	cacheBlocks int
	models      []string
	fencing     bool
	lag         time.Duration
	gapEvery    uint64
	scale       float64
	seed        uint64
}

// Server is a simulated engine. Host adds start, kill, restart and fault switches.
type Server struct {
	*host.Host
	settings
	clk         citronstream.Clock
	name        string
	log         *record.Log
	prefixCache *cache
	load        *loadHistory

	wake chan struct{} // capacity 1; signals that a sequence was queued

	promptTokens, cachedTokens atomic.Uint64

	mu           sync.Mutex
	waiting      []*sequence // by priority, then arrival
	running      []*sequence
	loaded       map[string]Loaded
	role         string
	highestToken uint64 // highest fencing token seen
	commands     []Command
}

// Option changes a Server.
type Option func(*Server)

// WithCapacity sets the maximum number of sequences in a batch. The default is 16.
func WithCapacity(n int) Option { return func(se *Server) { se.capacity = n } }

// WithTimes sets the prefill time of an uncached prompt token, the time of a
// step (one output token for each sequence) and what each sequence of the
// batch adds to it. The defaults are 0.1 ms, 10 ms and 0.5 ms.
func WithTimes(prefill, step, stepEach time.Duration) Option {
	return func(se *Server) { se.prefill, se.step, se.stepEach = prefill, step, stepEach }
}

// WithCacheBlocks sets the size of the prefix cache in blocks. The default is 4,096.
func WithCacheBlocks(n int) Option { return func(se *Server) { se.cacheBlocks = n } }

// WithModels sets the models that are loaded at each start. Without any, the
// engine serves every model until one is loaded.
func WithModels(names ...string) Option { return func(se *Server) { se.models = names } }

// WithFencing makes the engine refuse a command whose fencing token is lower
// than one it has seen. Without this option tokens are ignored.
func WithFencing() Option { return func(se *Server) { se.fencing = true } }

// WithLag delays cache events and load metrics. The default is 500 ms.
func WithLag(d time.Duration) Option { return func(se *Server) { se.lag = d } }

// WithGaps drops each n-th cache event.
func WithGaps(every uint64) Option { return func(se *Server) { se.gapEvery = every } }

// WithScale divides all times; 0 means no delay at all. The default is 1.
func WithScale(scale float64) Option { return func(se *Server) { se.scale = scale } }

// WithSeed seeds the random choice of calls that fail.
func WithSeed(seed uint64) Option { return func(se *Server) { se.seed = seed } }

// New returns an engine with the name of its upstream. Executions are recorded in log.
func New(clk citronstream.Clock, name string, log *record.Log, opts ...Option) *Server {
	se := &Server{clk: clk, name: name, log: log, wake: make(chan struct{}, 1), settings: settings{
		capacity: 16, prefill: 100 * time.Microsecond, step: 10 * time.Millisecond, stepEach: 500 * time.Microsecond,
		cacheBlocks: 4096, lag: 500 * time.Millisecond, scale: 1, seed: 1,
	}}
	for _, opt := range opts {
		opt(se)
	}
	se.prefixCache = newCache(clk, se.cacheBlocks)
	se.prefixCache.gapEvery = se.gapEvery
	se.load = newLoadHistory(clk)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", se.complete)
	mux.HandleFunc("GET /v1/models", se.listModels)
	mux.HandleFunc("POST /v1/load_model", se.command)
	mux.HandleFunc("POST /v1/unload_model", se.command)
	mux.HandleFunc("POST /v1/role", se.command)
	mux.HandleFunc("GET /v1/cache_events", se.cacheEvents)
	mux.Handle("GET /metrics", se.metrics())
	se.Host = host.New(clk, se.scale, se.seed, mux)
	se.OnStart(se.startRun)
	return se
}

// startRun resets the engine to its configured models and starts the batch loop,
// which runs until run ends. The channel is closed when the loop has ended.
func (se *Server) startRun(run context.Context) <-chan struct{} {
	se.mu.Lock()
	se.waiting, se.running, se.role, se.highestToken = nil, nil, "", 0
	se.loaded = map[string]Loaded{}
	for _, model := range se.models {
		se.loaded[model] = Loaded{}
	}
	se.mu.Unlock()
	se.prefixCache.clear()
	se.load.clear()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		se.batch(run)
	}()
	return ended
}

func (se *Server) cacheEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64) // absent or malformed reads all
	reply(w, http.StatusOK, map[string][]CacheEvent{"events": se.prefixCache.since(since, se.Scaled(se.lag))})
}

// serves reports whether the engine serves a model.
func (se *Server) serves(model string) bool {
	se.mu.Lock()
	defer se.mu.Unlock()
	if len(se.models) == 0 && len(se.loaded) == 0 {
		return true
	}
	_, ok := se.loaded[model]
	return ok
}

// Unload drops all models, as if the engine had lost its memory.
func (se *Server) Unload() {
	se.mu.Lock()
	defer se.mu.Unlock()
	clear(se.loaded)
}

// Models returns the names of the loaded models, sorted.
func (se *Server) Models() []string {
	se.mu.Lock()
	defer se.mu.Unlock()
	names := make([]string, 0, len(se.loaded))
	for name := range se.loaded {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
