package policy

import (
	"slices"
	"time"

	"github.com/citronstream/citronstream"
)

// choice is what a picker knows about an upstream.
type choice struct {
	Target
	load float64 // cost units of the last report
	down bool
}

// choices is the shared part of the local pickers. The simulation has one
// goroutine, so they need no locks.
type choices struct {
	all    []*choice
	byName map[string]*choice
}

func newChoices(targets []Target) choices {
	ch := choices{byName: make(map[string]*choice)}
	for _, ta := range targets {
		co := &choice{Target: ta}
		ch.all, ch.byName[ta.Name] = append(ch.all, co), co
	}
	return ch
}

func (ch *choices) usable(co *choice, pr citronstream.PickRequest) bool {
	return !co.down && !slices.Contains(pr.Exclude, co.Name)
}

// TakeLoad implements LoadTaker.
func (ch *choices) TakeLoad(lo citronstream.Load) {
	co := ch.byName[lo.Upstream]
	co.load, co.down = lo.Cost, lo.Down
}

func (ch *choices) Sent(string, int, float64) {}

func (ch *choices) Ended(string, int, float64, time.Duration, error) {}

// roundRobin takes the upstreams in turn.
type roundRobin struct {
	choices
	next int
}

func newRoundRobin(se PickerSettings) citronstream.Picker {
	return &roundRobin{choices: newChoices(se.Targets), next: se.Random.IntN(len(se.Targets))}
}

func (rr *roundRobin) Pick(pr citronstream.PickRequest) (string, bool) {
	for range rr.all {
		rr.next = (rr.next + 1) % len(rr.all)
		if co := rr.all[rr.next]; rr.usable(co, pr) {
			return co.Name, true
		}
	}
	return "", false
}

// leastReported takes the upstream with the least load in the last reports.
type leastReported struct{ choices }

func newLeastReported(se PickerSettings) citronstream.Picker {
	return &leastReported{choices: newChoices(se.Targets)}
}

func (lr *leastReported) Pick(pr citronstream.PickRequest) (string, bool) {
	var best *choice
	for _, co := range lr.all {
		if lr.usable(co, pr) && (best == nil || co.load < best.load) {
			best = co
		}
	}
	if best == nil {
		return "", false
	}
	return best.Name, true
}
