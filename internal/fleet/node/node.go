// Package node is an upstream of the platform's list, with what this process
// has seen of it.
package node

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
)

const (
	// firstAvoid and lastAvoid bound how long an upstream is passed over after
	// a connection to it broke or could not be opened. A crashed one leaves the
	// list after three heartbeats, which take some seconds.
	firstAvoid = 250 * time.Millisecond
	lastAvoid  = 2 * time.Second
	// alpha weighs the newest outcome in the moving averages, about the last ten.
	alpha = 0.1
)

// Node is one upstream. Its methods are called concurrently.
type Node struct {
	citronstream.Member

	running atomic.Int64
	mu      sync.Mutex
	breaks  int // in a row
	until   time.Time
	failed  float64 // moving share of failed requests
	slow    float64 // moving ratio of measured to expected time, 0 when nothing was measured
}

// New returns a node without a history.
func New(me citronstream.Member) *Node { return &Node{Member: me} }

// Same reports whether the node is the process that the row describes.
func (no *Node) Same(me citronstream.Member) bool {
	return no.ID == me.ID && no.StartedMs == me.StartedMs && no.Address == me.Address && no.Service == me.Service
}

// Begin and End count a request of this process.
func (no *Node) Begin() { no.running.Add(1) }

// End ends what Begin began.
func (no *Node) End() { no.running.Add(-1) }

// Running returns the requests of this process that are in flight.
func (no *Node) Running() int { return int(no.running.Load()) }

// Broke notes that a connection broke or could not be opened. The node is
// passed over for a time that doubles with each break in a row.
func (no *Node) Broke(now time.Time) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.failed += alpha * (1 - no.failed)
	if now.Before(no.until) {
		return // requests side by side see one break
	}
	no.until = now.Add(min(firstAvoid<<min(no.breaks, 8), lastAvoid))
	no.breaks++
}

// Dead notes that the process has died or another one has its address. It is
// passed over for a time in which its row is replaced or removed; if neither
// happens, it lives and could only not be reached.
func (no *Node) Dead(now time.Time, rowLife time.Duration) {
	no.mu.Lock()
	defer no.mu.Unlock()
	if until := now.Add(rowLife); until.After(no.until) {
		no.until = until
	}
}

// Failed notes an answer that says the work failed.
func (no *Node) Failed() {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.breaks = 0
	no.failed += alpha * (1 - no.failed)
}

// Done notes an answer. Ratio is its time against the expected one.
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

// Avoided reports whether the node is to be passed over.
func (no *Node) Avoided(now time.Time) bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	return now.Before(no.until)
}

// Failures returns the moving share of failed requests.
func (no *Node) Failures() float64 {
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.failed
}

// Slowness returns the moving ratio of measured to expected time, 1 when nothing was measured.
func (no *Node) Slowness() float64 {
	no.mu.Lock()
	defer no.mu.Unlock()
	if no.slow == 0 {
		return 1
	}
	return no.slow
}
