package engines

// Bound of the requests that an engine gets from all gateways within a second. Load pattern:
// an engine turns cold while it runs, which the gateways learn only from its next row, 1.2 s
// later or never while the store is unavailable, and a burst or a popular part of prompts
// takes the requests of all of them there. What peers have sent is told with the loads.

import (
	"slices"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
)

const (
	// startWindow is the period in which the requests that an engine gets are counted. What
	// peers told counts that long after its arrival: a peer that has sent more since tells
	// that within one or two ticks.
	startWindow = time.Second
	// overRateCost is the cost in ms of each request above Request.MaxStarts. It is that of a
	// missed target: an engine is spared where the request is in time at another one.
	overRateCost = lateCost
	// maxStarted bounds what a peer's number counts for; sums of greater ones could overflow.
	maxStarted = 1 << 20
	// boundedShare is the share of MaxStarts that all engines may have got on average for the
	// bound to hold. Above it, requests would move from engine to engine all the time, and
	// take shared parts of prompts along, for a bound that can't be kept.
	boundedShare = 0.9
)

// started counts a request that an engine gets.
func (pi *Picker) started(id string, now time.Time) {
	pi.ownStarts[id] = append(recent(pi.ownStarts[id], now), now)
}

// recent removes the times that are older than the window.
func recent(times []time.Time, now time.Time) []time.Time {
	return slices.DeleteFunc(times, func(at time.Time) bool { return now.Sub(at) >= startWindow })
}

// starts returns how many requests an engine has got from this process and its peers within
// the window.
func (pi *Picker) starts(id string, now time.Time) (count int) {
	for _, at := range pi.ownStarts[id] {
		if now.Sub(at) < startWindow {
			count++
		}
	}
	for _, pe := range pi.peers[id] {
		if now.Sub(pe.at) < startWindow {
			count += max(0, min(pe.Started, maxStarted))
		}
	}
	return count
}

// Starts returns how many requests an engine has got from this process and its peers within the
// last second, if it is of a service whose engines have a MaxStarts.
func (pi *Picker) Starts(id string) int {
	pi.mu.Lock()
	defer pi.mu.Unlock()
	return pi.starts(id, pi.clk.Now())
}

// MostStarts returns the most requests that an engine has got within the window, of services
// whose engines have a MaxStarts.
func (pi *Picker) MostStarts() (most int) {
	pi.mu.Lock()
	defer pi.mu.Unlock()
	now := pi.clk.Now()
	for id := range pi.ownStarts {
		most = max(most, pi.starts(id, now))
	}
	for id := range pi.peers {
		most = max(most, pi.starts(id, now))
	}
	return most
}

// setBound sets whether the bound of the requests that an engine gets within a second holds
// for a request: if the engines have not got nearly as many on average, and there is another
// one that may be used, has not got as many and has a free slot.
func (pi *Picker) setBound(nodes []*node.Node, rq *Request, now time.Time) {
	rq.bounded = false
	if rq.MaxStarts <= 0 {
		return
	}
	sum, free := 0, false
	for _, nd := range nodes {
		count := pi.starts(nd.ID, now)
		sum += count
		if !free && count < rq.MaxStarts && !rq.Exclude[nd.ID] && !nd.Avoided(now) {
			running, _ := pi.totalLoad(nd.ID, now)
			free = nd.Slots <= 0 || running < nd.Slots
		}
	}
	rq.bounded = free && float64(sum) < boundedShare*float64(rq.MaxStarts*len(nodes))
}

// rateCost returns the cost of a request to an engine that has got as many as it should.
func (pi *Picker) rateCost(id string, rq *Request, now time.Time) float64 {
	if !rq.bounded {
		return 0
	}
	return overRateCost * float64(max(0, pi.starts(id, now)-rq.MaxStarts+1))
}

// addStarts adds the requests that engines have got to the message for the peers.
func (pi *Picker) addStarts(loads map[string]citronstream.EngineLoad) {
	now := pi.clk.Now()
	for id, times := range pi.ownStarts {
		if times = recent(times, now); len(times) == 0 {
			delete(pi.ownStarts, id)
			continue
		}
		pi.ownStarts[id] = times
		el := loads[id]
		el.Started = len(times)
		loads[id] = el
	}
}
