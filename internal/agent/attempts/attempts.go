// Package attempts keeps the attempts that an agent has taken: waiting,
// running and finished ones, and the tombstones of those that it refused
// before they arrived.
package attempts

import (
	"container/list"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
)

// Bounds of what is kept for attempts that have ended.
const (
	keepFor      = 60 * time.Second
	maxFinished  = 65536
	maxKeptBytes = 16 << 20
	// orphanGrace is how long an attempt waits for its entry to come back
	// after the link was lost.
	orphanGrace = 3 * time.Second
)

// Table holds the attempts of one agent.
type Table struct {
	clk citronstream.Clock

	mu    sync.Mutex
	byID  map[string]*Attempt
	live  map[string]*Attempt // those of byID that wait or run
	ended *list.List          // *Attempt and tombstones, oldest first
	kept  int                 // bytes of output kept for ended attempts
}

// New returns an empty table.
func New(clk citronstream.Clock) *Table {
	return &Table{clk: clk, byID: make(map[string]*Attempt), live: make(map[string]*Attempt), ended: list.New()}
}

// Add takes a new attempt. It returns false, and the one that is known, if the
// identifier is known already; a tombstone counts as known.
func (ta *Table) Add(ca citronstream.Call) (*Attempt, bool) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if at, ok := ta.byID[ca.AttemptID]; ok {
		return at, false
	}
	now := ta.clk.Now()
	at := &Attempt{Call: ca, Arrived: now, Deadline: now.Add(ca.Left)}
	ta.byID[ca.AttemptID] = at
	ta.live[ca.AttemptID] = at
	return at, true
}

// Get returns the attempt of that identifier, or buries it: a tombstone
// makes a start that arrives later fail, so that NotRun stays true.
func (ta *Table) Get(id string) (*Attempt, bool) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if at, ok := ta.byID[id]; ok {
		return at, !at.tombstone
	}
	at := &Attempt{Call: citronstream.Call{AttemptID: id}, tombstone: true, phase: Ended}
	ta.byID[id] = at
	ta.retire(at)
	return nil, false
}

// Ended moves an attempt to the ended ones, and forgets the oldest of them.
func (ta *Table) Ended(at *Attempt) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.retire(at)
}

// Forget drops the ended attempts that are older than they are kept. Without
// calls none ends that would push them out.
func (ta *Table) Forget() {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.forget(ta.clk.Now())
}

func (ta *Table) retire(at *Attempt) {
	delete(ta.live, at.Call.AttemptID)
	at.endedAt = ta.clk.Now()
	at.kept = at.size()
	ta.kept += at.kept
	ta.ended.PushBack(at)
	ta.forget(at.endedAt)
}

func (ta *Table) forget(now time.Time) {
	for front := ta.ended.Front(); front != nil; front = ta.ended.Front() {
		old := front.Value.(*Attempt)
		if ta.ended.Len() <= maxFinished && ta.kept <= maxKeptBytes && now.Sub(old.endedAt) < keepFor {
			return
		}
		ta.ended.Remove(front)
		ta.kept -= old.kept
		delete(ta.byID, old.Call.AttemptID)
	}
}

// Live returns the attempts that wait or run.
func (ta *Table) Live() []*Attempt {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	live := make([]*Attempt, 0, len(ta.live))
	for _, at := range ta.live {
		live = append(live, at)
	}
	return live
}

// Len returns the number of identifiers that the table holds.
func (ta *Table) Len() int {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return len(ta.byID)
}
