// Package version stores and distributes the accepted configuration (design,
// section 12): operators change it by compare-and-set on a table row, and each
// process holds a snapshot whose version never decreases.
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

// HistoryKey is the table row of the latest accepted versions, newest first. It is
// separate from RowKey because each entry reads that row every 2 s, and 32 versions
// take 3 KB.
const HistoryKey = "ConfigHistory"

// objectPrefix precedes the digest in object keys.
const objectPrefix = "config/"

// deltaSuffix is appended to a document's key for its difference from the previous
// version.
const deltaSuffix = ".patch"

// Fetcher reads documents from peers.
type Fetcher interface {
	// Fetch returns the peer's current document, which is at least the requested
	// version: in full, or as a difference from the version that the caller holds.
	Fetch(ctx context.Context, peer string, rq citronstream.ConfigRequest) (Document, error)
}

// Snapshot is a version that a process holds.
type Snapshot struct {
	Document Document            // in full
	Fleet    *citronstream.Fleet // read-only
	deltas   deltaChain          // from earlier versions to this one
}

// Store holds the accepted configuration of one process.
type Store struct {
	clk         citronstream.Clock
	table       citronstream.Table
	objects     citronstream.Objects
	fetcher     Fetcher
	poll        time.Duration
	pollHoldoff time.Duration

	current      atomic.Pointer[Snapshot]
	ready        atomic.Bool
	announced    atomic.Pointer[announcement]
	lastObserved atomic.Int64 // Unix nanoseconds of the last Observe
	wake         chan struct{}
	flight       singleflight.Group

	counts counters

	mu          sync.Mutex // serialises install and Subscribe
	subscribers []func(*Snapshot)
}

// announcement is the highest version that a peer has announced.
type announcement struct {
	version uint64
	peer    string
}

// Option configures a Store.
type Option func(*Store)

// WithFetcher lets the store read documents from peers.
func WithFetcher(fe Fetcher) Option { return func(st *Store) { st.fetcher = fe } }

// WithPoll sets how often the version row is read. The default is 2 s.
func WithPoll(every time.Duration) Option { return func(st *Store) { st.poll = every } }

// WithPollHoldoff skips a poll if a peer has announced a version within the given time.
// Agents use 10 s; the default of 0 skips none.
func WithPollHoldoff(holdoff time.Duration) Option {
	return func(st *Store) { st.pollHoldoff = holdoff }
}

// WithSnapshot sets the version that the store starts with.
func WithSnapshot(sn *Snapshot) Option {
	return func(st *Store) {
		st.current.Store(sn)
		st.ready.Store(true)
	}
}

// New returns a store that holds no version.
func New(clk citronstream.Clock, ta citronstream.Table, ob citronstream.Objects, opts ...Option) *Store {
	st := &Store{clk: clk, table: ta, objects: ob, poll: 2 * time.Second, wake: make(chan struct{}, 1)}
	st.current.Store(&Snapshot{Fleet: &citronstream.Fleet{}})
	st.announced.Store(&announcement{})
	for _, opt := range opts {
		opt(st)
	}
	return st
}

// Current returns the current snapshot. Its version is 0 before the first one and
// never decreases.
func (st *Store) Current() *Snapshot { return st.current.Load() }

// Version returns the version held.
func (st *Store) Version() uint64 { return st.Current().Fleet.Version }

// Ready reports whether the process holds a version that is known to be recent: read
// from the table, or the highest that a majority of peers reported.
func (st *Store) Ready() bool { return st.ready.Load() }

// Subscribe calls notify with each new version, in order, and immediately with the
// current one if there is one. Notify must not call Subscribe, Accept or Refresh.
func (st *Store) Subscribe(notify func(*Snapshot)) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.subscribers = append(st.subscribers, notify)
	if sn := st.Current(); sn.Fleet.Version > 0 {
		notify(sn)
	}
}

// install replaces the snapshot by a full document of a higher version.
func (st *Store) install(do Document) error {
	before := st.Current()
	if do.Record.Version <= before.Fleet.Version {
		return nil
	}
	fl, err := Decode(do)
	if err != nil {
		return err
	}
	next := before.deltas.extend(before, do)
	st.mu.Lock()
	defer st.mu.Unlock()
	if fl.Version <= st.Version() {
		return nil
	}
	sn := &Snapshot{Document: do, Fleet: fl}
	if st.Current() == before {
		sn.deltas = next
	}
	st.current.Store(sn)
	for _, notify := range st.subscribers {
		notify(sn)
	}
	return nil
}

// readRecord returns the record and the version of its row; both are zero if there is
// no row.
func (st *Store) readRecord(ctx context.Context) (Record, uint64, error) {
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

// readHistory returns the latest accepted versions, newest first.
func (st *Store) readHistory(ctx context.Context) ([]HistoryItem, error) {
	row, err := st.table.Get(ctx, HistoryKey)
	if errors.Is(err, citronstream.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var items []HistoryItem
	if err := json.Unmarshal(row.Value, &items); err != nil {
		return nil, fmt.Errorf("table row %s: %w", HistoryKey, err)
	}
	return items, nil
}

// readLatest reads a record's document from the object store: the difference if this
// process holds the previous version, otherwise the full document.
func (st *Store) readLatest(ctx context.Context, rec Record) (Document, error) {
	held := st.Current()
	if rec.Delta && held.Fleet.Version > 0 && held.Fleet.Version+1 == rec.Version {
		body, err := st.objects.Get(ctx, rec.Document+deltaSuffix)
		if err == nil {
			delta := Document{Record: rec, Base: held.Fleet.Version, Body: body}
			if do, err := st.applyDelta(held, delta); err == nil {
				return do, nil
			}
		}
	}
	do, err := st.readDocument(ctx, rec)
	if err == nil {
		st.counts.fullReceived.Add(1)
	}
	return do, err
}

// readDocument reads a record's full document from the object store.
func (st *Store) readDocument(ctx context.Context, rec Record) (Document, error) {
	body, err := st.objects.Get(ctx, rec.Document)
	if err != nil {
		return Document{}, fmt.Errorf("configuration version %d: %w", rec.Version, err)
	}
	return Document{Record: rec, Body: body}, nil
}
