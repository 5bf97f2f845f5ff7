// Package claim runs keyed calls at most once (design, section 6). A key is
// claimed in the table before its call runs. While the table does not answer,
// calls run on the owner's grant instead, and their rows are written later.
package claim

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/once/grant"
)

const (
	// claimTimeout is the time that a claim waits for the table (design, section 6).
	claimTimeout = 300 * time.Millisecond
	// maxGroupRows is the maximum number of rows in one transaction (design, section 6).
	maxGroupRows = 50
	// maxInlineBytes is the largest answer stored in the row; larger ones go to the object store.
	maxInlineBytes = 32 << 10
	// defaultMaxKeys limits the unflushed keys and, separately, the finished keys in memory.
	defaultMaxKeys = 65536
	// defaultMaxBytes limits the memory of keys that wait to be recorded: a fifth
	// of an agent's 64 MB (design, section 1.4). An idle agent with 360 links
	// takes 37 MB (docs/CAPACITY.md), and the garbage collector lets the heap
	// grow to twice the live data.
	defaultMaxBytes = 64_000_000 / 5
	// keyOverheadBytes is the memory of a key besides its text and its answer.
	// BenchmarkKeys reports both the heap and this estimate.
	keyOverheadBytes = 480
)

// Counts is a snapshot of the counters.
type Counts struct {
	Claims       uint64 // keys claimed in the table
	Replays      uint64 // calls answered with the first answer of their key
	Joins        uint64 // calls that waited for a running call with the same key
	Offline      uint64 // calls that ran on the grant
	InDoubt      uint64 // refusals with CodeInDoubt
	Fenced       uint64 // claims that failed because the epoch had changed
	Flushed      uint64 // keys that ran on the grant and were recorded later
	Transactions uint64 // claim transactions sent
	Records      uint64 // keys recorded after their call ended
	Evicted      uint64 // finished keys dropped from memory
	Foreign      uint64 // rows of other processes found when recording a key
	Unflushed    int    // keys without a row at present
	Pending      int    // keys that wait to be recorded
	Bytes        int    // estimated memory of the unflushed and pending keys
	Refused      uint64 // keys refused at a cap
	Keys         int    // keys in memory
}

type counters struct {
	claims, replays, joins, offline, inDoubt, fenced, flushed, transactions, records, evicted, foreign, refused atomic.Uint64
	keys                                                                                                        atomic.Int64
}

// Claim runs keyed calls at most once.
type Claim struct {
	grant     *grant.Grant
	table     citronstream.Table
	objects   citronstream.Objects
	clk       citronstream.Clock
	retention time.Duration
	maxKeys   int64
	maxBytes  int64
	flushed   func([]Flushed)

	shards    [grant.SlotCount]shard
	unflushed atomic.Int64
	pending   atomic.Int64
	bytes     atomic.Int64 // of attempts that are unflushed or dirty
	breaker   breaker
	claims    queue
	records   queue
	stopped   chan struct{}
	counters
}

// Option configures a Claim.
type Option func(*Claim)

// WithRetention sets how long rows are kept.
func WithRetention(d time.Duration) Option { return func(cl *Claim) { cl.retention = d } }

// WithCap limits the keys that wait to be recorded, and the finished keys in memory.
func WithCap(n int) Option { return func(cl *Claim) { cl.maxKeys = int64(n) } }

// WithBytes limits the memory of the keys that wait to be recorded and their
// answers. Answers of calls that are already running may exceed it.
func WithBytes(n int) Option { return func(cl *Claim) { cl.maxBytes = int64(n) } }

// WithFlushed sets a callback for keys whose rows were written after they were
// answered. It must not block.
func WithFlushed(fn func([]Flushed)) Option { return func(cl *Claim) { cl.flushed = fn } }

// New returns a Claim and attaches it to the grant.
func New(gr *grant.Grant, ta citronstream.Table, ob citronstream.Objects, clk citronstream.Clock, opts ...Option) *Claim {
	cl := &Claim{
		grant: gr, table: ta, objects: ob, clk: clk, maxKeys: defaultMaxKeys, maxBytes: defaultMaxBytes,
		retention: citronstream.DefaultLimits().KeyRetention.Std(),
		flushed:   func([]Flushed) {},
		claims:    newQueue(), records: newQueue(), stopped: make(chan struct{}),
	}
	for i := range cl.shards {
		cl.shards[i].init()
	}
	for _, opt := range opts {
		opt(cl)
	}
	gr.Attach(cl)
	return cl
}

// Run commits claims and records until ctx is done. The returned channel is
// closed when both loops have ended; claims that still wait are then refused.
// It must be called only once.
func (cl *Claim) Run(ctx context.Context) <-chan struct{} {
	ended := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { cl.commitLoop(ctx) })
	wg.Go(func() { cl.recordLoop(ctx) })
	go func() {
		wg.Wait()
		close(cl.stopped)
		close(ended)
	}()
	return ended
}

// Busy implements grant.Work.
func (cl *Claim) Busy(slot int) int { return int(cl.shards[slot].busy.Load()) }

// Unflushed implements grant.Work.
func (cl *Claim) Unflushed() int { return int(cl.unflushed.Load()) }

// Counts returns the counters.
func (cl *Claim) Counts() Counts {
	return Counts{
		Claims: cl.counters.claims.Load(), Replays: cl.replays.Load(), Joins: cl.joins.Load(), Offline: cl.offline.Load(),
		InDoubt: cl.inDoubt.Load(), Fenced: cl.fenced.Load(), Flushed: cl.counters.flushed.Load(),
		Transactions: cl.transactions.Load(), Records: cl.counters.records.Load(), Evicted: cl.evicted.Load(),
		Foreign: cl.foreign.Load(), Unflushed: int(cl.unflushed.Load()), Pending: int(cl.pending.Load()),
		Keys: int(cl.keys.Load()), Bytes: int(cl.bytes.Load()), Refused: cl.refused.Load(),
	}
}

// Do runs a keyed call at most once. If the key has run or is running, it
// returns the first answer. The error carries a Fault whose verdict refers to
// the key; only with CodeKeyReuse does it refer to the content of this call.
func (cl *Claim) Do(ctx context.Context, rq Request, run func(context.Context) (Answer, error)) (Answer, error) {
	sh := &cl.shards[grant.SlotOf(rq.Workspace, rq.Key)]
	sh.busy.Add(1) // before reading the slot, so that it isn't released in between
	defer sh.busy.Add(-1)
	for {
		if cl.ownedSlot(rq) == nil {
			return Answer{}, cl.notOwner(rq)
		}
		att, first := cl.attemptFor(sh, rq)
		if first {
			return cl.runAttempt(ctx, att, run)
		}
		if att.digest != rq.Digest {
			return Answer{}, citronstream.NewFault(citronstream.NotRun, citronstream.CodeKeyReuse, "key %q was already used with different content", rq.Key)
		}
		select {
		case <-att.ended:
			cl.replays.Add(1)
		default:
			cl.joins.Add(1)
		}
		select {
		case <-att.ended:
		case <-ctx.Done():
			return Answer{}, citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeCanceled, "a call with this key is still running")
		}
		if ans, err, ok := cl.replay(sh, att); ok {
			return ans, err
		}
	}
}

func (cl *Claim) ownedSlot(rq Request) *grant.OwnedSlot {
	return cl.grant.OwnedSlot(grant.SlotOf(rq.Workspace, rq.Key))
}

// notOwner returns the refusal of a key whose slot this agent doesn't own. A key
// chosen by the caller may have run at the owner; a generated key is resent only
// after NotRun, so it can't have run.
func (cl *Claim) notOwner(rq Request) error {
	verdict := citronstream.NotRun
	if rq.KeyGiven {
		verdict = citronstream.MayHaveRun
	}
	return citronstream.NewFault(verdict, citronstream.CodeNotOwner, "slot %d is not owned by %s",
		grant.SlotOf(rq.Workspace, rq.Key), cl.grant.Settings().Upstream)
}

func (cl *Claim) inDoubtError(rq Request, reason string) error {
	cl.inDoubt.Add(1)
	return citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeInDoubt, "key %q may have run: %s", rq.Key, reason)
}
