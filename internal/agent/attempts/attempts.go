// Package attempts keeps the attempts of an agent: waiting, running and ended
// ones, and tombstones for attempts that were cancelled or queried before they
// arrived.
package attempts

import (
	"container/list"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
)

// Bounds of what is kept for attempts that have ended.
const (
	keepDuration = 60 * time.Second
	maxFinished  = 65536
	maxKeptBytes = 16 << 20
	// orphanGrace is how long an attempt waits for its entry to reconnect
	// after the link was lost.
	orphanGrace = 3 * time.Second
)

// Table holds the attempts of one agent.
type Table struct {
	clk citronstream.Clock

	mu        sync.Mutex
	byID      map[string]*Attempt
	live      map[string]*Attempt // those of byID that are waiting or running
	ended     *list.List          // *Attempt and tombstones, oldest first
	keptBytes int                 // bytes of output kept for ended attempts
}

// New returns an empty table.
func New(clk citronstream.Clock) *Table {
	return &Table{clk: clk, byID: make(map[string]*Attempt), live: make(map[string]*Attempt), ended: list.New()}
}

// Add adds a new attempt. If the table already has an attempt or a tombstone with
// the identifier, it returns that and false.
func (ta *Table) Add(ca citronstream.Call) (*Attempt, bool) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if att, ok := ta.byID[ca.AttemptID]; ok {
		return att, false
	}
	now := ta.clk.Now()
	att := &Attempt{Call: ca, Arrived: now, Deadline: now.Add(ca.Left)}
	ta.byID[ca.AttemptID] = att
	ta.live[ca.AttemptID] = att
	return att, true
}

// GetOrTombstone returns the attempt with the identifier, or adds a tombstone: a start that
// arrives later is then refused, so that an answer of NotRun stays true.
func (ta *Table) GetOrTombstone(id string) (*Attempt, bool) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if att, ok := ta.byID[id]; ok {
		return att, !att.tombstone
	}
	att := &Attempt{Call: citronstream.Call{AttemptID: id}, tombstone: true, phase: Ended}
	ta.byID[id] = att
	ta.addEnded(att)
	return nil, false
}

// Ended moves an attempt to the ended ones, and drops expired ones.
func (ta *Table) Ended(att *Attempt) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.addEnded(att)
}

// Forget drops ended attempts that have expired. Ended does so too, but is not
// called while the agent has no calls.
func (ta *Table) Forget() {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.forget(ta.clk.Now())
}

func (ta *Table) addEnded(att *Attempt) {
	delete(ta.live, att.Call.AttemptID)
	att.endedAt = ta.clk.Now()
	att.keptBytes = att.size()
	ta.keptBytes += att.keptBytes
	ta.ended.PushBack(att)
	ta.forget(att.endedAt)
}

func (ta *Table) forget(now time.Time) {
	for front := ta.ended.Front(); front != nil; front = ta.ended.Front() {
		old := front.Value.(*Attempt)
		if ta.ended.Len() <= maxFinished && ta.keptBytes <= maxKeptBytes && now.Sub(old.endedAt) < keepDuration {
			return
		}
		ta.ended.Remove(front)
		ta.keptBytes -= old.keptBytes
		delete(ta.byID, old.Call.AttemptID)
	}
}

// Live returns the waiting and running attempts.
func (ta *Table) Live() []*Attempt {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	live := make([]*Attempt, 0, len(ta.live))
	for _, att := range ta.live {
		live = append(live, att)
	}
	return live
}

// Len returns the number of identifiers that the table holds.
func (ta *Table) Len() int {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return len(ta.byID)
}
