// Package fairqueue implements the queue discipline "fair" (docs/design.md
// section 8): ranks with minimum shares (floors), start-time fair queueing of
// workspaces in a rank, and earliest deadline first in a workspace.
package fairqueue

import (
	"container/heap"
	"math"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/kernel/discipline"
)

// Item is a waiting call.
type Item = citronstream.Item

// minCost is the least cost of a call. It replaces missing or negative estimates.
const minCost = 1e-3

// accountWindow is the time constant of the credit and recent cost of the ranks.
// It spans a few deadlines of the rank with the longest one, 6 s.
const accountWindow = 10 * time.Second

// Queue is a citronstream.Discipline. Each item returned by Pop must be passed
// to Done once. Push, Pop, Remove and Done take O(log n).
type Queue struct {
	clk         citronstream.Clock
	capacity    int
	initialRate float64 // throughput assumed before the first measurement

	mu             sync.Mutex
	maxQueued      int
	ranks          []*rank
	workspaces     map[string]*workspace
	weights        map[string]float64
	longest        byLength
	items          map[string]*queuedItem
	cost           float64
	decayed        time.Time
	seq            uint64
	running        int
	runningSuspect string // ID of the running suspect; empty if there is none
	measured       throughput
}

// Option changes a Queue.
type Option func(*Queue)

// WithCapacity sets how many calls the upstream runs concurrently. Default 1.
func WithCapacity(calls int) Option { return func(qu *Queue) { qu.capacity = max(calls, 1) } }

// WithRate sets the initial estimate of the throughput, in cost units a second. Default 1.
func WithRate(rate float64) Option {
	return func(qu *Queue) {
		if rate > 0 {
			qu.initialRate = rate
		}
	}
}

// New returns an empty queue with the ranks, weights and queue limit of the fleet.
func New(clk citronstream.Clock, fl citronstream.Fleet, opts ...Option) *Queue {
	qu := &Queue{
		clk: clk, capacity: 1, initialRate: 1,
		workspaces: make(map[string]*workspace), items: make(map[string]*queuedItem),
		decayed: clk.Now(),
	}
	for _, opt := range opts {
		opt(qu)
	}
	qu.measured = throughput{seconds: float64(qu.capacity) / qu.initialRate, cost: 1, updated: clk.Now()}
	qu.Configure(fl)
	return qu
}

func init() {
	discipline.Registry.Register("fair", func(se discipline.Settings) citronstream.Discipline {
		return New(se.Clock, se.Fleet, WithCapacity(se.Capacity), WithRate(se.Rate))
	})
}

// Push adds an item. It refuses with a Fault (NotRun, CodeOverloaded,
// RetryAfter) if the estimated wait and run time exceed the deadline, or if the
// queue is full and the item is the one to evict: the newest in the least urgent
// rank of the workspace with the longest queue relative to its weight.
func (qu *Queue) Push(item Item) ([]Item, error) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	if _, ok := qu.items[item.ID]; ok {
		// NotRun would be false: the first item with this ID may still run.
		return nil, citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeConflict, "item %s is already queued", item.ID)
	}
	cost := costOf(item.Cost)
	ra := qu.rank(item.Rank)
	need := qu.wait(ra, item.Workspace, cost) + qu.runTime(cost)
	if remaining := item.Deadline.Sub(qu.clk.Now()); need > remaining && !(remaining > 0 && qu.admitsProbe(len(qu.items))) {
		return nil, overloaded(need-remaining, "estimated completion in %s, deadline in %s", need, remaining)
	}
	qu.seq++
	qi := &queuedItem{item: item, cost: cost, seq: qu.seq}
	qu.insert(ra, qi)
	if len(qu.items) <= qu.maxQueued {
		return nil, nil
	}
	victim := qu.longest[0].leastUrgent().newest
	qu.removeItem(victim)
	if victim == qi {
		return nil, overloaded(qu.runTime(qu.cost), "workspace %s has the longest queue and the limit of %d items is reached", item.Workspace, qu.maxQueued)
	}
	return []Item{victim.item}, nil
}

// admitsProbe reports whether the upstream is idle, so that an item runs
// regardless of the estimate. Only completed calls correct the estimate: without
// a probe, one that is too high after a slow period would refuse all work forever.
func (qu *Queue) admitsProbe(ahead int) bool { return ahead == 0 && qu.running == 0 }

// minRetryAfter keeps refused callers from retrying immediately.
const minRetryAfter = 50 * time.Millisecond

func overloaded(after time.Duration, format string, args ...any) error {
	fa := citronstream.NewFault(citronstream.NotRun, citronstream.CodeOverloaded, format, args...)
	fa.RetryAfter = max(after, minRetryAfter)
	return fa
}

func costOf(cost float64) float64 {
	if !(cost >= minCost) || math.IsInf(cost, 1) { // also true for NaN
		return minCost
	}
	return cost
}

// leastUrgent returns the workspace's nonempty flow in the least urgent rank.
func (ws *workspace) leastUrgent() *flow {
	var found *flow
	for _, fl := range ws.flows {
		if fl.len() > 0 && (found == nil || fl.rank.index > found.rank.index) {
			found = fl
		}
	}
	return found
}

// rank returns the rank of an index. An index out of range means the least
// urgent rank, so that an invalid message gains no priority.
func (qu *Queue) rank(index int) *rank {
	if index < 0 || index >= len(qu.ranks) {
		index = len(qu.ranks) - 1
	}
	return qu.ranks[index]
}

func (qu *Queue) workspace(name string) *workspace {
	ws, ok := qu.workspaces[name]
	if !ok {
		ws = &workspace{name: name, weight: qu.weightOf(name), index: -1}
		qu.workspaces[name] = ws
	}
	return ws
}

func (qu *Queue) insert(ra *rank, qi *queuedItem) {
	ws := qu.workspace(qi.item.Workspace)
	fl := ra.flow(ws)
	if ra.count == 0 {
		// A rank that was empty keeps credit for at most one call. With more, a
		// later burst would block the other ranks for a while; with none, a rank
		// whose queue is sometimes empty would not reach its floor.
		ra.credit = min(ra.credit, ra.lastCost)
	}
	ra.count++
	ra.cost += qi.cost
	qu.cost += qi.cost
	qu.items[qi.item.ID] = qi
	fl.add(qi)
	switch {
	case fl.state == flowIdle:
		ra.activate(fl)
	case fl.state == flowParked && !qi.item.Suspect:
		// This item can run although the suspects of the flow must wait.
		ra.unpark(fl)
	}
	ws.count++
	if ws.index < 0 {
		heap.Push(&qu.longest, ws)
	} else {
		heap.Fix(&qu.longest, ws.index)
	}
}

// removeItem removes a waiting item from all structures.
func (qu *Queue) removeItem(qi *queuedItem) {
	fl, ra, ws := qi.flow, qi.flow.rank, qi.flow.ws
	fl.remove(qi)
	delete(qu.items, qi.item.ID)
	ra.count--
	ra.cost -= qi.cost
	qu.cost -= qi.cost
	if len(qu.items) == 0 {
		qu.cost = 0 // clears the accumulated rounding error
	}
	if fl.len() == 0 {
		ra.deactivate(fl)
		qu.evictIdle(ra)
	}
	ws.count--
	if ws.count == 0 {
		heap.Remove(&qu.longest, ws.index)
	} else {
		heap.Fix(&qu.longest, ws.index)
	}
}

// Pop implements citronstream.Discipline. The dropped items could no longer
// meet their deadlines.
func (qu *Queue) Pop() (Item, []Item, bool) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.decay()
	var dropped []Item
	now := qu.clk.Now()
	for {
		qi := qu.next()
		if qi == nil {
			return Item{}, dropped, false
		}
		fl, ra := qi.flow, qi.flow.rank
		late := now.Add(qu.runTime(qi.cost)).After(qi.item.Deadline)
		if late && !(now.Before(qi.item.Deadline) && qu.admitsProbe(0)) {
			qu.removeItem(qi)
			dropped = append(dropped, qi.item)
			continue
		}
		ra.vtime = max(ra.vtime, fl.tag)
		ra.adjustTag(fl, qi.cost)
		qu.charge(ra, qi.cost, qi.cost)
		qu.removeItem(qi)
		qu.running++
		if qi.item.Suspect {
			qu.runningSuspect = qi.item.ID
		}
		return qi.item, dropped, true
	}
}

// next returns the next item of the most urgent rank with positive credit, or
// else of the most urgent rank that can run one.
func (qu *Queue) next() *queuedItem {
	skipSuspects := qu.runningSuspect != ""
	var first *queuedItem
	for _, ra := range qu.ranks {
		if ra.count == 0 || first != nil && ra.credit <= 0 {
			continue
		}
		qi := ra.next(skipSuspects)
		if qi == nil {
			continue
		}
		if ra.credit > 0 {
			return qi
		}
		first = qi
	}
	return first
}

// charge charges cost to a rank, for a call that costs callCost in total, and
// credits each rank with its floor of it; insert limits the credit of a rank
// without work. A rank that used service left over by others gets a negative
// credit of at most this call: a lower one would deny it its floor as soon as
// the others have work again.
func (qu *Queue) charge(ra *rank, cost, callCost float64) {
	for _, other := range qu.ranks {
		other.credit += other.floor * cost
	}
	ra.credit = max(ra.credit-cost, -callCost)
	ra.recentCost = max(ra.recentCost+cost, 0)
	ra.lastCost = callCost
}

// decay reduces credit and recent cost by the time since the last call.
func (qu *Queue) decay() {
	now := qu.clk.Now()
	past := now.Sub(qu.decayed)
	if past <= 0 {
		return
	}
	qu.decayed = now
	factor := math.Exp(-past.Seconds() / accountWindow.Seconds())
	for _, ra := range qu.ranks {
		ra.recentCost *= factor
		ra.credit *= factor
	}
}

// evictIdle evicts idle flows of a rank, and workspaces without flows.
func (qu *Queue) evictIdle(ra *rank) {
	ra.evictIdle(func(fl *flow) {
		ws := fl.ws
		for i, other := range ws.flows {
			if other == fl {
				ws.flows = append(ws.flows[:i], ws.flows[i+1:]...)
				break
			}
		}
		if len(ws.flows) == 0 {
			delete(qu.workspaces, ws.name)
		}
	})
}

// Remove implements citronstream.Discipline.
func (qu *Queue) Remove(id string) bool {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qi, ok := qu.items[id]
	if ok {
		qu.removeItem(qi)
	}
	return ok
}

// Done implements citronstream.Discipline. Cost is the actual cost; 0, as for a
// call that failed, keeps the estimate. Took is the time at the upstream.
func (qu *Queue) Done(item Item, cost float64, took time.Duration) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.running = max(qu.running-1, 0)
	if item.Suspect && qu.runningSuspect == item.ID {
		qu.runningSuspect = ""
		for _, ra := range qu.ranks {
			ra.unparkAll()
		}
	}
	if !(cost > 0) || math.IsInf(cost, 1) {
		return
	}
	qu.measured.add(qu.clk.Now(), cost, took)
	qu.decay()
	ra, delta := qu.rank(item.Rank), cost-costOf(item.Cost)
	qu.charge(ra, delta, cost)
	if delta != 0 {
		ra.adjustTag(ra.flow(qu.workspace(item.Workspace)), delta)
		qu.evictIdle(ra)
	}
}

// RankCosts implements citronstream.Discipline.
func (qu *Queue) RankCosts() []float64 {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	costs := make([]float64, len(qu.ranks))
	for i, ra := range qu.ranks {
		costs[i] = ra.cost
	}
	return costs
}

// Len implements citronstream.Discipline.
func (qu *Queue) Len() int {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	return len(qu.items)
}

// Cost implements citronstream.Discipline.
func (qu *Queue) Cost() float64 {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	return qu.cost
}
