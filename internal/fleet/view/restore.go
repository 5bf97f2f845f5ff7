package view

import (
	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
)

// Restore puts upstreams of before this process's start in use that have no row, as the
// store was away just before: their rows may have expired. They are gone when their grace
// period ends without a row. It returns how many there are.
func (vi *View) Restore(members []citronstream.Member) (count int) {
	vi.mu.Lock()
	defer vi.mu.Unlock()
	now := vi.clk.Now()
	if vi.outage.Over(now) {
		return 0
	}
	for _, mb := range members {
		key := vi.decode.MemberPrefix + mb.ID
		if vi.rows[key] != nil || mb.Draining {
			continue
		}
		nd := node.New(mb, node.WithClock(vi.clk))
		nd.Self = vi.reports.Of(mb.ID, mb.StartedMs)
		vi.rows[key] = &record{Change: citronstream.Change{Row: citronstream.Row{Key: key, Version: vi.settled}, Deleted: true}, node: nd, removed: now, inGrace: true}
		vi.onRow(mb)
		count++
	}
	if count > 0 {
		vi.log.Info("upstreams of before the start in use, grace period started", "upstreams", count)
		vi.publish()
	}
	return count
}

// RestoreExpired restores upstreams of before this process's start if most of them have no
// row, as if the store had been away until now: so many don't leave within the second that a
// list may be old, while all rows have expired when a store returns that was away for longer
// than it keeps them. It returns how many are restored.
func (vi *View) RestoreExpired(members []citronstream.Member) int {
	vi.mu.Lock()
	missing := 0
	for _, mb := range members {
		if vi.rows[vi.decode.MemberPrefix+mb.ID] == nil {
			missing++
		}
	}
	expired := 2*missing > len(members)
	if expired {
		vi.log.Info("most upstreams of before the start have no row, store taken for just back", "upstreams", len(members), "missing", missing)
		vi.outage.Disturbed(vi.clk.Now())
	}
	vi.mu.Unlock()
	if !expired {
		return 0
	}
	return vi.Restore(members)
}

// StoreWasAway reports whether the store was away a moment ago, so that rows may have
// expired that are back soon.
func (vi *View) StoreWasAway() bool {
	vi.mu.Lock()
	defer vi.mu.Unlock()
	return !vi.outage.Over(vi.clk.Now())
}
