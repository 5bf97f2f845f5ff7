// Package tracker tracks the keyed calls of an entry process (design, section 6).
// A call that may have run on an agent's grant is kept until its row is in the
// table. If the agent dies first, the entry writes the row.
package tracker

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/once/claim"
)

const (
	defaultMaxKeys = 65536 // design, section 17
	// defaultMaxBytes limits the total size of the kept answers.
	defaultMaxBytes = 256 << 20
	// maxGroupRows is the maximum number of rows in one transaction (design, section 6).
	maxGroupRows = 50
	// maxInlineBytes is the largest answer stored in the row; larger ones go to the object store.
	maxInlineBytes = 32 << 10
)

// Call is a keyed call that an entry sends to an agent.
type Call struct {
	Service string
	claim.Request
}

type keyID struct{ upstream, service, workspace, key string }

// trackedKey is one key. It is in flight while calls > 0.
type trackedKey struct {
	id     keyID
	epoch  uint64
	digest uint64
	at     time.Time
	calls  int
	// ran is true if the key ran and may lack a row; answer is then its answer.
	// mayHaveRun is true if the key may have run without a row.
	ran        bool
	mayHaveRun bool
	// flushed is true once the agent has written the row. An unflushed answer
	// that arrives later is out of date.
	flushed bool
	answer  claim.Answer
}

// Counts is a snapshot of the counters.
type Counts struct {
	Refused, Flushed, ResolveCalls, Written uint64
	Keys                                    int
	Bytes                                   int
}

// Tracker tracks keys and their unflushed answers per upstream and epoch.
type Tracker struct {
	table     citronstream.Table
	objects   citronstream.Objects
	clk       citronstream.Clock
	started   time.Time
	retention time.Duration
	maxKeys   int
	maxBytes  int

	mu             sync.Mutex
	keys           map[keyID]*trackedKey
	resolvedEpochs map[string]uint64 // highest resolved epoch by upstream; bounded by the inventory
	bytes          int
	lastSweep      time.Time

	refused, flushed, resolveCalls, written atomic.Uint64
}

// Option configures a Tracker.
type Option func(*Tracker)

// WithCap limits the number of keys.
func WithCap(n int) Option { return func(tr *Tracker) { tr.maxKeys = n } }

// WithBytes limits the total size of kept answers.
func WithBytes(n int) Option { return func(tr *Tracker) { tr.maxBytes = n } }

// WithRetention sets how long rows are kept.
func WithRetention(d time.Duration) Option { return func(tr *Tracker) { tr.retention = d } }

// New returns an empty Tracker. Its start time is now, as it knows no earlier call.
func New(ta citronstream.Table, ob citronstream.Objects, clk citronstream.Clock, opts ...Option) *Tracker {
	tr := &Tracker{
		table: ta, objects: ob, clk: clk, started: clk.Now(), maxKeys: defaultMaxKeys, maxBytes: defaultMaxBytes,
		retention: citronstream.DefaultLimits().KeyRetention.Std(),
		keys:      make(map[keyID]*trackedKey), resolvedEpochs: make(map[string]uint64),
	}
	for _, opt := range opts {
		opt(tr)
	}
	return tr
}

// Counts returns the counters.
func (tr *Tracker) Counts() Counts {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return Counts{
		Refused: tr.refused.Load(), Flushed: tr.flushed.Load(), ResolveCalls: tr.resolveCalls.Load(),
		Written: tr.written.Load(), Keys: len(tr.keys), Bytes: tr.bytes,
	}
}

// Begin registers a call before it is sent to the agent, which may run it on its
// grant at any time. It refuses the call at the limits, and if the agent's epoch
// has been resolved. The verdict is NotRun only for a generated key.
func (tr *Tracker) Begin(upstream string, epoch uint64, ca Call) error {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.sweep()
	key := keyID{upstream, ca.Service, ca.Workspace, ca.Key}
	tk := tr.keys[key]
	switch {
	case epoch <= tr.resolvedEpochs[upstream]:
		return tr.refuse(ca, citronstream.CodeStale, "the slots of the agent have been taken over")
	case tk == nil && (len(tr.keys) >= tr.maxKeys || tr.bytes >= tr.maxBytes):
		return tr.refuse(ca, citronstream.CodeLimit, "too many keys wait to be recorded by their agents")
	case tk == nil:
		tk = &trackedKey{id: key, epoch: epoch, digest: ca.Digest, at: tr.clk.Now()}
		tr.keys[key] = tk
	}
	// A resend to the successor doesn't raise the epoch. Otherwise, resolving the
	// epoch under which the key ran would miss it.
	tk.calls++
	return nil
}

func (tr *Tracker) refuse(ca Call, code citronstream.Code, text string) error {
	tr.refused.Add(1)
	verdict := citronstream.NotRun
	if ca.KeyGiven {
		verdict = citronstream.MayHaveRun
	}
	return citronstream.NewFault(verdict, code, "%s", text)
}

// End registers the agent's answer to a call that Begin accepted.
func (tr *Tracker) End(upstream string, ca Call, ans claim.Answer, err error) {
	tr.end(upstream, ca, func(tk *trackedKey) {
		fa := citronstream.FaultOf(err)
		switch {
		case tk.flushed || !ans.Unflushed:
		case err != nil && fa.Verdict != citronstream.Ran:
			tk.mayHaveRun = true
		case !tk.ran:
			tk.ran, tk.answer = true, ans
			tk.answer.Replayed, tk.answer.Unflushed, tk.answer.Fault = false, false, fa
			tr.bytes += len(ans.Body)
		}
	})
}

// Lost registers that the answer to a call will not arrive. The key is kept, as the
// agent may still run it or have run it on its grant.
func (tr *Tracker) Lost(upstream string, ca Call) {
	tr.end(upstream, ca, func(tk *trackedKey) { tk.mayHaveRun = tk.mayHaveRun || !tk.flushed })
}

func (tr *Tracker) end(upstream string, ca Call, update func(*trackedKey)) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tk := tr.keys[keyID{upstream, ca.Service, ca.Workspace, ca.Key}]
	if tk == nil {
		return
	}
	tk.calls--
	update(tk)
	if tk.calls == 0 && !tk.ran && !tk.mayHaveRun {
		tr.drop(tk)
	}
}

// Flushed drops keys whose rows the agent has written. The row is final, so that a
// call in flight can't make its key unflushed again.
func (tr *Tracker) Flushed(upstream, service string, keys []claim.Flushed) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, fl := range keys {
		tk := tr.keys[keyID{upstream, service, fl.Workspace, fl.Key}]
		if tk == nil {
			continue
		}
		tr.flushed.Add(1)
		if tk.ran {
			tr.bytes -= len(tk.answer.Body)
		}
		tk.flushed, tk.ran, tk.mayHaveRun, tk.answer = true, false, false, claim.Answer{}
		if tk.calls == 0 {
			tr.drop(tk)
		}
	}
}

// sweep drops keys older than the retention of rows, at most once a minute.
func (tr *Tracker) sweep() {
	now := tr.clk.Now()
	if now.Sub(tr.lastSweep) < time.Minute {
		return
	}
	tr.lastSweep = now
	for _, tk := range tr.keys {
		if tk.calls == 0 && now.Sub(tk.at) > tr.retention {
			tr.drop(tk)
		}
	}
}

func (tr *Tracker) drop(tk *trackedKey) {
	if tr.keys[tk.id] != tk {
		return
	}
	delete(tr.keys, tk.id)
	if tk.ran {
		tr.bytes -= len(tk.answer.Body)
	}
}
