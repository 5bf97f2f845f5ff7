// Package follow copies the tables of the platform's store into a process's
// view of its site and keeps them up to date. A few entries read the store for
// all; the others read only when those keep silent.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/coverage"
	"github.com/citronstream/citronstream/internal/fleet/readers"
	"github.com/citronstream/citronstream/internal/fleet/view"
	"github.com/go-logr/logr"
)

const (
	// feedWait is how long the store waits for changes before it answers a call, at
	// most. A connection that has gone silent is noticed only after this and a part of
	// the bound within which a change must apply, so the wait ends at the greatest age of
	// the copy, half of that bound.
	feedWait = 2 * time.Second
	// A reader that others rely on reads again when the copy has three quarters of
	// its greatest age, so that a message is told in time by each reader, however
	// the reads of several coincide. Between two reads it rests half of that age at
	// most, and the store waits for changes at least a quarter.
	tellAt      = 0.75
	restAtMost  = 0.5
	waitAtLeast = 0.25
	// memberInterval is the time between two reads of the upstreams' table by all
	// entries together. The table changes with each heartbeat, and the entry that
	// reads a change sends it to the others.
	memberInterval = 200 * time.Millisecond
	// sharedInterval is the same where few entries read for all.
	sharedInterval = 400 * time.Millisecond
	// slowAnswer is the time of an answer above which the store counts as
	// unreachable: heartbeats that take as long can come too late.
	slowAnswer = 500 * time.Millisecond
	// A process that has not read a table yet can serve nothing. While the store is silent,
	// its first read is made again each firstReadInterval, without giving up the reads that
	// wait, of which there are firstReads at most: a store that answers 60 times slower than
	// usual, after 0.25 s, must not be asked in vain.
	firstReadInterval = 250 * time.Millisecond
	firstReads        = 5
	// minRetry and maxRetry bound the wait after a failed call, before jitter. The time of
	// the store's return is known only as well as calls follow each other: rows that
	// expired are waited for until 2.2 s after it, which must end within the time of 3 s
	// after which a removal counts.
	minRetry = 100 * time.Millisecond
	maxRetry = 150 * time.Millisecond
	// listenerRetry is maxRetry for entries that rely on readers.
	listenerRetry = 800 * time.Millisecond
	// listenJitter spreads the reads of entries that notice at once that the readers
	// keep silent.
	listenJitter = 100 * time.Millisecond
)

// Table is a table of the store to follow.
type Table struct {
	Name string
	// MinInterval returns the time between two reads when the table changes all the
	// time, at most; nil means none.
	MinInterval func() time.Duration
	// MaxAge is the age of the copy above which an entry that relies on readers
	// reads the table itself.
	MaxAge time.Duration
}

// Follower reads tables of the store into a view.
type Follower struct {
	clk       citronstream.Clock
	log       logr.Logger
	feed      citronstream.Feed
	view      *view.View
	readers   func() readers.Choice
	onRead    func(changes []citronstream.Change, re *citronstream.Reading)
	onFirst   func(table string)
	calls     atomic.Uint64
	failed    atomic.Uint64
	storeDown atomic.Bool

	mu        sync.Mutex
	coverages map[string]*coverage.Coverage // by table
	wakes     map[string]chan struct{}      // by table
}

// Option configures a Follower.
type Option func(*Follower)

// WithReaders sets the choice of the entries that read for all; without it this
// entry reads for itself.
func WithReaders(choice func() readers.Choice) Option {
	return func(fo *Follower) { fo.readers = choice }
}

// WithOnRead sets the function that gets the rows of each read that others should
// know: all of its changes with a reading, else those that changed the view. Re is
// nil after a scan, which does not tell what was changed when, while a removal is
// not final, and if all entries read.
func WithOnRead(onRead func(changes []citronstream.Change, re *citronstream.Reading)) Option {
	return func(fo *Follower) { fo.onRead = onRead }
}

// WithOnFirstRead sets the function that is called when a table was read for the first time.
func WithOnFirstRead(onFirst func(table string)) Option {
	return func(fo *Follower) { fo.onFirst = onFirst }
}

// New returns a follower. Run starts it for a table.
func New(clk citronstream.Clock, log logr.Logger, feed citronstream.Feed, vi *view.View, opts ...Option) *Follower {
	fo := &Follower{
		clk: clk, log: log, feed: feed, view: vi, coverages: make(map[string]*coverage.Coverage), wakes: make(map[string]chan struct{}),
		readers: func() readers.Choice { return readers.Choice{Self: true, Count: 1} },
		onRead:  func([]citronstream.Change, *citronstream.Reading) {},
		onFirst: func(string) {},
	}
	for _, opt := range opts {
		opt(fo)
	}
	return fo
}

// Heard records that a reader has told all changes of a table. Only tables that
// this process has read before count.
func (fo *Follower) Heard(re citronstream.Reading) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if co := fo.coverages[re.Table]; co != nil {
		if now := fo.clk.Now(); !co.OwnTime(re.AsOf).After(now) {
			fo.view.StoreTold(re.Version, co.OwnTime(re.AsOf))
		}
		co.Heard(re.After, re.Version, re.AsOf, fo.clk.Now())
	}
}

// Refresh makes Run read a table again at once.
func (fo *Follower) Refresh(table string) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if co := fo.coverages[table]; co != nil {
		co.Expire()
	}
	select {
	case fo.wakeOf(table) <- struct{}{}:
	default:
	}
}

// Reread brings the copy of a table up to date at once, beside Run. Nobody is told of
// it: what is new here is old to those that have run all the while.
func (fo *Follower) Reread(ctx context.Context, ta Table) error {
	fo.mu.Lock()
	co := fo.coverages[ta.Name]
	if co == nil {
		fo.mu.Unlock()
		return nil // Run has yet to read it
	}
	after := co.Version()
	fo.mu.Unlock()
	fo.calls.Add(1)
	began := fo.clk.Now()
	changes, at, err := fo.feed.Changes(ctx, ta.Name, after, 0)
	if errors.Is(err, citronstream.ErrConnectionSilent) {
		fo.calls.Add(1)
		changes, at, err = fo.feed.Changes(ctx, ta.Name, after, 0)
	}
	if errors.Is(err, citronstream.ErrHistoryExpired) {
		return fo.rescan(ctx, ta)
	}
	if err != nil {
		return err
	}
	fo.view.StoreAnswered(at.Version, began)
	fo.view.Apply(changes, view.SourceStore)
	fo.recordRead(ta, at, began)
	return nil
}

func (fo *Follower) rescan(ctx context.Context, ta Table) error {
	fo.calls.Add(1)
	began := fo.clk.Now()
	rows, at, err := fo.feed.Scan(ctx, ta.Name)
	if err != nil {
		return err
	}
	fo.view.StoreAnswered(at.Version, began)
	fo.applyScan(ta, rows, at)
	fo.recordRead(ta, at, began)
	return nil
}

// wakeOf returns the channel that ends a sleep before the next read of a table.
// The caller holds the lock.
func (fo *Follower) wakeOf(table string) chan struct{} {
	if fo.wakes[table] == nil {
		fo.wakes[table] = make(chan struct{}, 1)
	}
	return fo.wakes[table]
}

// rest returns how long this process may leave a table to the readers; at most 0
// means that it has to read now: as a reader, or because the readers keep silent.
func (fo *Follower) rest(ta Table) time.Duration {
	if fo.readers().Self {
		return 0
	}
	fo.mu.Lock()
	defer fo.mu.Unlock()
	co := fo.coverages[ta.Name]
	if co == nil {
		return 0
	}
	return ta.MaxAge - co.Age(fo.clk.Now())
}

// recordRead records the state that a read has brought the copy of a table to.
func (fo *Follower) recordRead(ta Table, at citronstream.Stamp, asOf time.Time) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	co := fo.coverages[ta.Name]
	if co == nil {
		co = &coverage.Coverage{}
		fo.coverages[ta.Name] = co
	}
	co.Read(at.Version, asOf, at.Time)
}

// AsOf returns the time up to which the copy of a table is known to be complete, the zero
// value before its first read.
func (fo *Follower) AsOf(table string) time.Time {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if co := fo.coverages[table]; co != nil {
		return co.AsOf()
	}
	return time.Time{}
}

// Counts returns the number of calls to the store and how many of them failed.
func (fo *Follower) Counts() (calls, failed uint64) { return fo.calls.Load(), fo.failed.Load() }

// StoreDown reports whether the last call to the store failed.
func (fo *Follower) StoreDown() bool { return fo.storeDown.Load() }

// ConfigTable returns the table with the configuration, which changes rarely.
func ConfigTable(name string, maxAge time.Duration) Table { return Table{Name: name, MaxAge: maxAge} }

// MemberTable returns the table with the upstreams. MaxAge is the longest time
// between two reads by one entry.
func MemberTable(name string, choice func() readers.Choice, maxAge time.Duration) Table {
	return Table{Name: name, MaxAge: maxAge, MinInterval: func() time.Duration {
		ch := choice()
		if ch.Listeners {
			return min(time.Duration(ch.Count)*sharedInterval, portion(maxAge, restAtMost))
		}
		return min(time.Duration(ch.Count)*memberInterval, maxAge)
	}}
}

// Run follows a table until ctx ends.
func (fo *Follower) Run(ctx context.Context, ta Table) {
	after, known, wait := uint64(0), false, minRetry
	failing, silent := false, false
	for ctx.Err() == nil {
		if rest := fo.rest(ta); rest > 0 {
			known = false // after a pause the whole table is smaller than its changes
			fo.sleep(ctx, ta, rest+rand.N(listenJitter))
			continue
		}
		began, poll := fo.clk.Now(), time.Duration(0)
		var err error
		if known {
			if !failing { // else it asks whether the store is back, and for what was missed
				poll = fo.pollTime(ta)
			}
			after, err = fo.changes(ctx, ta, after, poll)
		} else {
			after, err = fo.scan(ctx, ta)
		}
		if ctx.Err() != nil {
			return
		}
		// A response that pauses on a new connection is one of a store that answers, over a
		// link that may be slow.
		again := errors.Is(err, citronstream.ErrConnectionSilent) && (!silent || errors.Is(err, citronstream.ErrResponsePaused))
		failing, silent = err != nil, again
		switch {
		case again: // at once on a new connection
			fo.failed.Add(1)
			fo.view.StoreFailed(fo.asked(began, poll))
			fo.log.Info("connection to the store silent", "table", ta.Name)
			continue
		case errors.Is(err, citronstream.ErrHistoryExpired):
			known = false
			fo.log.Info("change history expired, scanning the table", "table", ta.Name, "revision", citronstream.FormatVersion(after))
		case err != nil:
			fo.recordResult(ta, err, fo.asked(began, poll))
			fo.sleep(ctx, ta, wait/2+rand.N(wait))
			wait = min(2*wait, fo.maxRetry(ta))
			continue
		default:
			known, wait = true, minRetry
			fo.recordResult(ta, nil, began)
		}
		if ta.MinInterval == nil {
			continue
		}
		// A change ends the waits of all readers at once. They go on at different
		// times, so that one of them waits for the next change.
		interval := ta.MinInterval()
		if rest := interval/2 + rand.N(max(1, interval/2)) - fo.clk.Since(began); rest > 0 {
			fo.sleep(ctx, ta, rest)
		}
	}
}

// maxRetry returns the longest wait after a failed call. Entries that rely on readers
// hear from them when the store is back; those that have read nothing yet can't serve.
func (fo *Follower) maxRetry(ta Table) time.Duration {
	if fo.readers().Self || !fo.hasRead(ta) {
		return maxRetry
	}
	return max(listenerRetry, ta.MaxAge)
}

func (fo *Follower) scan(ctx context.Context, ta Table) (uint64, error) {
	began := fo.clk.Now()
	rows, at, err := fo.scanTable(ctx, ta)
	if err != nil {
		return 0, err
	}
	fo.checkLatency(fo.clk.Since(began))
	fo.view.StoreAnswered(at.Version, began)
	applied := fo.applyScan(ta, rows, at)
	if fo.hasRead(ta) {
		fo.onRead(applied, nil) // peers have read by themselves what a first scan returns
	} else {
		fo.onFirst(ta.Name)
	}
	fo.recordRead(ta, at, began)
	return at.Version, nil
}

// scanned is the outcome of a read of a whole table.
type scanned struct {
	rows []citronstream.Row
	at   citronstream.Stamp
	err  error
}

// scanTable reads a whole table. The first read of a process is made several times at once
// when the store is silent.
func (fo *Follower) scanTable(ctx context.Context, ta Table) ([]citronstream.Row, citronstream.Stamp, error) {
	most := firstReads
	if fo.hasRead(ta) {
		most = 1
	}
	ctx, cancel := context.WithCancel(ctx)
	var reads sync.WaitGroup
	defer reads.Wait()
	defer cancel()
	results := make(chan scanned, most)
	begin := func() {
		fo.calls.Add(1)
		reads.Go(func() {
			var sc scanned
			sc.rows, sc.at, sc.err = fo.feed.Scan(ctx, ta.Name)
			results <- sc
		})
	}
	begin()
	running := 1
	ticker := fo.clk.NewTicker(firstReadInterval)
	defer ticker.Stop()
	for {
		select {
		case sc := <-results:
			running--
			if sc.err == nil || running == 0 {
				return sc.rows, sc.at, sc.err
			}
		case <-ticker.Chan():
			if running < most {
				fo.view.StoreFailed(fo.clk.Now())
				begin()
				running++
			}
		}
	}
}

// applyScan applies all rows of a table and returns the changes.
func (fo *Follower) applyScan(ta Table, rows []citronstream.Row, at citronstream.Stamp) []citronstream.Change {
	return fo.view.Replace(ta.Name, rows, at.Version, view.SourceStore)
}

// hasRead reports whether the table was read before.
func (fo *Follower) hasRead(ta Table) bool {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.coverages[ta.Name] != nil
}

func (fo *Follower) changes(ctx context.Context, ta Table, after uint64, wait time.Duration) (uint64, error) {
	fo.calls.Add(1)
	began := fo.clk.Now()
	changes, at, err := fo.feed.Changes(ctx, ta.Name, after, wait)
	if err != nil {
		return after, err
	}
	took := fo.clk.Since(began)
	fo.checkLatency(took - wait)
	asOf := began
	if len(changes) == 0 && took > wait {
		asOf = began.Add(wait) // nothing has changed until then
	}
	fo.view.StoreAnswered(at.Version, asOf)
	applied := fo.view.Apply(changes, view.SourceStore)
	fo.recordRead(ta, at, asOf)
	if fo.readers().Listeners && fo.view.Settled(changes) {
		// All changes of the read, also those heard from another reader before, whose
		// message may not have reached everyone.
		fo.onRead(fo.view.Trim(changes), &citronstream.Reading{Table: ta.Name, After: after, Version: at.Version, AsOf: at.Time})
	} else {
		fo.onRead(applied, nil)
	}
	return at.Version, nil
}

// pollTime returns how long the store may wait for changes of a table: until the copy has
// its greatest age. Entries that do not read it must not take the silence between two
// answers for a loss of the readers, so these wait less.
func (fo *Follower) pollTime(ta Table) time.Duration {
	if ta.MaxAge <= 0 {
		return feedWait
	}
	wait := ta.MaxAge
	if fo.readers().Listeners {
		wait = portion(ta.MaxAge, tellAt)
	}
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if co := fo.coverages[ta.Name]; co != nil {
		wait -= co.Age(fo.clk.Now())
	}
	return min(feedWait, max(portion(ta.MaxAge, waitAtLeast), wait))
}

func portion(age time.Duration, share float64) time.Duration {
	return time.Duration(float64(age) * share)
}

// checkLatency treats a slow answer as a sign that heartbeats are late as well.
func (fo *Follower) checkLatency(took time.Duration) {
	if took > slowAnswer {
		fo.view.RecordStoreFailure()
	}
}

// recordResult records the result of a call and logs when the store becomes
// unreachable or reachable again.
func (fo *Follower) recordResult(ta Table, err error, asked time.Time) {
	if err == nil {
		if fo.storeDown.Swap(false) {
			fo.log.Info("store reachable again", "table", ta.Name)
			fo.wakeAll()
		}
		return
	}
	fo.failed.Add(1)
	fo.view.StoreFailed(asked)
	if !fo.storeDown.Swap(true) {
		fo.log.Info("store unreachable", "table", ta.Name, "reason", err.Error())
	}
}

// asked returns the last time at which the store was asked by a call that has failed.
func (fo *Follower) asked(began time.Time, poll time.Duration) time.Time {
	if now := fo.clk.Now(); began.Add(poll).After(now) {
		return now
	}
	return began.Add(poll)
}

// wakeAll ends the sleep before the next read of each table.
func (fo *Follower) wakeAll() {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	for _, wake := range fo.wakes {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// sleep waits before the next read of a table, until Refresh at most.
func (fo *Follower) sleep(ctx context.Context, ta Table, wait time.Duration) {
	fo.mu.Lock()
	wake := fo.wakeOf(ta.Name)
	fo.mu.Unlock()
	timer := fo.clk.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.Chan():
	}
}
