// Package follow keeps a process's view of its site in step with the
// platform's store.
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
	// feedWait is how long the store holds a call for changes. A connection that
	// has gone silent is noticed after this and the time of an answer. That is
	// below the time after which a process counts as in touch again.
	feedWait = 2 * time.Second
	// memberPace is the time between two reads of the upstreams' table by all
	// entries together: the table changes with each heartbeat, and who reads
	// of a leaving upstream tells the others.
	memberPace = 200 * time.Millisecond
	// slowAnswer is an answer of the store that counts as trouble: heartbeats of
	// upstreams that take as long can miss their turn.
	slowAnswer = 500 * time.Millisecond
	// firstRetry and lastRetry bound the jittered wait after a failed call.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 800 * time.Millisecond
)

// Table is a table to follow.
type Table struct {
	Name string
	// Pace gives the least time between two reads; nil means none.
	Pace func() time.Duration
	// Whole says that a row without an entry in a scan has been removed.
	Whole bool
}

// Follower reads tables of the store into a view.
type Follower struct {
	clk    citronstream.Clock
	log    logr.Logger
	feed   citronstream.Feed
	view   *view.View
	calls  atomic.Uint64
	failed atomic.Uint64
	away   atomic.Bool
}

// New returns a follower that reads nothing yet.
func New(clk citronstream.Clock, log logr.Logger, feed citronstream.Feed, vi *view.View) *Follower {
	return &Follower{clk: clk, log: log, feed: feed, view: vi}
}

// Counts returns the calls to the store and how many of them failed.
func (fo *Follower) Counts() (calls, failed uint64) { return fo.calls.Load(), fo.failed.Load() }

// Away reports whether the last call to the store failed.
func (fo *Follower) Away() bool { return fo.away.Load() }

// ConfigTable returns the table with the configuration, which seldom changes.
func ConfigTable(name string) Table { return Table{Name: name} }

// MemberTable returns the table with the upstreams. Live gives the number of
// entries that read it, and most the longest time between two reads of one.
func MemberTable(name string, live func() int, most time.Duration) Table {
	return Table{Name: name, Whole: true, Pace: func() time.Duration { return min(time.Duration(live())*memberPace, most) }}
}

// Run follows a table until ctx ends.
func (fo *Follower) Run(ctx context.Context, ta Table) {
	after, known, wait := uint64(0), false, firstRetry
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
			fo.log.Info("history of the store is gone", "table", ta.Name, "revision", after)
		case err != nil:
			fo.note(ta, err)
			fo.sleep(ctx, wait/2+rand.N(wait))
			wait = min(2*wait, lastRetry)
			continue
		default:
			known, wait = true, firstRetry
			fo.note(ta, nil)
		}
		if ta.Pace == nil {
			continue
		}
		if rest := ta.Pace() - fo.clk.Since(began); rest > 0 {
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
	fo.judge(fo.clk.Since(began))
	if ta.Whole {
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
	fo.judge(fo.clk.Since(began) - feedWait)
	fo.view.Apply(changes, view.SourceStore)
	return next, nil
}

// judge takes a slow answer as a sign that heartbeats are late as well.
func (fo *Follower) judge(took time.Duration) {
	if took > slowAnswer {
		fo.view.Trouble()
	}
}

// note keeps what is known of the store, and logs when it is lost or regained.
func (fo *Follower) note(ta Table, err error) {
	if err == nil {
		if fo.away.Swap(false) {
			fo.log.Info("store regained", "table", ta.Name)
		}
		return
	}
	fo.failed.Add(1)
	fo.view.Trouble()
	if !fo.away.Swap(true) {
		fo.log.Info("store lost", "table", ta.Name, "reason", err.Error())
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
