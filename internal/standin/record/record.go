// Package record records what the simulated upstreams executed, so that a
// test can compare verdicts with the actual executions.
package record

import (
	"sync"
	"time"

	"github.com/citronstream/citronstream"
)

// Outcomes of an execution.
const (
	Running  = "running"
	Done     = "done"
	Failed   = "failed"   // answered with an injected error
	Canceled = "canceled" // the caller closed its connection
	Killed   = "killed"   // the server was killed while it ran
	Poisoned = "poisoned" // the input killed the server
)

// defaultCap bounds the recorded executions, at about 300 bytes each.
const defaultCap = 1 << 18

// Execution is one run of a call at an upstream.
type Execution struct {
	ID        uint64 // counts from 1 in start order
	Upstream  string
	RequestID string // header X-Request-Id
	AttemptID string // header X-Attempt-Id
	Key       string // header Idempotency-Key
	Path      string
	Input     uint64 // digest of the body
	Output    uint64 // digest of the response; 0 without one
	StartedAt time.Time
	EndedAt   time.Time
	Outcome   string
}

// Log keeps executions in start order. When it is full it drops the oldest.
type Log struct {
	clk citronstream.Clock
	max int

	mu        sync.Mutex
	first     uint64 // ID of all[0]
	all       []Execution
	byKey     map[string][]uint64
	byRequest map[string][]uint64
}

// Option changes a Log.
type Option func(*Log)

// WithCap bounds the recorded executions.
func WithCap(n int) Option { return func(lo *Log) { lo.max = n } }

// New returns an empty Log.
func New(clk citronstream.Clock, opts ...Option) *Log {
	lo := &Log{clk: clk, max: defaultCap, first: 1, byKey: map[string][]uint64{}, byRequest: map[string][]uint64{}}
	for _, opt := range opts {
		opt(lo)
	}
	return lo
}

// Begin records the start of an execution and returns its ID. It sets ID,
// StartedAt and Outcome.
func (lo *Log) Begin(ex Execution) uint64 {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	if len(lo.all) >= lo.max {
		lo.dropOldest()
	}
	ex.ID, ex.StartedAt, ex.Outcome = lo.first+uint64(len(lo.all)), lo.clk.Now(), Running
	lo.all = append(lo.all, ex)
	if ex.Key != "" {
		lo.byKey[ex.Key] = append(lo.byKey[ex.Key], ex.ID)
	}
	if ex.RequestID != "" {
		lo.byRequest[ex.RequestID] = append(lo.byRequest[ex.RequestID], ex.ID)
	}
	return ex.ID
}

// End records the end of an execution. A second End of the same execution has no effect.
func (lo *Log) End(id, output uint64, outcome string) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	if id < lo.first || id >= lo.first+uint64(len(lo.all)) {
		return
	}
	ex := &lo.all[id-lo.first]
	if ex.Outcome != Running {
		return
	}
	ex.EndedAt, ex.Output, ex.Outcome = lo.clk.Now(), output, outcome
}

// ByKey returns the executions under an idempotency key, in order.
func (lo *Log) ByKey(key string) []Execution { return lo.find(lo.byKey, key) }

// ByRequest returns the executions of a request, in order.
func (lo *Log) ByRequest(id string) []Execution { return lo.find(lo.byRequest, id) }

// All returns all executions in the log, in order.
func (lo *Log) All() []Execution {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	return append([]Execution(nil), lo.all...)
}

// Len returns the number of executions in the log.
func (lo *Log) Len() int {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	return len(lo.all)
}

// Dropped returns the number of executions evicted at the cap.
func (lo *Log) Dropped() uint64 {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	return lo.first - 1
}

func (lo *Log) find(index map[string][]uint64, name string) []Execution {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	found := make([]Execution, 0, len(index[name]))
	for _, id := range index[name] {
		found = append(found, lo.all[id-lo.first])
	}
	return found
}

func (lo *Log) dropOldest() {
	old := lo.all[0]
	lo.all = lo.all[1:]
	lo.first++
	trim(lo.byKey, old.Key)
	trim(lo.byRequest, old.RequestID)
}

// trim removes the oldest ID under name, which is that of the dropped execution.
func trim(index map[string][]uint64, name string) {
	if name == "" {
		return
	}
	if index[name] = index[name][1:]; len(index[name]) == 0 {
		delete(index, name)
	}
}
