// Package ownload adds to an agent's load report what its upstream says of its
// own load, so that the work of others at the upstream is seen.
package ownload

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/once/grant"
	"github.com/citronstream/citronstream/internal/upstream/report"
)

const (
	// every is the least interval of reads.
	every    = time.Second
	readWait = time.Second
	// validFor is how long a read figure counts: a few missed reads.
	validFor = 3 * time.Second
)

// Read reads the upstream's own report.
type Read func(ctx context.Context, address string) (report.Load, error)

// Counts is a snapshot of the counters.
type Counts struct {
	Reads, Failed uint64
}

// Watch reads one upstream's report while calls run.
type Watch struct {
	clk     citronstream.Clock
	address string
	read    Read
	busy    func() bool
	cost    float64
	found   atomic.Pointer[found]

	reads, failed atomic.Uint64
}

type found struct {
	report.Load
	at time.Time
}

// New returns a Watch. Cost is the mean cost of a call at the upstream, in
// cost units; busy says whether calls run.
func New(clk citronstream.Clock, address string, read Read, cost float64, busy func() bool) *Watch {
	return &Watch{clk: clk, address: address, read: read, cost: cost, busy: busy}
}

// Counts returns the counters.
func (wa *Watch) Counts() Counts { return Counts{Reads: wa.reads.Load(), Failed: wa.failed.Load()} }

// Run reads until ctx ends, at most once a second and only while calls run.
// The channel is closed at its end.
func (wa *Watch) Run(ctx context.Context) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			timer := wa.clk.NewTimer(every + rand.N(every/4))
			select {
			case <-ctx.Done():
				timer.Stop()
				return
			case <-timer.Chan():
			}
			if wa.busy() {
				wa.step(ctx)
			}
		}
	}()
	return ended
}

func (wa *Watch) step(ctx context.Context) {
	ctx, cancel := grant.WithTimeout(ctx, wa.clk, readWait)
	defer cancel()
	wa.reads.Add(1)
	lo, err := wa.read(ctx, wa.address)
	if err != nil {
		wa.failed.Add(1)
		return
	}
	wa.found.Store(&found{lo, wa.clk.Now()})
}

// Fold raises the figures of the agent's report to those of the upstream. The
// greater of both counts: the upstream's includes the agent's running calls but is
// late, the agent's is exact but lacks the calls of others. The sum would count
// the agent's own calls twice.
func (wa *Watch) Fold(lo *citronstream.Load) {
	fo := wa.found.Load()
	if fo == nil || wa.clk.Now().Sub(fo.at) > validFor {
		return
	}
	lo.Running = max(lo.Running, fo.Running)
	lo.Waiting = max(lo.Waiting, fo.Waiting)
	lo.Cost = max(lo.Cost, float64(fo.Running+fo.Waiting)*wa.cost)
}
