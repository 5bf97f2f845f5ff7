// Package membership polls the platform's list of instances and the heartbeats of
// the links, and updates the routing table (design, section 9).
package membership

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/once/grant"
	"github.com/citronstream/citronstream/internal/peer/link"
	"github.com/citronstream/citronstream/internal/route/table"
)

const (
	// listInterval is the mean interval of reads of the list. With a fifth of
	// jitter and listWait, a leaving upstream is known within the 3 s of promise P5.
	listInterval = 2 * time.Second
	listTimeout  = 500 * time.Millisecond
	// heartbeatInterval is the interval of checks for missed heartbeats.
	heartbeatInterval = 250 * time.Millisecond
)

// Counts is a snapshot of the counters.
type Counts struct {
	Lists, Failed uint64
}

// Watch updates the routing table of one entry.
type Watch struct {
	clk    citronstream.Clock
	list   citronstream.Liveness
	routes *table.Table
	links  func(visit func(upstream string, li *link.Link))

	lists, failed atomic.Uint64
}

// New returns a Watch. Links visits the open links to agents.
func New(clk citronstream.Clock, li citronstream.Liveness, routes *table.Table, links func(visit func(upstream string, li *link.Link))) *Watch {
	return &Watch{clk: clk, list: li, routes: routes, links: links}
}

// Counts returns the counters.
func (wa *Watch) Counts() Counts { return Counts{Lists: wa.lists.Load(), Failed: wa.failed.Load()} }

// PollList polls the platform's list until ctx ends. A failed read changes nothing, and
// neither does an empty list, which a running platform never returns.
func (wa *Watch) PollList(ctx context.Context) {
	for ctx.Err() == nil {
		wa.read(ctx)
		timer := wa.clk.NewTimer(listInterval*4/5 + rand.N(listInterval*2/5))
		select {
		case <-ctx.Done():
		case <-timer.Chan():
		}
		timer.Stop()
	}
}

func (wa *Watch) read(ctx context.Context) {
	ctx, cancel := grant.WithTimeout(ctx, wa.clk, listTimeout)
	defer cancel()
	wa.lists.Add(1)
	states, err := wa.list.List(ctx)
	if err != nil || len(states) == 0 {
		wa.failed.Add(1)
		return
	}
	wa.routes.ApplyList(states)
}

// CheckHeartbeats marks upstreams as suspect whose agent has missed a heartbeat, until ctx
// ends. The link is closed only later, when it counts as silent.
func (wa *Watch) CheckHeartbeats(ctx context.Context) {
	ticker := wa.clk.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		wa.links(func(upstream string, li *link.Link) {
			state := table.Live
			if li.PingOverdue() {
				state = table.Suspect
			}
			wa.routes.Mark(upstream, table.FromHeartbeat, state)
		})
	}
}
