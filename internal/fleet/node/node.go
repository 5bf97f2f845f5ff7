// Package node holds an upstream of the platform's list with the outcomes of
// this process's requests to it.
package node

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
)

const (
	// firstAvoid and lastAvoid bound how long an upstream is avoided after a
	// connection to it broke or could not be opened. A crashed one is removed from
	// the list after three heartbeats, which takes some seconds.
	firstAvoid = 250 * time.Millisecond
	lastAvoid  = 2 * time.Second
	// alpha is the weight of a new outcome in the moving averages, which cover
	// about the last ten.
	alpha = 0.1
)

// Node is one upstream. Its methods are called concurrently.
type Node struct {
	citronstream.Member

	running atomic.Int64
	mu      sync.Mutex
	breaks  int // consecutive failures of connections
	until   time.Time
	failed  float64 // moving average, 0 to 1
	slow    float64 // moving average of measured to expected time, 0 before the first measurement
}

// New returns a node without recorded outcomes.
func New(me citronstream.Member) *Node { return &Node{Member: me} }

// Same reports whether the node and the row describe the same process.
func (no *Node) Same(me citronstream.Member) bool {
	return no.ID == me.ID && no.Born == me.Born && no.Address == me.Address && no.Service == me.Service
}

// Begin counts a request of this process as running until End.
func (no *Node) Begin() { no.running.Add(1) }

// End ends a request counted by Begin.
func (no *Node) End() { no.running.Add(-1) }

// Running returns the number of this process's requests in flight.
func (no *Node) Running() int { return int(no.running.Load()) }

// Broke records that a connection broke or could not be opened. The node is
// avoided for a time that doubles with each consecutive failure.
func (no *Node) Broke(now time.Time) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.failed += alpha * (1 - no.failed)
	if now.Before(no.until) {
		return // concurrent requests see the same failure
	}
	no.until = now.Add(min(firstAvoid<<min(no.breaks, 8), lastAvoid))
	no.breaks++
}

// Dead records that the process has died or that another one has its address.
// The node is avoided for rowLife, in which the row of a dead process is replaced
// or removed. If neither happens, the process runs and was only unreachable.
func (no *Node) Dead(now time.Time, rowLife time.Duration) {
	no.mu.Lock()
	defer no.mu.Unlock()
	if until := now.Add(rowLife); until.After(no.until) {
		no.until = until
	}
}

// Failed records an answer that reports an error.
func (no *Node) Failed() {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.breaks = 0
	no.failed += alpha * (1 - no.failed)
}

// Done records a successful answer. Ratio is the measured to the expected time.
func (no *Node) Done(ratio float64) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.breaks, no.until = 0, time.Time{}
	no.failed -= alpha * no.failed
	if no.slow == 0 {
		no.slow = ratio
	} else {
		no.slow += 3 * alpha * (ratio - no.slow)
	}
}

// Avoided reports whether the node should get no requests at present.
func (no *Node) Avoided(now time.Time) bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	return now.Before(no.until)
}

// Failures returns the moving average of the share of failed requests.
func (no *Node) Failures() float64 {
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.failed
}

// Slowness returns the moving average of the ratio of measured to expected time,
// 1 before the first measurement.
func (no *Node) Slowness() float64 {
	no.mu.Lock()
	defer no.mu.Unlock()
	if no.slow == 0 {
		return 1
	}
	return no.slow
}
