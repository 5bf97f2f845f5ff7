package fairqueue

import (
	"cmp"
	"container/heap"
)

// queuedItem is a waiting item. prev and next link the items of a flow in order of arrival.
type queuedItem struct {
	item       Item
	cost       float64
	seq        uint64
	index      int // index in its deadline heap
	flow       *flow
	prev, next *queuedItem
}

// byDeadline orders the items of one flow, earliest deadline first.
type byDeadline []*queuedItem

func (bd byDeadline) Len() int { return len(bd) }

func (bd byDeadline) Less(i, j int) bool {
	if order := bd[i].item.Deadline.Compare(bd[j].item.Deadline); order != 0 {
		return order < 0
	}
	return bd[i].seq < bd[j].seq
}

func (bd byDeadline) Swap(i, j int) {
	bd[i], bd[j] = bd[j], bd[i]
	bd[i].index, bd[j].index = i, j
}

func (bd *byDeadline) Push(x any) {
	qi := x.(*queuedItem)
	qi.index = len(*bd)
	*bd = append(*bd, qi)
}

func (bd *byDeadline) Pop() any {
	last := len(*bd) - 1
	qi := (*bd)[last]
	(*bd)[last] = nil
	*bd = (*bd)[:last]
	qi.index = -1
	return qi
}

// byTag orders the flows of one rank by start tag. A flow is in at most one of
// the rank's two heaps, waiting and idle.
type byTag []*flow

func (bt byTag) Len() int { return len(bt) }

func (bt byTag) Less(i, j int) bool {
	if order := cmp.Compare(bt[i].tag, bt[j].tag); order != 0 {
		return order < 0
	}
	return bt[i].ws.name < bt[j].ws.name
}

func (bt byTag) Swap(i, j int) {
	bt[i], bt[j] = bt[j], bt[i]
	bt[i].index, bt[j].index = i, j
}

func (bt *byTag) Push(x any) {
	fl := x.(*flow)
	fl.index = len(*bt)
	*bt = append(*bt, fl)
}

func (bt *byTag) Pop() any {
	last := len(*bt) - 1
	fl := (*bt)[last]
	(*bt)[last] = nil
	*bt = (*bt)[:last]
	fl.index = -1
	return fl
}

// byLength orders workspaces by queue length relative to weight, longest first.
type byLength []*workspace

func (bl byLength) Len() int { return len(bl) }

func (bl byLength) Less(i, j int) bool {
	return float64(bl[i].count)*bl[j].weight > float64(bl[j].count)*bl[i].weight
}

func (bl byLength) Swap(i, j int) {
	bl[i], bl[j] = bl[j], bl[i]
	bl[i].index, bl[j].index = i, j
}

func (bl *byLength) Push(x any) {
	ws := x.(*workspace)
	ws.index = len(*bl)
	*bl = append(*bl, ws)
}

func (bl *byLength) Pop() any {
	last := len(*bl) - 1
	ws := (*bl)[last]
	(*bl)[last] = nil
	*bl = (*bl)[:last]
	ws.index = -1
	return ws
}

var (
	_ heap.Interface = (*byDeadline)(nil)
	_ heap.Interface = (*byTag)(nil)
	_ heap.Interface = (*byLength)(nil)
)
