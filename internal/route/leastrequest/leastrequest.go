// Package leastrequest chooses an upstream of a service whose requests take about
// the same time each: the one with the fewest requests of this process in
// flight, corrected by speed and failures. It prefers the own zone.
package leastrequest

import (
	"math"
	"math/rand/v2"
	"time"

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
	cost := float64(nd.Running()) / float64(max(1, nd.Slots))
	if nd.Zone != zone {
		cost += crossZonePenalty
	}
	if rand.Float64() >= probeProbability {
		cost = (cost + 0.1) * max(1, nd.Slowness())
		cost += failurePenalty * nd.FailureRate()
	}
	return cost + 1e-3*rand.Float64() // breaks ties
}
