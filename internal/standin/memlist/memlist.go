// Package memlist is a stand-in for the platform's list of live and leaving
// instances, in memory and with a lag.
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

// Show ends the lag of all changes so far.
func (li *List) Show() {
	li.mu.Lock()
	defer li.mu.Unlock()
	for i := range li.waiting {
		li.waiting[i].at = li.waiting[i].at.Add(-li.lag)
	}
}

// List implements citronstream.Liveness.
type List struct {
	clk     citronstream.Clock
	lag     time.Duration
	mu      sync.Mutex
	shown   map[string]citronstream.InstanceState
	waiting []change
}

// New returns a list that shows each change after the lag.
func New(clk citronstream.Clock, lag time.Duration) *List {
	return &List{clk: clk, lag: lag, shown: make(map[string]citronstream.InstanceState)}
}

// Set adds or changes an instance.
func (li *List) Set(state citronstream.InstanceState) { li.add(change{state: state}) }

// Remove drops an instance.
func (li *List) Remove(instance string) {
	li.add(change{state: citronstream.InstanceState{Instance: instance}, removed: true})
}

func (li *List) add(ch change) {
	li.mu.Lock()
	defer li.mu.Unlock()
	ch.at = li.clk.Now()
	li.waiting = append(li.waiting, ch)
}

// List implements citronstream.Liveness.
func (li *List) List(ctx context.Context) ([]citronstream.InstanceState, error) {
	li.mu.Lock()
	defer li.mu.Unlock()
	now := li.clk.Now()
	for len(li.waiting) > 0 && now.Sub(li.waiting[0].at) >= li.lag {
		ch := li.waiting[0]
		li.waiting = li.waiting[1:]
		if ch.removed {
			delete(li.shown, ch.state.Instance)
		} else {
			li.shown[ch.state.Instance] = ch.state
		}
	}
	all := make([]citronstream.InstanceState, 0, len(li.shown))
	for _, state := range li.shown {
		all = append(all, state)
	}
	slices.SortFunc(all, func(a, b citronstream.InstanceState) int { return strings.Compare(a.Instance, b.Instance) })
	return all, ctx.Err()
}
