// Package deathdetect tells the death of an upstream apart from a broken
// connection, and reports the content digests that ran there.
package deathdetect

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

// Request is a request whose connection broke.
type Request struct {
	Digest uint64
	Sent   time.Time
	// Unproven are the shared prompt parts of a request without a complete answer.
	Unproven []uint64
}

// breakage has the connections to an upstream that broke.
type breakage struct {
	since    time.Time
	requests []Request
	checked  chan struct{} // closed when the upstream was probed and its death reported
}

// Detector collects broken connections by upstream and probes the upstream.
type Detector struct {
	clk    citronstream.Clock
	probe  func(ctx context.Context, address string) error
	report func(poison.Report)
	ctx    context.Context

	mu     sync.Mutex
	broken map[*node.Node]*breakage
	checks sync.WaitGroup
}

// New returns a detector. Probe opens a connection to an address and closes it;
// report receives the death of an upstream. After ctx ends nothing is reported.
func New(ctx context.Context, clk citronstream.Clock, probe func(ctx context.Context, address string) error, report func(poison.Report)) *Detector {
	return &Detector{clk: clk, probe: probe, report: report, ctx: ctx, broken: make(map[*node.Node]*breakage)}
}

// ConnectionBroke records that the connection of a request broke before its answer. The
// returned channel is closed when the upstream was probed, and its death reported if it has
// died; it is nil if too many upstreams are under check.
func (de *Detector) ConnectionBroke(nd *node.Node, rq Request) (checked <-chan struct{}) {
	de.mu.Lock()
	defer de.mu.Unlock()
	br, known := de.broken[nd]
	if !known {
		if len(de.broken) >= maxNodes {
			return nil
		}
		br = &breakage{since: de.clk.Now(), checked: make(chan struct{})}
		de.broken[nd] = br
		de.checks.Go(func() { de.check(nd) })
	}
	if len(br.requests) < maxDigests {
		br.requests = append(br.requests, rq)
	}
	return br.checked
}

// Wait returns when all checks have ended.
func (de *Detector) Wait() { de.checks.Wait() }

func (de *Detector) check(nd *node.Node) {
	timer := de.clk.NewTimer(collectTime)
	defer timer.Stop()
	select {
	case <-de.ctx.Done():
	case <-timer.Chan():
	}
	err := de.probe(de.ctx, nd.Address)
	de.mu.Lock()
	br := de.broken[nd]
	delete(de.broken, nd)
	de.mu.Unlock()
	defer close(br.checked)
	if err == nil || de.ctx.Err() != nil {
		return // the upstream is alive, or the detector has ended
	}
	now := de.clk.Now()
	report := poison.Report{ID: poison.DeathID(nd.ID, uint64(nd.StartedMs), 0), Upstream: nd.ID, At: now, Age: now.Sub(br.since)}
	for _, rq := range br.requests {
		report.Running = append(report.Running, rq.Digest)
		if len(rq.Unproven) > 0 {
			report.Requests = append(report.Requests, citronstream.SuspectRequest{Digest: rq.Digest, Sent: now.Sub(rq.Sent), Parts: rq.Unproven})
		}
	}
	de.report(report)
}
