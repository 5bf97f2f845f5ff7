// Package spread chooses an upstream of a service whose requests take about
// the same time each: the one with the fewest requests of this process in
// flight, corrected by speed and failures. It prefers the own zone.
package spread

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/citronstream/citronstream/internal/fleet/node"
)

const (
	// zoneShare is the load, as a share of an upstream's slots, that is added
	// for an upstream in another zone.
	zoneShare = 0.25
	// failWeight is the load that stands for a failure rate of 1.
	failWeight = 4.0
	// probeShare is the probability that failures and slowness are ignored, so
	// that an upstream gets the requests that show its recovery.
	probeShare = 0.02
)

// Pick returns an upstream, or nil if none can be used. Exclude lists IDs.
func Pick(nodes []*node.Node, zone string, exclude map[string]bool, now time.Time) *node.Node {
	var best *node.Node
	least := math.Inf(1)
	for _, no := range nodes {
		if exclude[no.ID] || no.Avoided(now) {
			continue
		}
		if cost := cost(no, zone); cost < least {
			best, least = no, cost
		}
	}
	return best
}

func cost(no *node.Node, zone string) float64 {
	cost := float64(no.Running()) / float64(max(1, no.Slots))
	if no.Zone != zone {
		cost += zoneShare
	}
	if rand.Float64() >= probeShare {
		cost = (cost + 0.1) * max(1, no.Slowness())
		cost += failWeight * no.Failures()
	}
	return cost + 1e-3*rand.Float64() // breaks ties
}
