package fairqueue

import (
	"container/heap"

	"github.com/citronstream/citronstream"
)

// Configure replaces ranks, floors, weights and the queue limit. Waiting items
// stay; those of a rank that no longer exists move to the least urgent one.
func (qu *Queue) Configure(fl citronstream.Fleet) {
	weights := make(map[string]float64, len(fl.Workspaces))
	for _, ws := range fl.Workspaces {
		if ws.Weight > 0 {
			weights[ws.Name] = ws.Weight
		}
	}
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.weights = weights
	qu.maxQueued = fl.Limits.MaxQueued
	if qu.maxQueued <= 0 {
		qu.maxQueued = citronstream.DefaultLimits().MaxQueued
	}
	qu.resize(max(len(fl.Ranks), 1))
	for i, ra := range fl.Ranks {
		qu.ranks[i].floor = min(max(ra.Floor, 0), 1)
	}
	for _, ws := range qu.workspaces {
		ws.weight = qu.weightOf(ws.name)
	}
	heap.Init(&qu.longest)
	for _, ra := range qu.ranks {
		ra.weight = 0
		for _, flo := range ra.flows {
			if flo.len() > 0 {
				ra.weight += flo.ws.weight
			}
		}
	}
}

// resize sets the number of ranks and moves the items of removed ones to the last.
func (qu *Queue) resize(count int) {
	for i := len(qu.ranks); i < count; i++ {
		qu.ranks = append(qu.ranks, newRank(i))
	}
	removed := qu.ranks[count:]
	qu.ranks = qu.ranks[:count:count]
	for _, ra := range removed {
		for _, fl := range ra.flows {
			for qi := fl.newest; qi != nil; qi = fl.newest {
				qu.removeItem(qi)
				qu.insert(qu.ranks[count-1], qi)
			}
		}
		ra.vtime = maxTag
		qu.evictIdle(ra)
	}
}

// maxTag is above every start tag, so that evictIdle drops each idle flow.
const maxTag = 1e300

// weightOf returns a workspace's weight, 1 if the fleet does not list it.
func (qu *Queue) weightOf(name string) float64 {
	if weight, ok := qu.weights[name]; ok {
		return weight
	}
	return 1
}
