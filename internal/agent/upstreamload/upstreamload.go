// Package upstreamload merges the load that an upstream reports itself into the load
// report of its agent, so that it includes calls from other clients.
package upstreamload

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
	// readInterval is the minimum interval between reads.
	readInterval = time.Second
	readTimeout  = time.Second
	// validFor is how long a reading is used: for a few missed reads.
	validFor = 3 * time.Second
)

// Read reads the upstream's load report.
type Read func(ctx context.Context, address string) (report.Load, error)

// Counts is a snapshot of the counters.
type Counts struct {
	Reads, Failed uint64
}

// Poller polls one upstream's load report while calls are running.
type Poller struct {
	clk     citronstream.Clock
	address string
	read    Read
	busy    func() bool
	cost    float64
	latest  atomic.Pointer[reading]

	reads, failed atomic.Uint64
}

type reading struct {
	report.Load
	at time.Time
}

// New returns a Poller. Cost is the mean cost of a call at the upstream, in
// cost units; busy reports whether calls are running.
func New(clk citronstream.Clock, address string, read Read, cost float64, busy func() bool) *Poller {
	return &Poller{clk: clk, address: address, read: read, cost: cost, busy: busy}
}

// Counts returns the counters.
func (po *Poller) Counts() Counts { return Counts{Reads: po.reads.Load(), Failed: po.failed.Load()} }

// Run polls until ctx ends, at most once a second and only while calls are
// running. The channel is closed when it returns.
func (po *Poller) Run(ctx context.Context) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			timer := po.clk.NewTimer(readInterval + rand.N(readInterval/4))
			select {
			case <-ctx.Done():
				timer.Stop()
				return
			case <-timer.Chan():
			}
			if po.busy() {
				po.step(ctx)
			}
		}
	}()
	return ended
}

func (po *Poller) step(ctx context.Context) {
	ctx, cancel := grant.WithTimeout(ctx, po.clk, readTimeout)
	defer cancel()
	po.reads.Add(1)
	lo, err := po.read(ctx, po.address)
	if err != nil {
		po.failed.Add(1)
		return
	}
	po.latest.Store(&reading{lo, po.clk.Now()})
}

// Merge raises the values of the agent's report to those of the upstream. It takes
// the maximum: the upstream's values include the agent's running calls but are
// delayed, the agent's are exact but lack the calls of other clients. A sum would
// count the agent's own calls twice.
func (po *Poller) Merge(lo *citronstream.Load) {
	fo := po.latest.Load()
	if fo == nil || po.clk.Now().Sub(fo.at) > validFor {
		return
	}
	lo.Running = max(lo.Running, fo.Running)
	lo.Waiting = max(lo.Waiting, fo.Waiting)
	lo.Cost = max(lo.Cost, float64(fo.Running+fo.Waiting)*po.cost)
}
