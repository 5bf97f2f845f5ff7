package policy

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/citronstream/citronstream"
)

// choice is what a picker knows about an upstream.
type choice struct {
	Target
	load float64 // cost units of the last report, and with twoChoices what was sent since
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

func (ch *choices) Sent(string, float64) {}

func (ch *choices) Ended(string, float64, time.Duration, error) {}

// roundRobin takes the upstreams in turn.
type roundRobin struct {
	choices
	next int
}

func newRoundRobin(targets []Target, _ string, random *rand.Rand) citronstream.Picker {
	return &roundRobin{choices: newChoices(targets), next: random.IntN(len(targets))}
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

func newLeastReported(targets []Target, _ string, _ *rand.Rand) citronstream.Picker {
	return &leastReported{choices: newChoices(targets)}
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

// twoChoices takes the less loaded of two upstreams of the own zone, and
// compares it with two of the other zones.
type twoChoices struct {
	choices
	random       *rand.Rand
	near, remote []*choice
}

// spill is the extra load, in cost units, above which the other zones are used.
const spill = 100

func newTwoChoices(targets []Target, zone string, random *rand.Rand) citronstream.Picker {
	tc := &twoChoices{choices: newChoices(targets), random: random}
	for _, co := range tc.all {
		if co.Zone == zone {
			tc.near = append(tc.near, co)
		} else {
			tc.remote = append(tc.remote, co)
		}
	}
	return tc
}

// best draws two usable upstreams and returns the less loaded one, or nil.
func (tc *twoChoices) best(from []*choice, pr citronstream.PickRequest) *choice {
	var first *choice
	drawn := 0
	for _, at := range tc.random.Perm(len(from)) {
		co := from[at]
		if !tc.usable(co, pr) {
			continue
		}
		if first == nil || co.load < first.load {
			first = co
		}
		if drawn++; drawn == 2 {
			break
		}
	}
	return first
}

func (tc *twoChoices) Pick(pr citronstream.PickRequest) (string, bool) {
	near, remote := tc.best(tc.near, pr), tc.best(tc.remote, pr)
	switch {
	case near == nil && remote == nil:
		return "", false
	case near == nil || remote != nil && near.load > remote.load+spill:
		return remote.Name, true
	default:
		return near.Name, true
	}
}

func (tc *twoChoices) Sent(upstream string, cost float64) { tc.byName[upstream].load += cost }

func (tc *twoChoices) Ended(upstream string, cost float64, _ time.Duration, _ error) {
	co := tc.byName[upstream]
	co.load = max(co.load-cost, 0)
}
