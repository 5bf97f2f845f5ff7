package engines

import (
	"time"

	"github.com/citronstream/citronstream/internal/fleet/node"
)

// cost has the terms of an engine's cost, in ms.
type cost struct {
	delay     float64 // weighted, of the first event
	late      float64 // for a missed target
	reread    float64 // for shared parts that another engine has
	crossZone float64 // for inputs in other zones
	failures  float64
	rate      float64 // for more requests within a second than it should get
}

func (co cost) sum() float64 {
	return co.delay + co.late + co.reread + co.crossZone + co.failures + co.rate
}

// term is a named term of a cost.
type term struct {
	name string
	cost float64
}

func (co cost) terms() []term {
	return []term{{"delay", co.delay}, {"late", co.late}, {"reread", co.reread}, {"cross-zone", co.crossZone}, {"failures", co.failures}, {"rate", co.rate}}
}

// cost returns the sum of costOf.
func (pi *Picker) cost(nd *node.Node, rq *Request, unread int, home string, now time.Time) float64 {
	return pi.costOf(nd, rq, unread, home, now).sum()
}

// costOf returns the weighted delay of the first event, in ms, plus penalties for
// a missed target, a cold cache, inputs in other zones and failures.
func (pi *Picker) costOf(nd *node.Node, rq *Request, unread int, home string, now time.Time) (co cost) {
	running, prefill := pi.totalLoad(nd.ID, now)
	delay := (prefill+float64(unread))/pi.readRate*nd.Slowness() + float64(running)*runningDelay
	co.delay = delay
	if slack := float64(rq.Slack.Milliseconds()); slack > 0 {
		co.delay, co.late = delayWeight*delay, lateCost*min(1, max(0, delay-slack+lateRamp)/lateRamp)
	}
	if home != "" && nd.ID != home {
		co.reread = float64(rq.sharedTokens()) / pi.readRate * rereadFactor
	}
	for zone, bytes := range rq.Inputs {
		if zone != nd.Zone {
			co.crossZone += float64(bytes) / 1e6 * crossZoneDelay
		}
	}
	co.failures = nd.FailureRate() * failureDelay
	co.rate = pi.rateCost(nd.ID, rq, now)
	return co
}
