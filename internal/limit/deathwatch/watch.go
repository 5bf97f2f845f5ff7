// Package deathwatch tells the death of an upstream from a connection that
// broke, and reports which contents ran there.
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
	// gather is how long breaks of one upstream are collected before it is
	// looked at: all its connections break together when it dies.
	gather = 50 * time.Millisecond
	// maxNodes and maxBroken bound what is collected.
	maxNodes  = 1024
	maxBroken = 1024
)

// Watch collects broken connections by upstream.
type Watch struct {
	clk    citronstream.Clock
	probe  func(ctx context.Context, address string) error
	report func(poison.Report)
	ctx    context.Context

	mu     sync.Mutex
	broken map[*node.Node][]uint64
	probes sync.WaitGroup
}

// New returns a watch. Probe opens a connection to an address and closes it;
// report takes the death of an upstream. The watch ends with ctx.
func New(ctx context.Context, clk citronstream.Clock, probe func(ctx context.Context, address string) error, report func(poison.Report)) *Watch {
	return &Watch{clk: clk, probe: probe, report: report, ctx: ctx, broken: make(map[*node.Node][]uint64)}
}

// Broke notes that the connection of a request broke before its answer.
func (wa *Watch) Broke(no *node.Node, digest uint64) {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	list, known := wa.broken[no]
	if len(list) >= maxBroken || !known && len(wa.broken) >= maxNodes {
		return
	}
	wa.broken[no] = append(list, digest)
	if !known {
		wa.probes.Go(func() { wa.look(no) })
	}
}

// Wait returns when all looks have ended.
func (wa *Watch) Wait() { wa.probes.Wait() }

func (wa *Watch) look(no *node.Node) {
	timer := wa.clk.NewTimer(gather)
	defer timer.Stop()
	select {
	case <-wa.ctx.Done():
	case <-timer.Chan():
	}
	err := wa.probe(wa.ctx, no.Address)
	wa.mu.Lock()
	digests := wa.broken[no]
	delete(wa.broken, no)
	wa.mu.Unlock()
	if err == nil || wa.ctx.Err() != nil {
		return // only the connection broke
	}
	wa.report(poison.Report{ID: poison.DeathID(no.ID, uint64(no.StartedMs), 0), Upstream: no.ID, At: wa.clk.Now(), Running: digests})
}
