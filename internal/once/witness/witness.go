// Package witness is the entry's side of at-most-once calls (design, section
// 6): it keeps keyed calls that may have run on an agent's grant until the
// agent has recorded them.
package witness

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/once/claim"
)

const (
	defaultCap = 65536 // keys (design, section 17)
	// defaultBytes bounds the answers that wait with the keys.
	defaultBytes = 256 << 20
	// groupRows is the most rows in one transaction (design, section 6).
	groupRows = 50
	// inlineBytes is the largest answer that is stored in the row itself.
	inlineBytes = 32 << 10
)

// Call is a keyed call that the entry sends to an agent.
type Call struct {
	Service string
	claim.Request
}

type id struct{ upstream, service, workspace, key string }

// kept is one key. It is in flight while calls > 0.
type kept struct {
	id     id
	epoch  uint64
	digest uint64
	at     time.Time
	calls  int
	// ran says that answer is the answer of a key without a row; doubtful
	// that the key may have run without a row.
	ran      bool
	doubtful bool
	// flushed says that the agent has written the row: later news of an
	// unflushed answer is out of date.
	flushed bool
	answer  claim.Answer
}

// Counts is a snapshot of the counters.
type Counts struct {
	Refused, Flushed, Settles, Written uint64
	Keys                               int
	Bytes                              int
}

// Keeper keeps unflushed keys and answers per upstream and epoch.
type Keeper struct {
	table    citronstream.Table
	objects  citronstream.Objects
	clk      citronstream.Clock
	started  time.Time
	keep     time.Duration
	maxKeys  int
	maxBytes int

	mu      sync.Mutex
	keys    map[id]*kept
	settled map[string]uint64 // highest epoch settled, by upstream; bounded by the inventory
	bytes   int
	swept   time.Time

	refused, flushed, settles, written atomic.Uint64
}

// Option changes a Keeper.
type Option func(*Keeper)

// WithCap bounds the keys.
func WithCap(n int) Option { return func(ke *Keeper) { ke.maxKeys = n } }

// WithBytes bounds the bytes of kept answers.
func WithBytes(n int) Option { return func(ke *Keeper) { ke.maxBytes = n } }

// WithRetention sets how long rows are kept.
func WithRetention(d time.Duration) Option { return func(ke *Keeper) { ke.keep = d } }

// New returns an empty Keeper. Its start time is now: it knows of no call before.
func New(ta citronstream.Table, ob citronstream.Objects, clk citronstream.Clock, opts ...Option) *Keeper {
	ke := &Keeper{
		table: ta, objects: ob, clk: clk, started: clk.Now(), maxKeys: defaultCap, maxBytes: defaultBytes,
		keep: citronstream.DefaultLimits().KeyRetention.Std(),
		keys: make(map[id]*kept), settled: make(map[string]uint64),
	}
	for _, opt := range opts {
		opt(ke)
	}
	return ke
}

// Counts returns the counters.
func (ke *Keeper) Counts() Counts {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	return Counts{
		Refused: ke.refused.Load(), Flushed: ke.flushed.Load(), Settles: ke.settles.Load(),
		Written: ke.written.Load(), Keys: len(ke.keys), Bytes: ke.bytes,
	}
}

// Begin notes a call before it is sent to the agent, which may run it on its
// grant at any time. It refuses the call at the cap, and when the agent's
// epoch has been settled. The verdict is NotRun only for a generated key.
func (ke *Keeper) Begin(upstream string, epoch uint64, ca Call) error {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	ke.sweep()
	key := id{upstream, ca.Service, ca.Workspace, ca.Key}
	ki := ke.keys[key]
	switch {
	case epoch <= ke.settled[upstream]:
		return ke.refuse(ca, citronstream.CodeStale, "the slots of the agent have passed on")
	case ki == nil && (len(ke.keys) >= ke.maxKeys || ke.bytes >= ke.maxBytes):
		return ke.refuse(ca, citronstream.CodeLimit, "too many keys wait for their agents")
	case ki == nil:
		ki = &kept{id: key, epoch: epoch, digest: ca.Digest, at: ke.clk.Now()}
		ke.keys[key] = ki
	}
	// A resend to the successor leaves the epoch as it is: raised, it would
	// hide the key from the settlement of the epoch under which it ran.
	ki.calls++
	return nil
}

func (ke *Keeper) refuse(ca Call, code citronstream.Code, text string) error {
	ke.refused.Add(1)
	verdict := citronstream.NotRun
	if ca.KeyGiven {
		verdict = citronstream.MayHaveRun
	}
	return citronstream.NewFault(verdict, code, "%s", text)
}

// End notes the agent's answer to a call that Begin accepted.
func (ke *Keeper) End(upstream string, ca Call, ans claim.Answer, err error) {
	ke.end(upstream, ca, func(ki *kept) {
		fa := citronstream.FaultOf(err)
		switch {
		case ki.flushed || !ans.Unflushed:
		case err != nil && fa.Verdict != citronstream.Ran:
			ki.doubtful = true
		case !ki.ran:
			ki.ran, ki.answer = true, ans
			ki.answer.Replayed, ki.answer.Unflushed, ki.answer.Fault = false, false, fa
			ke.bytes += len(ans.Body)
		}
	})
}

// Lost notes a call that was sent and whose answer will not come. The key is
// kept, as the agent may run it or have run it on its grant.
func (ke *Keeper) Lost(upstream string, ca Call) {
	ke.end(upstream, ca, func(ki *kept) { ki.doubtful = ki.doubtful || !ki.flushed })
}

func (ke *Keeper) end(upstream string, ca Call, note func(*kept)) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	ki := ke.keys[id{upstream, ca.Service, ca.Workspace, ca.Key}]
	if ki == nil {
		return
	}
	ki.calls--
	note(ki)
	if ki.calls == 0 && !ki.ran && !ki.doubtful {
		ke.drop(ki)
	}
}

// Flushed drops keys whose rows the agent has written. A key that ran has one
// row for good, so that a call in flight can't make it unflushed again.
func (ke *Keeper) Flushed(upstream, service string, keys []claim.Flushed) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	for _, fl := range keys {
		ki := ke.keys[id{upstream, service, fl.Workspace, fl.Key}]
		if ki == nil {
			continue
		}
		ke.flushed.Add(1)
		if ki.ran {
			ke.bytes -= len(ki.answer.Body)
		}
		ki.flushed, ki.ran, ki.doubtful, ki.answer = true, false, false, claim.Answer{}
		if ki.calls == 0 {
			ke.drop(ki)
		}
	}
}

// sweep drops keys that are older than the retention of rows, at most once a
// minute.
func (ke *Keeper) sweep() {
	now := ke.clk.Now()
	if now.Sub(ke.swept) < time.Minute {
		return
	}
	ke.swept = now
	for _, ki := range ke.keys {
		if ki.calls == 0 && now.Sub(ki.at) > ke.keep {
			ke.drop(ki)
		}
	}
}

func (ke *Keeper) drop(ki *kept) {
	if ke.keys[ki.id] != ki {
		return
	}
	delete(ke.keys, ki.id)
	if ki.ran {
		ke.bytes -= len(ki.answer.Body)
	}
}
