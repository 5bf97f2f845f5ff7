package gateway

import (
	"math"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
)

const (
	// slowSpeed is the long-term speed below which an upstream counts as slow, usualSpeed
	// the one from which on it no longer does.
	slowSpeed  = 0.8
	usualSpeed = 0.9
)

// loadsKnown returns the number of upstreams that have said their load lately.
func (ga *Gateway) loadsKnown() (count int) {
	now := ga.clk.Now()
	for nd := range ga.view.Members().All() {
		if _, _, known := nd.Load(now); known {
			count++
		}
	}
	return count
}

// slowUpstreams returns the number of upstreams that are slower than usual for good.
func (ga *Gateway) slowUpstreams() (count int) {
	for nd := range ga.view.Members().All() {
		if nd.Speed() < slowSpeed {
			count++
		}
	}
	return count
}

// takeSpeeds returns the speeds that were measured since the last message to the peers.
func (ga *Gateway) takeSpeeds() map[string]citronstream.SpeedReport {
	var speeds map[string]citronstream.SpeedReport
	for nd := range ga.view.Members().All() {
		if report, measured := nd.TakeReport(); measured {
			if speeds == nil {
				speeds = make(map[string]citronstream.SpeedReport)
			}
			speeds[nd.ID] = report
		}
	}
	return speeds
}

// heardSpeeds records what a peer has measured.
func (ga *Gateway) heardSpeeds(from string, speeds map[string]citronstream.SpeedReport) {
	now, members := ga.clk.Now(), ga.view.Members()
	for id, report := range speeds {
		if nd := members.Node(id); nd != nil {
			nd.ObserveReport(from, report, now)
		}
	}
}

// logSpeeds logs upstreams that have become slow for good, or are so no longer. It is
// called by one goroutine.
func (ga *Gateway) logSpeeds() {
	slow := make(map[*node.Node]bool)
	for nd := range ga.view.Members().All() {
		speed, was := nd.Speed(), ga.slow[nd]
		slow[nd] = speed < slowSpeed || was && speed < usualSpeed
		if slow[nd] == was {
			continue
		}
		message := "upstream slower than usual"
		if was {
			message = "upstream at usual speed"
		}
		ga.log.Info(message, "upstream", nd.ID, "service", nd.Service, "speed", math.Round(speed*100)/100)
	}
	ga.slow = slow
}
