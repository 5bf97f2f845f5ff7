// Package service simulates a plain service such as an order desk. It runs and
// records each call as received and does not deduplicate: a call that arrives
// twice is two executions.
package service

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/standin/host"
	"github.com/citronstream/citronstream/internal/standin/record"
	"golang.org/x/sync/semaphore"
)

// Server is a simulated service. Host adds start, kill, restart and fault switches.
type Server struct {
	*host.Host
	name       string
	log        *record.Log
	capacity   int
	baseTime   time.Duration
	perKB      time.Duration
	loadReport bool
	scale      float64
	seed       uint64

	slots   *semaphore.Weighted
	waiting atomic.Int64
	running atomic.Int64
}

// Option changes a Server.
type Option func(*Server)

// WithCapacity sets the number of concurrent calls. The default is 8.
func WithCapacity(n int) Option { return func(se *Server) { se.capacity = n } }

// WithTime sets the service time of a call: took plus perKB for each 1,024
// bytes of input. The default is 5 ms and 1 ms.
func WithTime(took, perKB time.Duration) Option {
	return func(se *Server) { se.baseTime, se.perKB = took, perKB }
}

// WithLoadReport serves the load on GET /load.
func WithLoadReport() Option { return func(se *Server) { se.loadReport = true } }

// WithScale divides all times; 0 means no delay at all. The default is 1.
func WithScale(scale float64) Option { return func(se *Server) { se.scale = scale } }

// WithSeed seeds the random choice of calls that fail.
func WithSeed(seed uint64) Option { return func(se *Server) { se.seed = seed } }

// New returns a server with the name of its upstream. Executions are recorded in log.
func New(clk citronstream.Clock, name string, log *record.Log, opts ...Option) *Server {
	se := &Server{name: name, log: log, capacity: 8, baseTime: 5 * time.Millisecond, perKB: time.Millisecond, scale: 1, seed: 1}
	for _, opt := range opts {
		opt(se)
	}
	se.slots = semaphore.NewWeighted(int64(se.capacity))
	mux := http.NewServeMux()
	if se.loadReport {
		mux.HandleFunc("GET /load", se.load)
	}
	mux.HandleFunc("/", se.call)
	se.Host = host.New(clk, se.scale, se.seed, mux)
	return se
}

// Answer is the body of a response.
type Answer struct {
	Upstream  string `json:"Upstream"`
	Path      string `json:"Path"`
	Execution uint64 `json:"Execution"` // record.Execution.ID
	Key       string `json:"Key,omitempty"`
	Input     string `json:"Input"` // digest of the request body in hex
}

// InputDigest returns the digest of a body in the form of Answer.Input.
func InputDigest(body []byte) string { return fmt.Sprintf("%016x", citronstream.Digest(body)) }

// Load is the body of GET /load.
type Load struct {
	Running  int64 `json:"Running"`
	Waiting  int64 `json:"Waiting"`
	Capacity int   `json:"Capacity"`
}

func (se *Server) load(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, Load{Running: se.running.Load(), Waiting: se.waiting.Load(), Capacity: se.capacity})
}

func (se *Server) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request was cut off
	}
	ctx := r.Context()
	se.waiting.Add(1)
	err = se.slots.Acquire(ctx, 1)
	se.waiting.Add(-1)
	if err != nil {
		return
	}
	defer se.slots.Release(1)
	se.running.Add(1)
	defer se.running.Add(-1)
	id := se.log.Begin(host.Execution(r, se.name, body))
	switch {
	case host.Poison(body):
		se.log.End(id, 0, record.Poisoned)
		se.Kill()
		return
	case se.Failing():
		se.log.End(id, 0, record.Failed)
		reply(w, http.StatusInternalServerError, map[string]string{"error": "injected failure"})
		return
	}
	size := time.Duration(len(body)) * se.perKB / 1024
	if err := se.Sleep(ctx, se.baseTime+size); err != nil {
		se.log.End(id, 0, host.Outcome(ctx))
		return
	}
	answer, _ := json.Marshal(Answer{Upstream: se.name, Path: r.URL.Path, Execution: id, Key: r.Header.Get("Idempotency-Key"), Input: InputDigest(body)})
	se.log.End(id, citronstream.Digest(answer), record.Done)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answer)
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
