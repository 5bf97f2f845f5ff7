package node

import "github.com/citronstream/citronstream/internal/upstream/capacity"

// Factors returns the long-term time of work relative to the usual one, and the present
// time relative to the long-term one, each with its age and source.
func (nd *Node) Factors() (long, present capacity.Value) {
	none := capacity.Value{Factor: 1, Source: capacity.FromNothing}
	if nd.clk == nil {
		return none, none
	}
	nd.mu.Lock()
	defer nd.mu.Unlock()
	now := nd.clk.Now()
	return nd.capacity.LongTerm(now), nd.capacity.Transient(now)
}
