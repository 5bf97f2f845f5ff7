package fairqueue

import "container/heap"

// maxIdleFlows bounds the flows without waiting items that a rank keeps. A fleet
// of full size has 1,700 workspaces.
const maxIdleFlows = 4096

// workspace counts the waiting items of one workspace over all ranks.
type workspace struct {
	name   string
	weight float64
	count  int
	index  int // index in Queue.longest; -1 when nothing waits
	flows  []*flow
}

// flow is the queue of one workspace in one rank.
type flow struct {
	ws       *workspace
	rank     *rank
	tag      float64 // start tag of the next item, in cost units divided by weight
	cost     float64
	normal   byDeadline
	suspects byDeadline
	newest   *queuedItem
	index    int   // index in the collection named by state
	state    uint8 // flowIdle, flowWaiting or flowParked
}

// States of a flow.
const (
	flowIdle    uint8 = iota // nothing waits; in rank.idle
	flowWaiting              // in rank.waiting
	flowParked               // only suspects wait while another suspect runs; in rank.parked
)

func (fl *flow) len() int { return len(fl.normal) + len(fl.suspects) }

// head returns the item with the earliest deadline, or nil. It ignores suspects
// if skipSuspects is set.
func (fl *flow) head(skipSuspects bool) *queuedItem {
	switch {
	case skipSuspects || len(fl.suspects) == 0:
		if len(fl.normal) == 0 {
			return nil
		}
		return fl.normal[0]
	case len(fl.normal) == 0 || fl.suspects[0].item.Deadline.Before(fl.normal[0].item.Deadline):
		return fl.suspects[0]
	default:
		return fl.normal[0]
	}
}

func (fl *flow) heapOf(qi *queuedItem) *byDeadline {
	if qi.item.Suspect {
		return &fl.suspects
	}
	return &fl.normal
}

func (fl *flow) add(qi *queuedItem) {
	qi.flow = fl
	heap.Push(fl.heapOf(qi), qi)
	fl.cost += qi.cost
	qi.prev, qi.next = fl.newest, nil
	if fl.newest != nil {
		fl.newest.next = qi
	}
	fl.newest = qi
}

func (fl *flow) remove(qi *queuedItem) {
	heap.Remove(fl.heapOf(qi), qi.index)
	fl.cost -= qi.cost
	if qi.next != nil {
		qi.next.prev = qi.prev
	} else {
		fl.newest = qi.prev
	}
	if qi.prev != nil {
		qi.prev.next = qi.next
	}
	qi.prev, qi.next = nil, nil
	if fl.len() == 0 {
		fl.cost = 0 // clears the accumulated rounding error
	}
}

// rank schedules the flows of one priority class by start-time fair queueing.
type rank struct {
	index      int
	floor      float64
	recentCost float64 // cost served, decayed over accountWindow
	credit     float64 // floor x cost served in all ranks, less the cost served in this one; decayed and bounded
	lastCost   float64 // cost of the last call
	cost       float64 // cost of the waiting items
	count      int
	weight     float64 // sum of the weights of nonempty flows
	vtime      float64 // virtual time: start tag of the last popped item

	flows   map[string]*flow
	waiting byTag
	idle    byTag
	parked  []*flow
}

func newRank(index int) *rank { return &rank{index: index, flows: make(map[string]*flow)} }

// flow returns the flow of a workspace and creates it if necessary.
func (ra *rank) flow(ws *workspace) *flow {
	if fl, ok := ra.flows[ws.name]; ok {
		return fl
	}
	fl := &flow{ws: ws, rank: ra, tag: ra.vtime, index: -1}
	ra.flows[ws.name] = fl
	ws.flows = append(ws.flows, fl)
	heap.Push(&ra.idle, fl)
	return fl
}

// activate moves an idle flow that got its first item to the waiting flows.
func (ra *rank) activate(fl *flow) {
	heap.Remove(&ra.idle, fl.index)
	// An idle flow saves up no service.
	fl.tag = max(fl.tag, ra.vtime)
	fl.state = flowWaiting
	ra.weight += fl.ws.weight
	heap.Push(&ra.waiting, fl)
}

// deactivate moves a flow that has become empty to the idle flows.
func (ra *rank) deactivate(fl *flow) {
	if fl.state == flowParked {
		ra.unpark(fl)
	}
	heap.Remove(&ra.waiting, fl.index)
	ra.weight -= fl.ws.weight
	if ra.count == 0 {
		ra.weight, ra.cost = 0, 0 // clears the accumulated rounding error
	}
	fl.state = flowIdle
	heap.Push(&ra.idle, fl)
}

// unpark moves a parked flow to the waiting flows. The order of parked does not
// matter, so the last flow takes its place.
func (ra *rank) unpark(fl *flow) {
	last := len(ra.parked) - 1
	ra.parked[fl.index] = ra.parked[last]
	ra.parked[fl.index].index = fl.index
	ra.parked[last] = nil
	ra.parked = ra.parked[:last]
	fl.state = flowWaiting
	fl.tag = max(fl.tag, ra.vtime)
	heap.Push(&ra.waiting, fl)
}

// park takes a flow with only suspects out of the waiting flows.
func (ra *rank) park(fl *flow) {
	heap.Remove(&ra.waiting, fl.index)
	fl.state = flowParked
	fl.index = len(ra.parked)
	ra.parked = append(ra.parked, fl)
}

// unparkAll makes the parked flows schedulable once the running suspect has ended.
func (ra *rank) unparkAll() {
	for len(ra.parked) > 0 {
		ra.unpark(ra.parked[len(ra.parked)-1])
	}
}

// adjustTag advances a flow's start tag by a cost: that of an item, or the
// difference between its actual and estimated cost.
func (ra *rank) adjustTag(fl *flow, delta float64) {
	fl.tag += delta / fl.ws.weight
	switch fl.state {
	case flowWaiting:
		heap.Fix(&ra.waiting, fl.index)
	case flowIdle:
		heap.Fix(&ra.idle, fl.index)
	}
}

// evictIdle evicts idle flows whose start tag is not ahead of the virtual time,
// and above maxIdleFlows also those that are the least ahead. It calls evicted for each.
func (ra *rank) evictIdle(evicted func(*flow)) {
	for len(ra.idle) > 0 && (ra.idle[0].tag <= ra.vtime || len(ra.idle) > maxIdleFlows) {
		fl := heap.Pop(&ra.idle).(*flow)
		delete(ra.flows, fl.ws.name)
		evicted(fl)
	}
}

// next returns the next item that may run, or nil. It parks flows that have
// only suspects if skipSuspects is set.
func (ra *rank) next(skipSuspects bool) *queuedItem {
	for len(ra.waiting) > 0 {
		fl := ra.waiting[0]
		if qi := fl.head(skipSuspects); qi != nil {
			return qi
		}
		ra.park(fl)
	}
	return nil
}
