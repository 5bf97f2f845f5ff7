// Package memlist simulates the platform's list of live and leaving instances,
// in memory and with a lag.
package memlist

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
)

type change struct {
	at      time.Time
	state   citronstream.InstanceState
	removed bool
}

// Show makes all changes so far visible.
func (li *List) Show() {
	li.mu.Lock()
	defer li.mu.Unlock()
	for i := range li.pending {
		li.pending[i].at = li.pending[i].at.Add(-li.lag)
	}
}

// List implements citronstream.Liveness.
type List struct {
	clk     citronstream.Clock
	lag     time.Duration
	mu      sync.Mutex
	visible map[string]citronstream.InstanceState
	pending []change
}

// New returns a list whose changes become visible after the lag.
func New(clk citronstream.Clock, lag time.Duration) *List {
	return &List{clk: clk, lag: lag, visible: make(map[string]citronstream.InstanceState)}
}

// Set adds or changes an instance.
func (li *List) Set(state citronstream.InstanceState) { li.add(change{state: state}) }

// Remove removes an instance.
func (li *List) Remove(instance string) {
	li.add(change{state: citronstream.InstanceState{Instance: instance}, removed: true})
}

func (li *List) add(ch change) {
	li.mu.Lock()
	defer li.mu.Unlock()
	ch.at = li.clk.Now()
	li.pending = append(li.pending, ch)
}

// List implements citronstream.Liveness.
func (li *List) List(ctx context.Context) ([]citronstream.InstanceState, error) {
	li.mu.Lock()
	defer li.mu.Unlock()
	now := li.clk.Now()
	for len(li.pending) > 0 && now.Sub(li.pending[0].at) >= li.lag {
		ch := li.pending[0]
		li.pending = li.pending[1:]
		if ch.removed {
			delete(li.visible, ch.state.Instance)
		} else {
			li.visible[ch.state.Instance] = ch.state
		}
	}
	all := make([]citronstream.InstanceState, 0, len(li.visible))
	for _, state := range li.visible {
		all = append(all, state)
	}
	slices.SortFunc(all, func(a, b citronstream.InstanceState) int { return strings.Compare(a.Instance, b.Instance) })
	return all, ctx.Err()
}
