package version

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
)

// fetchJitter spreads the reads of a new document over the peers.
const fetchJitter = 200 * time.Millisecond

// Observe notes the version that a peer's message names. A higher one than
// that held makes Run fetch it. It doesn't block.
func (st *Store) Observe(version uint64, peer string) {
	st.heard.Store(st.clk.Now().UnixNano())
	if version <= st.Version() {
		return
	}
	for {
		old := st.wanted.Load()
		if version <= old.version {
			return
		}
		if st.wanted.CompareAndSwap(old, &hint{version, peer}) {
			break
		}
	}
	select {
	case st.wake <- struct{}{}:
	default:
	}
}

// Run follows the accepted version until ctx ends: it polls the version row
// with jitter, and fetches versions that Observe named.
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
			_ = st.fetch(ctx) // the next poll or message tries again
		case <-poll.Chan():
			if st.due() {
				_ = st.Refresh(ctx)
			}
		}
	}
}

// due reports whether the poll has to be made.
func (st *Store) due() bool {
	heard := time.Unix(0, st.heard.Load())
	return st.quiet == 0 || !st.Ready() || st.wanted.Load().version > st.Version() || st.clk.Now().Sub(heard) >= st.quiet
}

func (st *Store) pause(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-st.clk.After(wait):
		return true
	}
}

// Refresh reads the accepted version from the table, and while that is down
// from the peer that named the highest one. Calls at the same time share one
// read.
func (st *Store) Refresh(ctx context.Context) error {
	_, err, _ := st.flight.Do("table", func() (any, error) {
		err := st.fromTable(ctx)
		if err != nil && st.fromNamer(ctx) == nil {
			return nil, nil
		}
		return nil, err
	})
	return err
}

// fetch reads the version that a peer has named from that peer, which costs
// the table nothing, and otherwise from the table.
func (st *Store) fetch(ctx context.Context) error {
	_, err, _ := st.flight.Do("peer", func() (any, error) {
		if st.fromNamer(ctx) == nil {
			return nil, nil
		}
		return nil, st.fromTable(ctx)
	})
	return err
}

// fromNamer reads from the peer that named the highest version.
func (st *Store) fromNamer(ctx context.Context) error {
	want := st.wanted.Load()
	if st.fetcher == nil || want.version <= st.Version() {
		return citronstream.ErrNotFound
	}
	return st.fromPeer(ctx, want.peer, want.version)
}

func (st *Store) fromPeer(ctx context.Context, peer string, atLeast uint64) error {
	do, err := st.ask(ctx, peer, atLeast)
	if err != nil {
		return fmt.Errorf("configuration from %s: %w", peer, err)
	}
	if do.Record.Version < atLeast {
		return fmt.Errorf("configuration from %s: got version %d, it named %d", peer, do.Record.Version, atLeast)
	}
	if err := st.adopt(do); err != nil {
		return fmt.Errorf("from %s: %w", peer, err)
	}
	return nil
}

// ask fetches a document from a peer: a difference if the peer has one, and
// the whole if the difference does not lead to the version that it names.
func (st *Store) ask(ctx context.Context, peer string, atLeast uint64) (Document, error) {
	held := st.Current()
	rq := citronstream.ConfigRequest{Version: atLeast, Holds: held.Fleet.Version}
	do, err := st.fetcher.Fetch(ctx, peer, rq)
	if err == nil && do.Base != 0 {
		var whole Document
		if whole, err = st.restore(held, do); err == nil {
			return whole, nil
		}
		rq.Holds = 0
		do, err = st.fetcher.Fetch(ctx, peer, rq)
	}
	if err == nil {
		st.counts.wholes.Add(1)
	}
	return do, err
}

func (st *Store) fromTable(ctx context.Context) error {
	rec, _, err := st.read(ctx)
	if err != nil {
		return err
	}
	if rec.Version > st.Version() {
		do, err := st.latest(ctx, rec)
		if err != nil {
			return err
		}
		if err := st.adopt(do); err != nil {
			return err
		}
	}
	if rec.Version > 0 {
		st.ready.Store(true)
	}
	return nil
}

// Asker asks a peer for the version that it holds.
type Asker interface {
	Version(ctx context.Context, peer string) (uint64, error)
}

// Bootstrap makes one attempt to become ready: from the table, and while that
// is down from the configured peers. It returns a Fault with CodeNotReady
// until a majority of them has answered and the highest version that they
// named is held. A peer that holds no version doesn't count as an answer.
func (st *Store) Bootstrap(ctx context.Context, peers []string, as Asker) error {
	tableErr := st.fromTable(ctx)
	if st.Ready() {
		return nil
	}
	if tableErr == nil {
		return notReady("no configuration has been accepted")
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var best hint
	answers := 0
	for _, peer := range peers {
		wg.Go(func() {
			version, err := as.Version(ctx, peer)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || version == 0 {
				return
			}
			answers++
			if version > best.version {
				best = hint{version, peer}
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
		if err := st.fromPeer(ctx, best.peer, best.version); err != nil {
			return notReady("%s", err)
		}
	}
	st.ready.Store(true)
	return nil
}

func notReady(format string, args ...any) error {
	return citronstream.NewFault(citronstream.NotRun, citronstream.CodeNotReady, format, args...)
}
