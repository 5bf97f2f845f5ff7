// Package membership follows the platform's list of instances and the
// heartbeats of the links, and tells the routing table (design, section 9).
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
	// listEvery is the mean interval of reading the list. With a fifth of
	// jitter and listWait, a leaving upstream is known within the 3 s of promise P5.
	listEvery = 2 * time.Second
	listWait  = 500 * time.Millisecond
	// beatEvery is how often the links are asked for missed heartbeats.
	beatEvery = 250 * time.Millisecond
)

// Counts is a snapshot of the counters.
type Counts struct {
	Lists, Failed uint64
}

// Watch follows membership for one entry.
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

// List reads the platform's list until ctx ends. A read that fails changes
// nothing; neither does an empty list, which no running platform has.
func (wa *Watch) List(ctx context.Context) {
	for ctx.Err() == nil {
		wa.read(ctx)
		timer := wa.clk.NewTimer(listEvery*4/5 + rand.N(listEvery*2/5))
		select {
		case <-ctx.Done():
		case <-timer.Chan():
		}
		timer.Stop()
	}
}

func (wa *Watch) read(ctx context.Context) {
	ctx, cancel := grant.WithTimeout(ctx, wa.clk, listWait)
	defer cancel()
	wa.lists.Add(1)
	states, err := wa.list.List(ctx)
	if err != nil || len(states) == 0 {
		wa.failed.Add(1)
		return
	}
	wa.routes.ApplyList(states)
}

// Beat marks upstreams whose agent has not answered a heartbeat as
// suspect, until ctx ends. The link is closed only later, when it counts as silent.
func (wa *Watch) Beat(ctx context.Context) {
	ticker := wa.clk.NewTicker(beatEvery)
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
