package version

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
)

// fetchJitter spreads the requests for a new document to peers over time.
const fetchJitter = 200 * time.Millisecond

// Observe records the version announced by a peer. If it is higher than the one held,
// Run fetches it. Observe doesn't block.
func (st *Store) Observe(version uint64, peer string) {
	st.lastObserved.Store(st.clk.Now().UnixNano())
	if version <= st.Version() {
		return
	}
	for {
		old := st.announced.Load()
		if version <= old.version {
			return
		}
		if st.announced.CompareAndSwap(old, &announcement{version, peer}) {
			break
		}
	}
	select {
	case st.wake <- struct{}{}:
	default:
	}
}

// Run keeps the store up to date until ctx ends: it polls the version row with jitter
// and fetches versions passed to Observe.
func (st *Store) Run(ctx context.Context) {
	for {
		poll := st.clk.NewTimer(st.poll*3/4 + rand.N(st.poll/2))
		select {
		case <-ctx.Done():
			poll.Stop()
			return
		case <-st.wake:
			poll.Stop()
			if !st.pause(ctx, rand.N(fetchJitter)) {
				return
			}
			_ = st.fetchAnnounced(ctx) // retried on the next poll or announcement
		case <-poll.Chan():
			if st.pollDue() {
				_ = st.Refresh(ctx)
			}
		}
	}
}

// pollDue reports whether the poll can't be skipped.
func (st *Store) pollDue() bool {
	last := time.Unix(0, st.lastObserved.Load())
	return st.pollHoldoff == 0 || !st.Ready() || st.announced.Load().version > st.Version() || st.clk.Now().Sub(last) >= st.pollHoldoff
}

func (st *Store) pause(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-st.clk.After(wait):
		return true
	}
}

// Refresh reads the accepted version from the table, or, while the table is down, from
// the peer that announced the highest version. Concurrent calls share one read.
func (st *Store) Refresh(ctx context.Context) error {
	_, err, _ := st.flight.Do("table", func() (any, error) {
		err := st.refreshFromTable(ctx)
		if err != nil && st.refreshFromAnnouncer(ctx) == nil {
			return nil, nil
		}
		return nil, err
	})
	return err
}

// fetchAnnounced reads the announced version from its peer, which saves a table read,
// and falls back to the table.
func (st *Store) fetchAnnounced(ctx context.Context) error {
	_, err, _ := st.flight.Do("peer", func() (any, error) {
		if st.refreshFromAnnouncer(ctx) == nil {
			return nil, nil
		}
		return nil, st.refreshFromTable(ctx)
	})
	return err
}

// refreshFromAnnouncer reads from the peer that announced the highest version.
func (st *Store) refreshFromAnnouncer(ctx context.Context) error {
	an := st.announced.Load()
	if st.fetcher == nil || an.version <= st.Version() {
		return citronstream.ErrNotFound
	}
	return st.refreshFromPeer(ctx, an.peer, an.version)
}

func (st *Store) refreshFromPeer(ctx context.Context, peer string, atLeast uint64) error {
	do, err := st.requestDocument(ctx, peer, atLeast)
	if err != nil {
		return fmt.Errorf("configuration from %s: %w", peer, err)
	}
	if do.Record.Version < atLeast {
		return fmt.Errorf("configuration from %s: got version %d, want at least %d", peer, do.Record.Version, atLeast)
	}
	if err := st.install(do); err != nil {
		return fmt.Errorf("from %s: %w", peer, err)
	}
	return nil
}

// requestDocument fetches a document from a peer. If the peer sends a difference that
// can't be applied, it asks for the full document.
func (st *Store) requestDocument(ctx context.Context, peer string, atLeast uint64) (Document, error) {
	held := st.Current()
	rq := citronstream.ConfigRequest{Version: atLeast, Holds: held.Fleet.Version}
	do, err := st.fetcher.Fetch(ctx, peer, rq)
	if err == nil && do.Base != 0 {
		var full Document
		if full, err = st.applyDelta(held, do); err == nil {
			return full, nil
		}
		rq.Holds = 0
		do, err = st.fetcher.Fetch(ctx, peer, rq)
	}
	if err == nil {
		st.counts.fullReceived.Add(1)
	}
	return do, err
}

func (st *Store) refreshFromTable(ctx context.Context) error {
	rec, _, err := st.readRecord(ctx)
	if err != nil {
		return err
	}
	if rec.Version > st.Version() {
		do, err := st.readLatest(ctx, rec)
		if err != nil {
			return err
		}
		if err := st.install(do); err != nil {
			return err
		}
	}
	if rec.Version > 0 {
		st.ready.Store(true)
	}
	return nil
}

// VersionFetcher asks a peer for the version that it holds.
type VersionFetcher interface {
	Version(ctx context.Context, peer string) (uint64, error)
}

// Bootstrap makes one attempt to become ready: from the table, or, while the table is
// down, from the configured peers. It returns a Fault with CodeNotReady unless a
// majority of the peers has answered and the highest version that they reported is
// held. A peer without a version doesn't count as an answer.
func (st *Store) Bootstrap(ctx context.Context, peers []string, vf VersionFetcher) error {
	tableErr := st.refreshFromTable(ctx)
	if st.Ready() {
		return nil
	}
	if tableErr == nil {
		return notReady("no configuration has been accepted")
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var best announcement
	answers := 0
	for _, peer := range peers {
		wg.Go(func() {
			version, err := vf.Version(ctx, peer)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || version == 0 {
				return
			}
			answers++
			if version > best.version {
				best = announcement{version, peer}
			}
		})
	}
	wg.Wait()
	if answers*2 <= len(peers) {
		return notReady("the table is down and %d of %d peers have answered", answers, len(peers))
	}
	if best.version > st.Version() {
		if st.fetcher == nil {
			return notReady("version %d can't be fetched from peers", best.version)
		}
		if err := st.refreshFromPeer(ctx, best.peer, best.version); err != nil {
			return notReady("%s", err)
		}
	}
	st.ready.Store(true)
	return nil
}

func notReady(format string, args ...any) error {
	return citronstream.NewFault(citronstream.NotRun, citronstream.CodeNotReady, format, args...)
}
