// Package node holds an upstream of the platform's list with the outcomes of
// this process's requests to it.
package node

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/upstream/selfreport"
)

const (
	// minAvoid and maxAvoid bound how long an upstream is avoided after a
	// connection to it broke or could not be opened. A crashed one is removed from
	// the list after three heartbeats, which takes some seconds.
	minAvoid = 250 * time.Millisecond
	maxAvoid = 2 * time.Second
	// alpha is the weight of a new outcome in the moving averages, which cover
	// about the last ten.
	alpha = 0.1
)

// Node is one upstream. Its methods are called concurrently.
type Node struct {
	citronstream.Member
	// Self is what the process says of itself; it may be nil. It is set before the node is
	// shared.
	Self *selfreport.State

	running      atomic.Int64
	mu           sync.Mutex
	connFailures int // consecutive failures of connections
	avoidUntil   time.Time
	failureRate  float64 // moving average, 0 to 1
	slowness     float64 // moving average of measured to expected time, 0 before the first measurement
}

// New returns a node without recorded outcomes.
func New(mb citronstream.Member) *Node { return &Node{Member: mb} }

// Same reports whether the node and the row describe the same process.
func (nd *Node) Same(mb citronstream.Member) bool {
	return nd.ID == mb.ID && nd.StartedMs == mb.StartedMs && nd.Address == mb.Address && nd.Service == mb.Service
}

// Begin counts a request of this process as running until End.
func (nd *Node) Begin() { nd.running.Add(1) }

// End ends a request counted by Begin.
func (nd *Node) End() { nd.running.Add(-1) }

// Running returns the number of this process's requests in flight.
func (nd *Node) Running() int { return int(nd.running.Load()) }

// ConnectionBroke records that a connection broke or could not be opened. The
// node is avoided for a time that doubles with each consecutive failure.
func (nd *Node) ConnectionBroke(now time.Time) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	nd.failureRate += alpha * (1 - nd.failureRate)
	if now.Before(nd.avoidUntil) {
		return // concurrent requests see the same failure
	}
	nd.avoidUntil = now.Add(min(minAvoid<<min(nd.connFailures, 8), maxAvoid))
	nd.connFailures++
}

// MarkDead records that the process has died or that another one has its address.
// The node is avoided for rowLife, in which the row of a dead process is replaced
// or removed. If neither happens, the process runs and was only unreachable.
func (nd *Node) MarkDead(now time.Time, rowLife time.Duration) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	if until := now.Add(rowLife); until.After(nd.avoidUntil) {
		nd.avoidUntil = until
	}
}

// RequestFailed records an answer that reports an error.
func (nd *Node) RequestFailed() {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	nd.connFailures = 0
	nd.failureRate += alpha * (1 - nd.failureRate)
}

// RequestDone records a successful answer. Ratio is the measured to the expected time.
func (nd *Node) RequestDone(ratio float64) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	nd.connFailures, nd.avoidUntil = 0, time.Time{}
	nd.failureRate -= alpha * nd.failureRate
	if nd.slowness == 0 {
		nd.slowness = ratio
	} else {
		nd.slowness += 3 * alpha * (ratio - nd.slowness)
	}
}

// Avoided reports whether the node should get no requests at present. After a pause that the
// upstream has asked for, a growing share of requests is not kept from it.
func (nd *Node) Avoided(now time.Time) bool {
	if share := nd.Self.Share(now); share < 1 && rand.Float64() >= share {
		return true
	}
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return now.Before(nd.avoidUntil)
}

// FailureRate returns the moving average of the share of failed requests.
func (nd *Node) FailureRate() float64 {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return nd.failureRate
}

// Slowness returns the moving average of the ratio of measured to expected time,
// 1 before the first measurement.
func (nd *Node) Slowness() float64 {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	if nd.slowness == 0 {
		return 1
	}
	return nd.slowness
}
