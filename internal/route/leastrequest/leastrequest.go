// Package leastrequest chooses an upstream of a service whose requests take about
// the same time each: the one with the fewest requests of this process in
// flight, corrected by speed and failures. It prefers the own zone.
package leastrequest

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
)

const (
	// crossZonePenalty is the load, as a share of an upstream's slots, that is added
	// for an upstream in another zone.
	crossZonePenalty = 0.25
	// failurePenalty is the load that stands for a failure rate of 1.
	failurePenalty = 4.0
	// probeProbability is the probability that failures and slowness are ignored, so
	// that an upstream gets the requests that show its recovery.
	probeProbability = 0.02
)

// Pick returns an upstream, or nil if none can be used. Exclude lists IDs.
func Pick(nodes []*node.Node, zone string, exclude map[string]bool, now time.Time) *node.Node {
	var best *node.Node
	least := math.Inf(1)
	for _, nd := range nodes {
		if exclude[nd.ID] || nd.Avoided(now) {
			continue
		}
		if cost := cost(nd, zone); cost < least {
			best, least = nd, cost
		}
	}
	return best
}

func cost(nd *node.Node, zone string) float64 {
	te := termsOf(nd, zone)
	sum := te.sum()
	if rand.Float64() < probeProbability {
		sum = te.load + te.crossZone
	}
	return sum + 1e-3*rand.Float64() // breaks ties
}

// terms are the terms of an upstream's cost.
type terms struct {
	load      float64 // share of its slots that requests of this process take
	crossZone float64
	slowness  float64 // what its slowness adds
	failures  float64
}

func (te terms) sum() float64 { return te.load + te.crossZone + te.slowness + te.failures }

func termsOf(nd *node.Node, zone string) (te terms) {
	te.load = float64(nd.Running()) / float64(max(1, nd.Slots))
	if nd.Zone != zone {
		te.crossZone = crossZonePenalty
	}
	base := te.load + te.crossZone
	te.slowness = (base+0.1)*max(1, nd.Slowness()) - base
	te.failures = failurePenalty * nd.FailureRate()
	return te
}

// Explain returns the costs that Pick compares, without its random share, the least one
// first. It changes nothing.
func Explain(nodes []*node.Node, zone string, exclude map[string]bool, now time.Time) (list []citronstream.WhereCandidate) {
	for _, nd := range nodes {
		if exclude[nd.ID] || nd.Avoided(now) {
			continue
		}
		te := termsOf(nd, zone)
		long, present := nd.Factors()
		list = append(list, citronstream.WhereCandidate{
			Upstream: nd.ID, Zone: nd.Zone, Cost: te.sum(),
			Terms: []citronstream.WhereTerm{{Name: "load", Cost: te.load}, {Name: "cross-zone", Cost: te.crossZone}, {Name: "slowness", Cost: te.slowness}, {Name: "failures", Cost: te.failures}},
			Figures: []citronstream.WhereFigure{
				{Name: "running", Value: float64(nd.Running()), Source: "own"},
				{Name: "slots", Value: float64(nd.Slots), Source: "row"},
				{Name: "slowness", Value: nd.Slowness(), Source: "node"},
				{Name: "long-term slowness", Value: long.Factor, Source: string(long.Source), AgeMs: citronstream.Milliseconds(long.Age)},
				{Name: "present slowness", Value: present.Factor, Source: string(present.Source), AgeMs: citronstream.Milliseconds(present.Age)},
				{Name: "failure rate", Value: nd.FailureRate(), Source: "own"},
			},
		})
	}
	slices.SortStableFunc(list, func(a, b citronstream.WhereCandidate) int { return cmp.Compare(a.Cost, b.Cost) })
	return list
}
