// Package ownership decides which entry owns the queue of a service: among those
// with enough capacity the one with the highest hash score (rendezvous hashing),
// which is the same at all entries. Load pattern: entries that are killed and come
// back under load. One that has just started does not take its queues back at once:
// two owners beside each other send smaller batches, and neither knows what memory
// of the upstreams the results of the other take.
package ownership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// capacityShare is the least capacity of an owner relative to the strongest
	// entry. All jobs of a service pass through its owner, whose network link
	// and processor would otherwise limit the whole site.
	capacityShare = 0.5
	// settleTime is how long an entry must have run to take over from one that has
	// run for longer, or settleShare of the time that the oldest entry has run: after
	// an outage all have started at about the same time. It is longer than the backlog
	// of a queue.
	settleTime  = 8 * time.Second
	settleShare = 0.5
)

// Candidate is an entry that could own a queue.
type Candidate struct {
	Address string
	// Capacity is on the scale of citronstream.PeerInfo.
	Capacity float64
	Age      time.Duration // since its process started
}

// Owner returns the address of the owner of a service's queue, empty without
// candidates.
func Owner(service string, candidates []Candidate) string {
	strongest, oldest := 0.0, time.Duration(0)
	for _, ca := range candidates {
		strongest, oldest = max(strongest, ca.Capacity), max(oldest, ca.Age)
	}
	settles := min(settleTime, time.Duration(settleShare*float64(oldest)))
	best, bestScore, bestSettled := "", uint64(0), false
	for _, ca := range candidates {
		if ca.Capacity < capacityShare*strongest {
			continue
		}
		settled, score := ca.Age >= settles, xxhash.Sum64String(service+"\x00"+ca.Address)
		if best == "" || settled && !bestSettled || settled == bestSettled && score > bestScore {
			best, bestScore, bestSettled = ca.Address, score, settled
		}
	}
	return best
}
