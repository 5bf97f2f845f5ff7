// Package version keeps the accepted configuration (design, section 12): the
// operators' compare-and-set on the table row, and the snapshot that each
// process holds and that only grows.
package version

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
	"golang.org/x/sync/singleflight"
)

// RowKey is the table row of the accepted version.
const RowKey = "Config"

// HistoryKey is the table row of the latest accepted versions, newest first.
// It stands apart from that of the accepted version, since each entry reads
// that one every 2 s, and 32 marks take 3 KB.
const HistoryKey = "ConfigHistory"

// objectPrefix precedes the digest in the object store's keys.
const objectPrefix = "config/"

// deltaSuffix follows the document's key in that of its difference against the
// version before.
const deltaSuffix = ".patch"

// Fetcher reads a document from a peer.
type Fetcher interface {
	// Fetch returns the peer's current document, of at least the requested
	// version: whole, or as a difference against the version held.
	Fetch(ctx context.Context, peer string, rq citronstream.ConfigRequest) (Document, error)
}

// Snapshot is a version that a process holds.
type Snapshot struct {
	Document Document            // whole
	Fleet    *citronstream.Fleet // not to be changed
	steps    steps               // that led to this version
}

// Store holds the accepted configuration of one process.
type Store struct {
	clk     citronstream.Clock
	table   citronstream.Table
	objects citronstream.Objects
	fetcher Fetcher
	poll    time.Duration
	quiet   time.Duration

	current atomic.Pointer[Snapshot]
	ready   atomic.Bool
	wanted  atomic.Pointer[hint]
	heard   atomic.Int64 // nanoseconds since 1970 of the last Observe
	wake    chan struct{}
	flight  singleflight.Group

	counts counters

	mu          sync.Mutex // serialises adopt and Subscribe
	subscribers []func(*Snapshot)
}

// hint is the highest version that a peer has named.
type hint struct {
	version uint64
	peer    string
}

// Option changes a Store.
type Option func(*Store)

// WithFetcher lets the store read documents from peers.
func WithFetcher(fe Fetcher) Option { return func(st *Store) { st.fetcher = fe } }

// WithPoll sets the interval of reads of the version row. The default is 2 s.
func WithPoll(every time.Duration) Option { return func(st *Store) { st.poll = every } }

// WithQuiet skips polls while a peer has named a version within that time.
// Agents use 10 s; with the default of 0 each poll is made.
func WithQuiet(quiet time.Duration) Option { return func(st *Store) { st.quiet = quiet } }

// WithFirst gives the store a version that the process has found already.
func WithFirst(first *Snapshot) Option {
	return func(st *Store) {
		st.current.Store(first)
		st.ready.Store(true)
	}
}

// New returns a store without a version.
func New(clk citronstream.Clock, ta citronstream.Table, ob citronstream.Objects, opts ...Option) *Store {
	st := &Store{clk: clk, table: ta, objects: ob, poll: 2 * time.Second, wake: make(chan struct{}, 1)}
	st.current.Store(&Snapshot{Fleet: &citronstream.Fleet{}})
	st.wanted.Store(&hint{})
	for _, opt := range opts {
		opt(st)
	}
	return st
}

// Current returns the snapshot held. Its version is 0 before the first one.
// Versions never decrease.
func (st *Store) Current() *Snapshot { return st.current.Load() }

// Version returns the version held.
func (st *Store) Version() uint64 { return st.Current().Fleet.Version }

// Ready reports whether the process holds a version that is known to be
// recent: read from the table, or the highest that a majority of peers named.
func (st *Store) Ready() bool { return st.ready.Load() }

// Subscribe calls notify with each new version, in order, and at once with
// the current one if there is one. Notify must not call the store's Subscribe,
// Accept or Refresh.
func (st *Store) Subscribe(notify func(*Snapshot)) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.subscribers = append(st.subscribers, notify)
	if sn := st.Current(); sn.Fleet.Version > 0 {
		notify(sn)
	}
}

// adopt installs a whole document if its version is higher than the one held.
func (st *Store) adopt(do Document) error {
	before := st.Current()
	if do.Record.Version <= before.Fleet.Version {
		return nil
	}
	fl, err := Decode(do)
	if err != nil {
		return err
	}
	next := before.steps.after(before, do)
	st.mu.Lock()
	defer st.mu.Unlock()
	if fl.Version <= st.Version() {
		return nil
	}
	sn := &Snapshot{Document: do, Fleet: fl}
	if st.Current() == before {
		sn.steps = next
	}
	st.current.Store(sn)
	for _, notify := range st.subscribers {
		notify(sn)
	}
	return nil
}

// read returns the row's record, and a zero record with row version 0 if
// there is none.
func (st *Store) read(ctx context.Context) (Record, uint64, error) {
	row, err := st.table.Get(ctx, RowKey)
	if errors.Is(err, citronstream.ErrNotFound) {
		return Record{}, 0, nil
	}
	if err != nil {
		return Record{}, 0, err
	}
	var rec Record
	if err := json.Unmarshal(row.Value, &rec); err != nil {
		return Record{}, 0, fmt.Errorf("table row %s: %w", RowKey, err)
	}
	return rec, row.Version, nil
}

// history returns the latest accepted versions, newest first.
func (st *Store) history(ctx context.Context) ([]Mark, error) {
	row, err := st.table.Get(ctx, HistoryKey)
	if errors.Is(err, citronstream.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var marks []Mark
	if err := json.Unmarshal(row.Value, &marks); err != nil {
		return nil, fmt.Errorf("table row %s: %w", HistoryKey, err)
	}
	return marks, nil
}

// latest reads the document of a record from the object store: the difference
// if this process holds the version before, else the whole.
func (st *Store) latest(ctx context.Context, rec Record) (Document, error) {
	held := st.Current()
	if rec.Delta && held.Fleet.Version > 0 && held.Fleet.Version+1 == rec.Version {
		body, err := st.objects.Get(ctx, rec.Document+deltaSuffix)
		if err == nil {
			delta := Document{Record: rec, Base: held.Fleet.Version, Body: body}
			if do, err := st.restore(held, delta); err == nil {
				return do, nil
			}
		}
	}
	do, err := st.document(ctx, rec)
	if err == nil {
		st.counts.wholes.Add(1)
	}
	return do, err
}

// document reads the text of a record from the object store.
func (st *Store) document(ctx context.Context, rec Record) (Document, error) {
	body, err := st.objects.Get(ctx, rec.Document)
	if err != nil {
		return Document{}, fmt.Errorf("configuration version %d: %w", rec.Version, err)
	}
	return Document{Record: rec, Body: body}, nil
}
