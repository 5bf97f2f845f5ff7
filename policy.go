package citronstream

import (
	"context"
	"time"
)

// PickRequest describes a call to a routing policy.
type PickRequest struct {
	Service string
	Zone    string // zone of the entry
	Model   string
	Rank    int // index of the priority class, most urgent first
	Cost    float64
	// Blocks are hashes of the prompt's leading blocks, for prefix affinity.
	Blocks []uint64
	// Exclude lists upstreams that this request must not use again.
	Exclude []string
	// Suspect marks content that was sent to an upstream that died.
	Suspect bool
}

// Picker is a routing policy. It is a plug-in and is called concurrently.
type Picker interface {
	// Pick returns the name of the upstream for a call and false if none can take it.
	Pick(pr PickRequest) (string, bool)
	// Sent and Ended report that a call was sent to an upstream and that it ended.
	Sent(upstream string, rank int, cost float64)
	Ended(upstream string, rank int, cost float64, took time.Duration, err error)
}

// Item is a call that waits in a queue.
type Item struct {
	ID        string
	Rank      int
	Workspace string
	Cost      float64 // estimated cost units
	Deadline  time.Time
	Suspect   bool
	Value     any
}

// Discipline is a queue discipline of an agent. It is a plug-in and needs
// no locking by the caller.
type Discipline interface {
	// Push adds an item. It returns the items that it displaced, and a
	// NotRun Fault if it rejected this one.
	Push(it Item) ([]Item, error)
	// Pop removes the next item to run, and the items that can no longer meet their deadline.
	// The bool is false when nothing can run.
	Pop() (Item, []Item, bool)
	// Remove removes a waiting item by its ID.
	Remove(id string) bool
	// Done replaces the estimated cost of an item that has run by the actual cost.
	Done(it Item, cost float64, took time.Duration)
	// Len returns the number of waiting items, Cost their cost units, and
	// RankCosts their cost units by rank, most urgent first.
	Len() int
	Cost() float64
	RankCosts() []float64
	// Wait estimates the wait of a new item of this rank and workspace.
	Wait(rank int, workspace string, cost float64) time.Duration
}

// Resolver asks the entries of the accepted configuration about calls that
// ran under a dead agent's grant.
type Resolver interface {
	// Resolve asks every configured entry to write the rows that it keeps for
	// this upstream and epoch. It returns the latest start time among the entries
	// and true if all of them confirmed.
	Resolve(ctx context.Context, upstream string, epoch uint64) (time.Time, bool)
}
