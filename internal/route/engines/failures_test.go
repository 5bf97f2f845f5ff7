package engines

import (
	"slices"
	"testing"
	"time"

	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/stretchr/testify/assert"
)

// Each failure strikes in a burst, 9 s after the start. Nearly as many requests are in
// time as without it.
const failsAt = 9 * time.Second

func failingSite() simSite {
	si := simSites[1].simSite
	si.span = 14 * time.Second
	return si
}

// assertInTime compares with the same arrivals without the failure.
func assertInTime(t *testing.T, si simSite, out simOutcome) {
	t.Helper()
	sound := compare(si, 1, inForce)
	t.Logf("without: %s", sound.String())
	t.Logf("with: %s", out.String())
	assert.GreaterOrEqual(t, float64(out.inTime)/float64(out.all), float64(sound.inTime)/float64(sound.all)-0.005)
	assert.Less(t, out.p99(), 1.5*sound.p99())
}

// A gateway that was frozen for 2 s sends all its requests when it resumes, and chooses
// by what it knew before.
func TestFrozenGateway(t *testing.T) {
	si, resumes := failingSite(), failsAt+2*time.Second
	sm, list := newSim(si, inForce), simArrivals(si, 1)
	sm.cut = func(gateway int) bool { return gateway == 0 && sm.now >= failsAt && sm.now < resumes }
	for i := range list {
		if ar := &list[i]; ar.gateway == 0 && ar.at >= failsAt && ar.at < resumes {
			ar.at = resumes
		}
	}
	assertInTime(t, si, sm.play(list))
}

// A gateway without links knows its own requests only.
func TestGatewayIsCutOff(t *testing.T) {
	si := failingSite()
	sm := newSim(si, inForce)
	sm.cut = func(gateway int) bool { return gateway == 0 && sm.now >= failsAt }
	assertInTime(t, si, sm.play(simArrivals(si, 1)))
}

// The others still count the load of gateways that were killed until it expires, while
// the engines are free of it.
func TestHalfOfTheGatewaysAreKilled(t *testing.T) {
	si := failingSite()
	sm, list := newSim(si, inForce), simArrivals(si, 1)
	dead := func(gateway int) bool { return gateway%2 == 0 }
	sm.cut = func(gateway int) bool { return dead(gateway) && sm.now >= failsAt }
	sm.at(failsAt, func() { sm.kill(dead) })
	for i := range list {
		if ar := &list[i]; ar.at >= failsAt && dead(ar.gateway) {
			ar.gateway = (ar.gateway + 1) % (si.gateways - 1)
		}
	}
	assertInTime(t, si, sm.play(list))
}

// Engines that are added empty are the least loaded ones at all gateways.
func TestEnginesAreAddedEmpty(t *testing.T) {
	si := failingSite()
	si.engines += 6
	sm, sends, all := newSim(si, inForce), make(map[string]int), 0
	sm.listed = func() int {
		if sm.now < failsAt {
			return si.engines - 6
		}
		return si.engines
	}
	sm.sends = func(_ int, nd *node.Node) {
		if sm.now >= failsAt && sm.now < failsAt+time.Second {
			sends[nd.ID]++
			all++
		}
	}
	out := sm.play(simArrivals(si, 1))
	most := 0
	for _, nd := range sm.nodes[0][si.engines-6:] {
		most = max(most, sends[nd.ID])
	}
	t.Logf("of %d requests in the first second, the busiest new engine got %d", all, most)
	assert.LessOrEqual(t, float64(most), 4*float64(all)/float64(si.engines))
	assertInTime(t, si, out)
}

// Without any message of a peer each gateway counts its own requests, and prompt parts
// are still found by their hashes.
func TestNoLoadIsKnown(t *testing.T) {
	si := failingSite()
	sm := newSim(si, inForce)
	sm.cut = func(int) bool { return true }
	out, sound := sm.play(simArrivals(si, 1)), compare(si, 1, inForce)
	t.Logf("without: %s", sound.String())
	t.Logf("with: %s", out.String())
	assert.GreaterOrEqual(t, float64(out.inTime), 0.98*float64(sound.inTime))
	assert.Zero(t, out.messages)
	assert.Less(t, slices.Max(out.first), 4000.0)
}
