package fairqueue

import "container/heap"

// maxIdle bounds the flows that a rank remembers without waiting items. The
// full size has 1,700 workspaces.
const maxIdle = 4096

// workspace counts the waiting items of one workspace over all ranks.
type workspace struct {
	name   string
	weight float64
	count  int
	at     int // index in Queue.longest; -1 when nothing waits
	flows  []*flow
}

// flow is the queue of one workspace in one rank.
type flow struct {
	ws       *workspace
	rk       *rank
	tag      float64 // start tag of the next item, in cost units by weight
	cost     float64
	normal   byDeadline
	suspects byDeadline
	newest   *node
	at       int   // index in the collection named by state
	state    uint8 // which collection of the rank holds the flow
}

// States of a flow.
const (
	flowIdle    uint8 = iota // nothing waits; in rank.idle
	flowWaiting              // in rank.waiting
	flowParked               // only suspects wait and one is running; in rank.parked
)

func (fl *flow) len() int { return len(fl.normal) + len(fl.suspects) }

// head returns the item with the earliest deadline. It passes over suspects
// when skip is set, and returns nil if nothing else waits.
func (fl *flow) head(skip bool) *node {
	switch {
	case skip || len(fl.suspects) == 0:
		if len(fl.normal) == 0 {
			return nil
		}
		return fl.normal[0]
	case len(fl.normal) == 0 || fl.suspects[0].it.Deadline.Before(fl.normal[0].it.Deadline):
		return fl.suspects[0]
	default:
		return fl.normal[0]
	}
}

func (fl *flow) heapOf(no *node) *byDeadline {
	if no.it.Suspect {
		return &fl.suspects
	}
	return &fl.normal
}

func (fl *flow) add(no *node) {
	no.fl = fl
	heap.Push(fl.heapOf(no), no)
	fl.cost += no.cost
	no.prev, no.next = fl.newest, nil
	if fl.newest != nil {
		fl.newest.next = no
	}
	fl.newest = no
}

func (fl *flow) remove(no *node) {
	heap.Remove(fl.heapOf(no), no.at)
	fl.cost -= no.cost
	if no.next != nil {
		no.next.prev = no.prev
	} else {
		fl.newest = no.prev
	}
	if no.prev != nil {
		no.prev.next = no.next
	}
	no.prev, no.next = nil, nil
	if fl.len() == 0 {
		fl.cost = 0 // removes the rounding left over by subtraction
	}
}

// rank schedules the flows of one priority class by start-time fair queueing.
type rank struct {
	index  int
	floor  float64
	used   float64 // cost served, decayed over accountWindow
	owed   float64 // floor x cost served in all ranks, less the cost served in this one; decayed
	last   float64 // cost of the call that ran last
	cost   float64 // cost waiting
	count  int
	weight float64 // sum of the weights of flows that wait
	vtime  float64 // start tag of the item popped last

	flows   map[string]*flow
	waiting byTag
	idle    byTag
	parked  []*flow
}

func newRank(index int) *rank { return &rank{index: index, flows: make(map[string]*flow)} }

// flow returns the flow of a workspace, and makes it if it is not remembered.
func (ra *rank) flow(ws *workspace) *flow {
	if fl, ok := ra.flows[ws.name]; ok {
		return fl
	}
	fl := &flow{ws: ws, rk: ra, tag: ra.vtime, at: -1}
	ra.flows[ws.name] = fl
	ws.flows = append(ws.flows, fl)
	heap.Push(&ra.idle, fl)
	return fl
}

// activate moves a flow that has got its first item to the waiting ones.
func (ra *rank) activate(fl *flow) {
	heap.Remove(&ra.idle, fl.at)
	// A flow that was idle gets no credit for the time it did not use.
	fl.tag = max(fl.tag, ra.vtime)
	fl.state = flowWaiting
	ra.weight += fl.ws.weight
	heap.Push(&ra.waiting, fl)
}

// settle moves a flow whose last item has gone to the idle ones.
func (ra *rank) settle(fl *flow) {
	if fl.state == flowParked {
		ra.release(fl)
	}
	heap.Remove(&ra.waiting, fl.at)
	ra.weight -= fl.ws.weight
	if ra.count == 0 {
		ra.weight, ra.cost = 0, 0 // removes the rounding left over by subtraction
	}
	fl.state = flowIdle
	heap.Push(&ra.idle, fl)
}

// release returns a parked flow to the waiting ones. at is its index in
// parked, whose order does not matter.
func (ra *rank) release(fl *flow) {
	last := len(ra.parked) - 1
	ra.parked[fl.at] = ra.parked[last]
	ra.parked[fl.at].at = fl.at
	ra.parked[last] = nil
	ra.parked = ra.parked[:last]
	fl.state = flowWaiting
	fl.tag = max(fl.tag, ra.vtime)
	heap.Push(&ra.waiting, fl)
}

// park sets aside the first waiting flow, which has nothing but suspects.
func (ra *rank) park(fl *flow) {
	heap.Remove(&ra.waiting, fl.at)
	fl.state = flowParked
	fl.at = len(ra.parked)
	ra.parked = append(ra.parked, fl)
}

// unpark makes the parked flows schedulable after the running suspect has ended.
func (ra *rank) unpark() {
	for len(ra.parked) > 0 {
		ra.release(ra.parked[len(ra.parked)-1])
	}
}

// retag moves a flow's start tag by the difference between estimated and true cost.
func (ra *rank) retag(fl *flow, by float64) {
	fl.tag += by / fl.ws.weight
	switch fl.state {
	case flowWaiting:
		heap.Fix(&ra.waiting, fl.at)
	case flowIdle:
		heap.Fix(&ra.idle, fl.at)
	}
}

// forget drops idle flows whose tag holds no debt, and the ones with the
// least debt above maxIdle. It calls dropped for each.
func (ra *rank) forget(dropped func(*flow)) {
	for len(ra.idle) > 0 && (ra.idle[0].tag <= ra.vtime || len(ra.idle) > maxIdle) {
		fl := heap.Pop(&ra.idle).(*flow)
		delete(ra.flows, fl.ws.name)
		dropped(fl)
	}
}

// next returns the first item that may run, or nil. It parks flows that
// have only suspects while one runs.
func (ra *rank) next(skipSuspects bool) *node {
	for len(ra.waiting) > 0 {
		fl := ra.waiting[0]
		if no := fl.head(skipSuspects); no != nil {
			return no
		}
		ra.park(fl)
	}
	return nil
}
