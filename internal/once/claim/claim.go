// Package claim runs keyed calls at most once (design, section 6). A key is
// claimed in the table before its call runs; while the table does not answer,
// the owner's grant stands in for the claim.
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
	// claimWait is how long a claim waits for the table (design, section 6).
	claimWait = 300 * time.Millisecond
	// groupRows is the most rows in one transaction (design, section 6).
	groupRows = 50
	// inlineBytes is the largest answer that is stored in the row itself.
	inlineBytes = 32 << 10
	// defaultCap bounds the unflushed keys and, apart from them, the finished keys.
	defaultCap = 65536
	// defaultBytes bounds the memory of keys that wait to be recorded: a fifth
	// of the 64 MB of an agent (design, section 1.4). The collector lets the
	// heap grow to twice of what is in use, and an idle agent with 360 links
	// takes 37 MB (docs/CAPACITY.md).
	defaultBytes = 64_000_000 / 5
	// keyBytes is what a key takes in memory besides its own text and its
	// answer (BenchmarkKeys reports both the heap and this account).
	keyBytes = 480
)

// Counts is a snapshot of the counters.
type Counts struct {
	Claims       uint64 // keys claimed in the table
	Replays      uint64 // first answers given again
	Joins        uint64 // calls that waited for a running one
	Offline      uint64 // runs on the grant
	InDoubt      uint64 // refusals with CodeInDoubt
	Fenced       uint64 // claims that failed on the epoch
	Flushed      uint64 // keys that ran on the grant and got their row later
	Transactions uint64 // claim transactions sent
	Records      uint64 // keys recorded after their run
	Evicted      uint64 // finished keys dropped from memory
	Foreign      uint64 // rows of other processes found where our record belongs
	Unflushed    int    // keys without a row now
	Pending      int    // keys to be recorded now
	Bytes        int    // memory of the unflushed and pending keys
	Refused      uint64 // keys refused at a cap
	Keys         int    // keys in memory now
}

type counters struct {
	claims, replays, joins, offline, inDoubt, fenced, flushed, transactions, records, evicted, foreign, refused atomic.Uint64
	keys                                                                                                        atomic.Int64
}

// Claim runs keyed calls at most once.
type Claim struct {
	grant   *grant.Grant
	table   citronstream.Table
	objects citronstream.Objects
	clk     citronstream.Clock
	keep    time.Duration
	cap     int64
	most    int64 // bytes
	flushed func([]Flushed)

	shards    [grant.SlotCount]shard
	unflushed atomic.Int64
	pending   atomic.Int64
	bytes     atomic.Int64 // of entries that are unflushed or dirty
	breaker   breaker
	claims    queue
	records   queue
	stopped   chan struct{}
	counters
}

// Option changes a Claim.
type Option func(*Claim)

// WithRetention sets how long rows are kept.
func WithRetention(d time.Duration) Option { return func(cl *Claim) { cl.keep = d } }

// WithCap bounds the keys that wait to be recorded, and the finished keys in memory.
func WithCap(n int) Option { return func(cl *Claim) { cl.cap = int64(n) } }

// WithBytes bounds the memory of the keys that wait to be recorded, with their
// answers. It may be passed by the answers of calls that run already.
func WithBytes(n int) Option { return func(cl *Claim) { cl.most = int64(n) } }

// WithFlushed sets a function that is told of keys whose rows were written
// after their answers. It must not block.
func WithFlushed(fn func([]Flushed)) Option { return func(cl *Claim) { cl.flushed = fn } }

// New returns a Claim under a grant and attaches itself to the grant.
func New(gr *grant.Grant, ta citronstream.Table, ob citronstream.Objects, clk citronstream.Clock, opts ...Option) *Claim {
	cl := &Claim{
		grant: gr, table: ta, objects: ob, clk: clk, cap: defaultCap, most: defaultBytes,
		keep:    citronstream.DefaultLimits().KeyRetention.Std(),
		flushed: func([]Flushed) {},
		claims:  newQueue(), records: newQueue(), stopped: make(chan struct{}),
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

// Run commits claims and records until ctx ends. The channel is closed when
// both loops have ended. It is called once. Claims that wait then are refused.
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

// Do runs a keyed call at most once. It joins a running call with the same
// key and gives the first answer again. The error carries a Fault; its
// verdict refers to the key, but for CodeKeyReuse, where it refers to this
// attempt's content.
func (cl *Claim) Do(ctx context.Context, rq Request, run func(context.Context) (Answer, error)) (Answer, error) {
	sh := &cl.shards[grant.SlotOf(rq.Workspace, rq.Key)]
	sh.busy.Add(1) // before the look at the slot, so that it is not released meanwhile
	defer sh.busy.Add(-1)
	for {
		if cl.held(rq) == nil {
			return Answer{}, cl.notOwner(rq)
		}
		en, first := cl.enter(sh, rq)
		if first {
			return cl.lead(ctx, en, run)
		}
		if en.digest != rq.Digest {
			return Answer{}, citronstream.NewFault(citronstream.NotRun, citronstream.CodeKeyReuse, "key %q was used with other content", rq.Key)
		}
		select {
		case <-en.ended:
			cl.replays.Add(1)
		default:
			cl.joins.Add(1)
		}
		select {
		case <-en.ended:
		case <-ctx.Done():
			return Answer{}, citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeCanceled, "call with this key is running")
		}
		if ans, err, ok := cl.replay(sh, en); ok {
			return ans, err
		}
	}
}

func (cl *Claim) held(rq Request) *grant.Held {
	return cl.grant.Held(grant.SlotOf(rq.Workspace, rq.Key))
}

// notOwner refuses a key of another agent's slot. A key that the caller chose
// may have run there; a generated one is sent again only after NotRun.
func (cl *Claim) notOwner(rq Request) error {
	verdict := citronstream.NotRun
	if rq.KeyGiven {
		verdict = citronstream.MayHaveRun
	}
	return citronstream.NewFault(verdict, citronstream.CodeNotOwner, "slot %d is not owned by %s",
		grant.SlotOf(rq.Workspace, rq.Key), cl.grant.Settings().Upstream)
}

func (cl *Claim) doubtful(rq Request, why string) error {
	cl.inDoubt.Add(1)
	return citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeInDoubt, "key %q may have run: %s", rq.Key, why)
}
