package fairqueue

import (
	"container/heap"

	"github.com/citronstream/citronstream"
)

// Configure replaces ranks, floors, weights and the count cap. Waiting items
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
	qu.max = fl.Limits.MaxQueued
	if qu.max <= 0 {
		qu.max = citronstream.DefaultLimits().MaxQueued
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

// resize sets the number of ranks.
func (qu *Queue) resize(count int) {
	for i := len(qu.ranks); i < count; i++ {
		qu.ranks = append(qu.ranks, newRank(i))
	}
	gone := qu.ranks[count:]
	qu.ranks = qu.ranks[:count:count]
	for _, ra := range gone {
		for _, fl := range ra.flows {
			for no := fl.newest; no != nil; no = fl.newest {
				qu.take(no)
				qu.insert(qu.ranks[count-1], no)
			}
		}
		ra.vtime = maxTag
		qu.forget(ra)
	}
}

// maxTag is above every start tag, so that forget drops each idle flow.
const maxTag = 1e300

// weightOf returns a workspace's weight; one that the fleet does not name has weight 1.
func (qu *Queue) weightOf(name string) float64 {
	if weight, ok := qu.weights[name]; ok {
		return weight
	}
	return 1
}
