// Package wakeup notices that the process did not run for a while, and holds work back
// until what it knew before has been read again. Load pattern: a process that was paused,
// short of processor or on a suspended instance finds requests waiting in its sockets,
// and has not heard which keys, routes and upstreams were taken away meanwhile.
package wakeup

import (
	"context"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/go-logr/logr"
)

const (
	// interval is how often Run notes that the process runs.
	interval = 100 * time.Millisecond
	// maxGap is the longest time without running after which nothing is read again. It
	// leaves half of the shortest time in which a configuration has to be in force to the
	// reads of the store.
	maxGap = time.Second
	// maxWait bounds the read, which takes some ms. Without the store the process goes
	// on with what it knows.
	maxWait = 500 * time.Millisecond
)

// Gate holds work back after a pause. Its methods are called concurrently.
type Gate struct {
	clk       citronstream.Clock
	log       logr.Logger
	suspended func() time.Duration
	read      func(ctx context.Context) error
	wake      chan struct{} // tells Run that a read is due

	mu      sync.Mutex
	ranAt   time.Time     // when the process is last known to have run
	slept   time.Duration // the suspended time then
	reading chan struct{} // closed at the end of the read that is due, nil if none is
	gap     time.Duration // for which the process did not run before that read
}

// New returns a Gate. Suspended returns for how long the instance has been suspended,
// which the clock does not count. Read brings all that the process knows up to date.
func New(clk citronstream.Clock, log logr.Logger, suspended func() time.Duration, read func(ctx context.Context) error) *Gate {
	return &Gate{clk: clk, log: log, suspended: suspended, read: read, wake: make(chan struct{}, 1), ranAt: clk.Now(), slept: suspended()}
}

// Run notes that the process runs, and reads after each pause, until ctx ends.
func (ga *Gate) Run(ctx context.Context) {
	ticker := ga.clk.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ga.wake:
		case <-ticker.Chan():
		}
		if ga.due() != nil {
			ga.readAgain(ctx)
		}
	}
}

// Held reports whether what the process knows may be out of date.
func (ga *Gate) Held() bool { return ga.due() != nil }

// Pass waits while what the process knows may be out of date, until ctx ends.
func (ga *Gate) Pass(ctx context.Context) {
	reading := ga.due()
	if reading == nil {
		return
	}
	select {
	case <-reading:
	case <-ctx.Done():
	}
}

// due notes that the process runs, and returns the channel that is closed at the end of
// the read that is due, nil if none is.
func (ga *Gate) due() chan struct{} {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	gap := ga.note()
	if gap > maxGap && ga.reading == nil {
		ga.reading, ga.gap = make(chan struct{}), gap
		select {
		case ga.wake <- struct{}{}:
		default:
		}
	}
	return ga.reading
}

// note returns the time since the process is last known to have run. The caller holds
// the lock.
func (ga *Gate) note() time.Duration {
	now, slept := ga.clk.Now(), ga.suspended()
	gap := now.Sub(ga.ranAt) + slept - ga.slept
	ga.ranAt, ga.slept = now, slept
	return gap
}

func (ga *Gate) readAgain(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer ga.clk.AfterFunc(maxWait, cancel).Stop()
	began := ga.clk.Now()
	err := ga.read(ctx)
	ga.mu.Lock()
	close(ga.reading)
	ga.reading = nil
	ga.note()
	gap := ga.gap
	ga.mu.Unlock()
	if err != nil {
		ga.log.Info("paused, going on with what was known", "gap", gap.String(), "reason", err.Error())
		return
	}
	ga.log.Info("paused, rows read again", "gap", gap.String(), "took", ga.clk.Since(began).String())
}
