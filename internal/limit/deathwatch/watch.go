// Package deathwatch tells the death of an upstream apart from a broken
// connection, and reports the content digests that ran there.
package deathwatch

import (
	"context"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/citronstream/citronstream/internal/limit/poison"
)

const (
	// collectTime is how long broken connections of one upstream are collected
	// before it is probed: all its connections break together when it dies.
	collectTime = 50 * time.Millisecond
	// maxNodes bounds the upstreams under check, maxDigests the digests of each.
	maxNodes   = 1024
	maxDigests = 1024
)

// Watch collects broken connections by upstream and probes the upstream.
type Watch struct {
	clk    citronstream.Clock
	probe  func(ctx context.Context, address string) error
	report func(poison.Report)
	ctx    context.Context

	mu     sync.Mutex
	broken map[*node.Node][]uint64
	checks sync.WaitGroup
}

// New returns a watch. Probe opens a connection to an address and closes it;
// report receives the death of an upstream. After ctx ends nothing is reported.
func New(ctx context.Context, clk citronstream.Clock, probe func(ctx context.Context, address string) error, report func(poison.Report)) *Watch {
	return &Watch{clk: clk, probe: probe, report: report, ctx: ctx, broken: make(map[*node.Node][]uint64)}
}

// Broke records that the connection of a request broke before its answer.
func (wa *Watch) Broke(nd *node.Node, digest uint64) {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	list, known := wa.broken[nd]
	if len(list) >= maxDigests || !known && len(wa.broken) >= maxNodes {
		return
	}
	wa.broken[nd] = append(list, digest)
	if !known {
		wa.checks.Go(func() { wa.check(nd) })
	}
}

// Wait returns when all checks have ended.
func (wa *Watch) Wait() { wa.checks.Wait() }

func (wa *Watch) check(nd *node.Node) {
	timer := wa.clk.NewTimer(collectTime)
	defer timer.Stop()
	select {
	case <-wa.ctx.Done():
	case <-timer.Chan():
	}
	err := wa.probe(wa.ctx, nd.Address)
	wa.mu.Lock()
	digests := wa.broken[nd]
	delete(wa.broken, nd)
	wa.mu.Unlock()
	if err == nil || wa.ctx.Err() != nil {
		return // the upstream is alive, or the watch has ended
	}
	wa.report(poison.Report{ID: poison.DeathID(nd.ID, uint64(nd.StartedMs), 0), Upstream: nd.ID, At: wa.clk.Now(), Running: digests})
}
