// Package follow copies the tables of the platform's store into a process's
// view of its site and keeps them up to date.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/view"
	"github.com/go-logr/logr"
)

const (
	// feedWait is how long the store waits for changes before it answers a call.
	// A dead connection is noticed after this and the time of an answer, which
	// together must be shorter than the time after which the store counts as
	// reachable again.
	feedWait = 2 * time.Second
	// memberInterval is the time between two reads of the upstreams' table by all
	// entries together. The table changes with each heartbeat, and the entry that
	// reads a change sends it to the others.
	memberInterval = 200 * time.Millisecond
	// slowAnswer is the time of an answer above which the store counts as
	// unreachable: heartbeats that take as long can come too late.
	slowAnswer = 500 * time.Millisecond
	// minRetry and maxRetry bound the wait after a failed call, before jitter.
	minRetry = 100 * time.Millisecond
	maxRetry = 800 * time.Millisecond
)

// Table is a table of the store to follow.
type Table struct {
	Name string
	// MinInterval returns the minimum time between two reads; nil means none.
	MinInterval func() time.Duration
	// Complete says that a known row that a scan doesn't return has been removed.
	Complete bool
}

// Follower reads tables of the store into a view.
type Follower struct {
	clk       citronstream.Clock
	log       logr.Logger
	feed      citronstream.Feed
	view      *view.View
	calls     atomic.Uint64
	failed    atomic.Uint64
	storeDown atomic.Bool
}

// New returns a follower. Run starts it for a table.
func New(clk citronstream.Clock, log logr.Logger, feed citronstream.Feed, vi *view.View) *Follower {
	return &Follower{clk: clk, log: log, feed: feed, view: vi}
}

// Counts returns the number of calls to the store and how many of them failed.
func (fo *Follower) Counts() (calls, failed uint64) { return fo.calls.Load(), fo.failed.Load() }

// StoreDown reports whether the last call to the store failed.
func (fo *Follower) StoreDown() bool { return fo.storeDown.Load() }

// ConfigTable returns the table with the configuration, which changes rarely.
func ConfigTable(name string) Table { return Table{Name: name} }

// MemberTable returns the table with the upstreams. Live returns the number of
// entries that read it, most is the longest time between two reads by one entry.
func MemberTable(name string, live func() int, most time.Duration) Table {
	return Table{Name: name, Complete: true, MinInterval: func() time.Duration { return min(time.Duration(live())*memberInterval, most) }}
}

// Run follows a table until ctx ends.
func (fo *Follower) Run(ctx context.Context, ta Table) {
	after, known, wait := uint64(0), false, minRetry
	for ctx.Err() == nil {
		began := fo.clk.Now()
		var err error
		if known {
			after, err = fo.changes(ctx, ta, after)
		} else {
			after, err = fo.scan(ctx, ta)
		}
		if ctx.Err() != nil {
			return
		}
		switch {
		case errors.Is(err, citronstream.ErrHistoryExpired):
			known = false
			fo.log.Info("change history expired, scanning the table", "table", ta.Name, "revision", after)
		case err != nil:
			fo.recordResult(ta, err)
			fo.sleep(ctx, wait/2+rand.N(wait))
			wait = min(2*wait, maxRetry)
			continue
		default:
			known, wait = true, minRetry
			fo.recordResult(ta, nil)
		}
		if ta.MinInterval == nil {
			continue
		}
		if rest := ta.MinInterval() - fo.clk.Since(began); rest > 0 {
			fo.sleep(ctx, rest)
		}
	}
}

func (fo *Follower) scan(ctx context.Context, ta Table) (uint64, error) {
	fo.calls.Add(1)
	began := fo.clk.Now()
	rows, version, err := fo.feed.Scan(ctx, ta.Name)
	if err != nil {
		return 0, err
	}
	fo.checkLatency(fo.clk.Since(began))
	if ta.Complete {
		fo.view.Replace(rows, version, view.SourceStore)
		return version, nil
	}
	changes := make([]citronstream.Change, len(rows))
	for i, row := range rows {
		changes[i] = citronstream.Change{Row: row}
	}
	fo.view.Apply(changes, view.SourceStore)
	return version, nil
}

func (fo *Follower) changes(ctx context.Context, ta Table, after uint64) (uint64, error) {
	fo.calls.Add(1)
	began := fo.clk.Now()
	changes, next, err := fo.feed.Changes(ctx, ta.Name, after, feedWait)
	if err != nil {
		return after, err
	}
	fo.checkLatency(fo.clk.Since(began) - feedWait)
	fo.view.Apply(changes, view.SourceStore)
	return next, nil
}

// checkLatency treats a slow answer as a sign that heartbeats are late as well.
func (fo *Follower) checkLatency(took time.Duration) {
	if took > slowAnswer {
		fo.view.RecordStoreFailure()
	}
}

// recordResult records the result of a call and logs when the store becomes
// unreachable or reachable again.
func (fo *Follower) recordResult(ta Table, err error) {
	if err == nil {
		if fo.storeDown.Swap(false) {
			fo.log.Info("store reachable again", "table", ta.Name)
		}
		return
	}
	fo.failed.Add(1)
	fo.view.RecordStoreFailure()
	if !fo.storeDown.Swap(true) {
		fo.log.Info("store unreachable", "table", ta.Name, "reason", err.Error())
	}
}

func (fo *Follower) sleep(ctx context.Context, wait time.Duration) {
	timer := fo.clk.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	}
}
