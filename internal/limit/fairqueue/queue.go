// Package fairqueue is the queue discipline "fair" of docs/design.md section 8:
// ranks with floors, start-time fair queueing of the workspaces inside a
// rank, and earliest deadline first inside a workspace.
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

// minCost replaces missing or negative estimates, so that each call is charged.
const minCost = 1e-3

// accountWindow is the time constant of the accounts of the ranks. It
// spans a few deadlines of the longest rank at 6 s.
const accountWindow = 10 * time.Second

// Queue is the discipline. Each item returned by Pop must be given to Done
// once. Push, Pop, Remove and Done take O(log n).
type Queue struct {
	clk      citronstream.Clock
	capacity int
	first    float64 // first guess of the throughput

	mu         sync.Mutex
	max        int
	ranks      []*rank
	workspaces map[string]*workspace
	weights    map[string]float64
	longest    byLength
	nodes      map[string]*node
	cost       float64
	decayed    time.Time
	seq        uint64
	running    int
	suspect    string // ID of the suspect that runs; empty when none does
	speed      throughput
}

// Option changes a Queue.
type Option func(*Queue)

// WithCapacity sets how many calls the upstream runs side by side. Default 1.
func WithCapacity(calls int) Option { return func(qu *Queue) { qu.capacity = max(calls, 1) } }

// WithRate sets the first guess of the throughput, in cost units a second. Default 1.
func WithRate(rate float64) Option {
	return func(qu *Queue) {
		if rate > 0 {
			qu.first = rate
		}
	}
}

// New returns an empty queue with the ranks, weights and count cap of the fleet.
func New(clk citronstream.Clock, fl citronstream.Fleet, opts ...Option) *Queue {
	qu := &Queue{
		clk: clk, capacity: 1, first: 1,
		workspaces: make(map[string]*workspace), nodes: make(map[string]*node),
		decayed: clk.Now(),
	}
	for _, opt := range opts {
		opt(qu)
	}
	qu.speed = throughput{seconds: float64(qu.capacity) / qu.first, cost: 1, last: clk.Now()}
	qu.Configure(fl)
	return qu
}

func init() {
	discipline.Registry.Register("fair", func(se discipline.Settings) citronstream.Discipline {
		return New(se.Clock, se.Fleet, WithCapacity(se.Capacity), WithRate(se.Rate))
	})
}

// Push adds an item. It refuses with a Fault (NotRun, CodeOverloaded,
// RetryAfter) if the estimated wait and run time pass the deadline, or if the
// queue is full and the item's own workspace has the longest queue.
func (qu *Queue) Push(it Item) ([]Item, error) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	if _, ok := qu.nodes[it.ID]; ok {
		// The first item of this ID may still run, so that NotRun would be false.
		return nil, citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeConflict, "item %s waits already", it.ID)
	}
	cost := costOf(it.Cost)
	ra := qu.rank(it.Rank)
	need := qu.wait(ra, it.Workspace, cost) + qu.service(cost)
	if left := it.Deadline.Sub(qu.clk.Now()); need > left && !(left > 0 && qu.probes(len(qu.nodes))) {
		return nil, overloaded(need-left, "needs %s, deadline in %s", need, left)
	}
	qu.seq++
	no := &node{it: it, cost: cost, seq: qu.seq}
	qu.insert(ra, no)
	if len(qu.nodes) <= qu.max {
		return nil, nil
	}
	victim := qu.longest[0].leastUrgent().newest
	qu.take(victim)
	if victim == no {
		return nil, overloaded(qu.service(qu.cost), "workspace %s has the longest of %d queued", it.Workspace, qu.max)
	}
	return []Item{victim.it}, nil
}

// probes says that the upstream is idle, so that an item runs whatever the
// estimate says. Only calls that run correct the estimate: without a probe, an
// estimate raised by a slow spell would refuse all work for good.
func (qu *Queue) probes(ahead int) bool { return ahead == 0 && qu.running == 0 }

// minRetryAfter keeps refused callers from returning at once.
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

// leastUrgent returns the workspace's waiting flow of the least urgent rank.
func (ws *workspace) leastUrgent() *flow {
	var found *flow
	for _, fl := range ws.flows {
		if fl.len() > 0 && (found == nil || fl.rk.index > found.rk.index) {
			found = fl
		}
	}
	return found
}

// rank returns the rank of that index. An index out of range is treated as
// the least urgent, so that a wrong message gains no priority.
func (qu *Queue) rank(index int) *rank {
	if index < 0 || index >= len(qu.ranks) {
		index = len(qu.ranks) - 1
	}
	return qu.ranks[index]
}

func (qu *Queue) workspace(name string) *workspace {
	ws, ok := qu.workspaces[name]
	if !ok {
		ws = &workspace{name: name, weight: qu.weightOf(name), at: -1}
		qu.workspaces[name] = ws
	}
	return ws
}

func (qu *Queue) insert(ra *rank, no *node) {
	ws := qu.workspace(no.it.Workspace)
	fl := ra.flow(ws)
	if ra.count == 0 {
		// A rank that had nothing to run keeps credit for one call. With more, a
		// late burst would shut out the other ranks for a while; with none, a rank
		// whose queue runs empty now and then falls short of its floor.
		ra.owed = min(ra.owed, ra.last)
	}
	ra.count++
	ra.cost += no.cost
	qu.cost += no.cost
	qu.nodes[no.it.ID] = no
	fl.add(no)
	switch {
	case fl.state == flowIdle:
		ra.activate(fl)
	case fl.state == flowParked && !no.it.Suspect:
		// The flow can run this item at once, although its suspects wait.
		ra.release(fl)
	}
	ws.count++
	if ws.at < 0 {
		heap.Push(&qu.longest, ws)
	} else {
		heap.Fix(&qu.longest, ws.at)
	}
}

// take removes a waiting item from all structures.
func (qu *Queue) take(no *node) {
	fl, ra, ws := no.fl, no.fl.rk, no.fl.ws
	fl.remove(no)
	delete(qu.nodes, no.it.ID)
	ra.count--
	ra.cost -= no.cost
	qu.cost -= no.cost
	if len(qu.nodes) == 0 {
		qu.cost = 0 // removes the rounding left over by subtraction
	}
	if fl.len() == 0 {
		ra.settle(fl)
		qu.forget(ra)
	}
	ws.count--
	if ws.count == 0 {
		heap.Remove(&qu.longest, ws.at)
	} else {
		heap.Fix(&qu.longest, ws.at)
	}
}

// Pop implements citronstream.Discipline. The dropped items had no chance to
// meet their deadline any more.
func (qu *Queue) Pop() (Item, []Item, bool) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.decay()
	var dropped []Item
	now := qu.clk.Now()
	for {
		no := qu.next()
		if no == nil {
			return Item{}, dropped, false
		}
		fl, ra := no.fl, no.fl.rk
		late := now.Add(qu.service(no.cost)).After(no.it.Deadline)
		if late && !(now.Before(no.it.Deadline) && qu.probes(0)) {
			qu.take(no)
			dropped = append(dropped, no.it)
			continue
		}
		ra.vtime = max(ra.vtime, fl.tag)
		ra.retag(fl, no.cost)
		qu.charge(ra, no.cost, no.cost)
		qu.take(no)
		qu.running++
		if no.it.Suspect {
			qu.suspect = no.it.ID
		}
		return no.it, dropped, true
	}
}

// next chooses the rank: the most urgent one that is owed service, or else
// the most urgent one that has work.
func (qu *Queue) next() *node {
	skip := qu.suspect != ""
	var first *node
	for _, ra := range qu.ranks {
		if ra.count == 0 || first != nil && ra.owed <= 0 {
			continue
		}
		no := ra.next(skip)
		if no == nil {
			continue
		}
		if ra.owed > 0 {
			return no
		}
		first = no
	}
	return first
}

// charge adds cost to the accounts for a call of the given whole cost. Each
// rank is owed its floor of it; insert cancels that for a rank without work. A rank that ran on lent service
// owes at most this call: a greater debt would take away its floor when the
// lender comes back.
func (qu *Queue) charge(ra *rank, cost, whole float64) {
	for _, other := range qu.ranks {
		other.owed += other.floor * cost
	}
	ra.owed = max(ra.owed-cost, -whole)
	ra.used = max(ra.used+cost, 0)
	ra.last = whole
}

// decay ages the accounts.
func (qu *Queue) decay() {
	now := qu.clk.Now()
	past := now.Sub(qu.decayed)
	if past <= 0 {
		return
	}
	qu.decayed = now
	factor := math.Exp(-past.Seconds() / accountWindow.Seconds())
	for _, ra := range qu.ranks {
		ra.used *= factor
		ra.owed *= factor
	}
}

func (qu *Queue) forget(ra *rank) {
	ra.forget(func(fl *flow) {
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
	no, ok := qu.nodes[id]
	if ok {
		qu.take(no)
	}
	return ok
}

// Done implements citronstream.Discipline. Cost is the true cost; 0 keeps the
// estimate, as for a call that failed. Took is the time at the upstream.
func (qu *Queue) Done(it Item, cost float64, took time.Duration) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.running = max(qu.running-1, 0)
	if it.Suspect && qu.suspect == it.ID {
		qu.suspect = ""
		for _, ra := range qu.ranks {
			ra.unpark()
		}
	}
	if !(cost > 0) || math.IsInf(cost, 1) {
		return
	}
	qu.speed.add(qu.clk.Now(), cost, took)
	qu.decay()
	ra, by := qu.rank(it.Rank), cost-costOf(it.Cost)
	qu.charge(ra, by, cost)
	if by != 0 {
		ra.retag(ra.flow(qu.workspace(it.Workspace)), by)
		qu.forget(ra)
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
	return len(qu.nodes)
}

// Cost implements citronstream.Discipline.
func (qu *Queue) Cost() float64 {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	return qu.cost
}
