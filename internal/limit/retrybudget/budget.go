// Package retrybudget limits extra attempts, as docs/design.md section 7
// states: a few for each request, and a share of all requests for the process.
package retrybudget

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
)

// defaultConstant is the number of extra attempts in a window that are
// allowed whatever the rate, so that a process with few requests can retry.
// It does not add to the ratio: added in each window, it would let a long run
// pass 10% by 3 extra attempts every 10 s.
const defaultConstant = 3

const (
	windowLength = 10 * time.Second
	// backoffBase and backoffMost are the ceilings of the first and of the longest delay of Backoff.
	backoffBase = 20 * time.Millisecond
	backoffMost = time.Second
)

// Budget is the ratio cap of a process. Request and Extra use atomics only.
type Budget struct {
	clk        citronstream.Clock
	window     window
	constant   float64
	ratio      atomic.Uint64 // math.Float64bits
	perRequest atomic.Int64
	spent      atomic.Uint64
	refused    atomic.Uint64

	mu     sync.Mutex
	random *rand.Rand // guarded by mu
}

// Option changes a Budget.
type Option func(*Budget)

// WithConstant sets the extra attempts that a window allows at any rate. Default 3.
func WithConstant(extras int) Option { return func(bu *Budget) { bu.constant = float64(extras) } }

// WithSource sets the source of the jitter, for reproducible runs.
func WithSource(source rand.Source) Option {
	return func(bu *Budget) { bu.random = rand.New(source) }
}

// New returns a budget with RetryRatio and RetriesPerRequest of the limits.
func New(clk citronstream.Clock, li citronstream.Limits, opts ...Option) *Budget {
	bu := &Budget{
		clk: clk, constant: defaultConstant,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, opt := range opts {
		opt(bu)
	}
	bu.Configure(li)
	return bu
}

// Configure replaces the ratio and the budget of new requests.
func (bu *Budget) Configure(li citronstream.Limits) {
	bu.ratio.Store(math.Float64bits(min(max(li.RetryRatio, 0), 1)))
	bu.perRequest.Store(int64(max(li.RetriesPerRequest, 0)))
}

// Request is the budget of one request over all its stages.
type Request struct {
	bu   *Budget
	left atomic.Int64
}

// Request counts a request and returns its budget.
func (bu *Budget) Request() *Request {
	bu.window.add(bu.clk.Now(), oneRequest)
	re := &Request{bu: bu}
	re.left.Store(bu.perRequest.Load())
	return re
}

// Left returns the extra attempts that the request may still ask for.
func (re *Request) Left() int { return int(max(re.left.Load(), 0)) }

// Extra asks for an extra attempt, which is a retry or a hedge. False means
// that the request or the process has spent its budget.
func (re *Request) Extra() bool {
	if re.left.Add(-1) < 0 {
		re.left.Add(1)
		re.bu.refused.Add(1)
		return false
	}
	if !re.bu.take() {
		re.left.Add(1)
		re.bu.refused.Add(1)
		return false
	}
	re.bu.spent.Add(1)
	return true
}

// take reserves an extra attempt and gives it back if that passes the cap.
// Callers that race can refuse each other, but never pass the cap together.
func (bu *Budget) take() bool {
	now := bu.clk.Now()
	slot := bu.window.add(now, oneExtra)
	requests, extras := bu.window.sum(now)
	if float64(extras) <= max(math.Float64frombits(bu.ratio.Load())*float64(requests), bu.constant) {
		return true
	}
	bu.window.giveBack(slot)
	return false
}

// Window returns the requests and extra attempts of the sliding window.
func (bu *Budget) Window() (requests, extras int) { return bu.window.sum(bu.clk.Now()) }

// Counts returns the extra attempts that were granted and refused since the start.
func (bu *Budget) Counts() (spent, refused uint64) { return bu.spent.Load(), bu.refused.Load() }

// Backoff returns the delay before an extra attempt, counted from 1: a
// uniform share ("full jitter") of base x 2^(attempt-1), at most the longest delay.
func (bu *Budget) Backoff(attempt int) time.Duration {
	ceiling := backoffBase
	for i := 1; i < attempt && ceiling < backoffMost; i++ {
		ceiling *= 2
	}
	ceiling = min(ceiling, backoffMost)
	bu.mu.Lock()
	defer bu.mu.Unlock()
	return time.Duration(bu.random.Int64N(int64(ceiling)))
}
