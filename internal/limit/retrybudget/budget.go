// Package retrybudget limits extra attempts (retries and hedges) per request
// and, as a ratio of all requests, per process (docs/design.md section 7).
package retrybudget

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
)

// defaultMinExtras is the number of extra attempts that each window allows at
// any request rate, so that a process with few requests can retry. It is not
// added to the ratio: that would exceed 10% by 3 extra attempts every 10 s.
const defaultMinExtras = 3

const (
	windowLength = 10 * time.Second
	// backoffBase and backoffMax bound the first and the longest delay of Backoff.
	backoffBase = 20 * time.Millisecond
	backoffMax  = time.Second
)

// Budget limits the extra attempts of a process. Request and Extra use only atomics.
type Budget struct {
	clk        citronstream.Clock
	window     window
	minExtras  float64
	ratio      atomic.Uint64 // math.Float64bits
	perRequest atomic.Int64
	spent      atomic.Uint64
	refused    atomic.Uint64

	mu     sync.Mutex
	random *rand.Rand // guarded by mu
}

// Option changes a Budget.
type Option func(*Budget)

// WithMinExtras sets the extra attempts that each window allows at any request rate. Default 3.
func WithMinExtras(extras int) Option { return func(bu *Budget) { bu.minExtras = float64(extras) } }

// WithSource sets the random source of the jitter, for reproducible runs.
func WithSource(source rand.Source) Option {
	return func(bu *Budget) { bu.random = rand.New(source) }
}

// New returns a budget with RetryRatio and RetriesPerRequest of the limits.
func New(clk citronstream.Clock, li citronstream.Limits, opts ...Option) *Budget {
	bu := &Budget{
		clk: clk, minExtras: defaultMinExtras,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, opt := range opts {
		opt(bu)
	}
	bu.Configure(li)
	return bu
}

// Configure sets the ratio and the budget of new requests.
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

// Left returns the extra attempts that remain for the request.
func (re *Request) Left() int { return int(max(re.left.Load(), 0)) }

// TakeExtra takes an extra attempt, a retry or a hedge, from the budget. It returns
// false if the budget of the request or of the process is spent.
func (re *Request) TakeExtra() bool {
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

// take reserves an extra attempt and releases it if that exceeds the cap.
// Concurrent callers can refuse each other, but never exceed the cap together.
func (bu *Budget) take() bool {
	now := bu.clk.Now()
	slot := bu.window.add(now, oneExtra)
	requests, extras := bu.window.sum(now)
	if float64(extras) <= max(math.Float64frombits(bu.ratio.Load())*float64(requests), bu.minExtras) {
		return true
	}
	bu.window.release(slot)
	return false
}

// Window returns the requests and extra attempts in the sliding window.
func (bu *Budget) Window() (requests, extras int) { return bu.window.sum(bu.clk.Now()) }

// Counts returns the extra attempts granted and refused since the start.
func (bu *Budget) Counts() (spent, refused uint64) { return bu.spent.Load(), bu.refused.Load() }

// Backoff returns the delay before an extra attempt, counted from 1. It is
// uniform ("full jitter") below backoffBase x 2^(attempt-1), at most backoffMax.
func (bu *Budget) Backoff(attempt int) time.Duration {
	ceiling := backoffBase
	for i := 1; i < attempt && ceiling < backoffMax; i++ {
		ceiling *= 2
	}
	ceiling = min(ceiling, backoffMax)
	bu.mu.Lock()
	defer bu.mu.Unlock()
	return time.Duration(bu.random.Int64N(int64(ceiling)))
}
