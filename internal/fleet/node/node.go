// Package node holds an upstream of the platform's list with the outcomes of
// this process's requests to it.
package node

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/upstream/capacity"
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
	clk  citronstream.Clock // nil if nothing that ages counts

	running      atomic.Int64
	mu           sync.Mutex
	connFailures int // consecutive failures of connections
	avoidUntil   time.Time
	failureRate  float64 // moving average, 0 to 1
	slowness     float64 // moving average of measured to expected time, 0 before the first measurement
	capacity     capacity.State
}

// Option changes a Node.
type Option func(*Node)

// WithClock sets the clock by which what the upstream says of its load, and what was
// measured of its speed, ages. Without it, neither changes Slowness and Speed.
func WithClock(clk citronstream.Clock) Option { return func(nd *Node) { nd.clk = clk } }

// New returns a node without recorded outcomes.
func New(mb citronstream.Member, opts ...Option) *Node {
	nd := &Node{Member: mb}
	for _, opt := range opts {
		opt(nd)
	}
	return nd
}

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

// FreeAt returns when the node gets requests again: now, or the end of the time for which it
// is avoided or of the pause that it has asked for.
func (nd *Node) FreeAt(now time.Time) time.Time {
	at := now
	if until, paused := nd.Self.Paused(now); paused {
		at = until
	}
	nd.mu.Lock()
	defer nd.mu.Unlock()
	if nd.avoidUntil.After(at) {
		at = nd.avoidUntil
	}
	return at
}

// FailureRate returns the moving average of the share of failed requests.
func (nd *Node) FailureRate() float64 {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return nd.failureRate
}

// Slowness returns the time that work takes now relative to the expected one: the pace
// that the upstream said last, else the moving average of the measured times, times the
// long-term factor where that was measured. It is 1 before the first measurement.
func (nd *Node) Slowness() float64 {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	usual := nd.slowness
	if usual == 0 {
		usual = 1
	}
	if nd.clk == nil {
		return usual
	}
	now := nd.clk.Now()
	if long := nd.capacity.LongTerm(now); long.Source != capacity.FromNothing {
		return long.Factor * nd.capacity.Transient(now).Factor
	}
	pace, weight := nd.capacity.Pace(now)
	return usual + weight*(pace-usual)
}

// Speed returns the long-term speed relative to the usual one of the service's
// upstreams, 1 when unknown.
func (nd *Node) Speed() float64 {
	if nd.clk == nil {
		return 1
	}
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return 1 / nd.capacity.LongTerm(nd.clk.Now()).Factor
}

// ObserveLoad records what the upstream said of its load with any answer; the zero value
// changes nothing.
func (nd *Node) ObserveLoad(sl citronstream.ServerLoad, now time.Time) {
	if sl.Slots == 0 {
		return
	}
	nd.mu.Lock()
	defer nd.mu.Unlock()
	nd.capacity.ObserveLoad(sl, now)
}

// Load returns the load that the upstream said last, and its age; false if that is
// unknown or too old to be of use.
func (nd *Node) Load(now time.Time) (sl citronstream.ServerLoad, age time.Duration, known bool) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return nd.capacity.Load(now)
}

// Pace returns the pace that the upstream said last, and how much it counts, from 1 when
// it was said just now to 0.
func (nd *Node) Pace(now time.Time) (pace, weight float64) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return nd.capacity.Pace(now)
}

// ObserveTime records the time between the events of a whole stream, relative to the
// usual one of the service's upstreams.
func (nd *Node) ObserveTime(ratio float64, now time.Time) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	nd.capacity.ObserveTime(ratio, now)
}

// TakeReport returns what the peers should be told of the measured speed; false if there
// is nothing new.
func (nd *Node) TakeReport() (citronstream.SpeedReport, bool) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return nd.capacity.TakeReport()
}

// ObserveReport records what a peer has measured of the speed.
func (nd *Node) ObserveReport(peer string, sr citronstream.SpeedReport, now time.Time) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	nd.capacity.ObserveReport(peer, sr, now)
}
