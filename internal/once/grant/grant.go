// Package grant keeps an agent's ownership of idempotency slots: its epoch,
// its lease and the slots of its service (design, section 6).
package grant

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
)

const (
	// Margin is the safety distance from Until on both sides: the owner stops
	// that long before it, a successor waits that long after it.
	Margin = time.Minute
	// Skew is the margin for differences between clocks of callers, entries and agents.
	Skew = 10 * time.Second
	// MaxAge is the greatest age of a call that starts on the grant. An entry
	// that started MaxAge before a checkpoint has sent each call that ran on
	// the grant after it: a call of its predecessor is too old by then.
	MaxAge = 30 * time.Second
	// tableWait bounds one table call of the grant's own loop.
	tableWait = 5 * time.Second
	// settleWait bounds the question to the entries.
	settleWait = 10 * time.Second
	// pokeEvery bounds the steps that entries ask for, each of which reads the Slots row.
	pokeEvery = 500 * time.Millisecond
	// quickTick is the delay to the next step while slots are being released.
	quickTick = 100 * time.Millisecond
)

// Work tells the grant what runs under it. Claim implements it.
type Work interface {
	// Busy returns the calls of a slot that are running or not yet recorded.
	Busy(slot int) int
	// Unflushed returns the keys that ran or run without a row in the table.
	Unflushed() int
}

// Lease is what a call needs to know of the grant. It never changes once published.
type Lease struct {
	Epoch   uint64
	Version uint64 // version of the Epoch row
	Until   time.Time
}

// Held describes an owned slot. It never changes once published.
type Held struct {
	// Since is when this process acquired the slot; zero if the slot never had an owner before.
	Since time.Time
	// DoubtTo is the end of the latest interval of uncertainty; zero if there is none.
	DoubtTo time.Time
}

// Settings names the agent.
type Settings struct {
	Upstream string
	Service  string
	Instance string
	Address  string // listen address, which the agent has bound before it starts the grant
}

// Counts is a snapshot of the counters.
type Counts struct {
	Starts, Renewals, Acquired, Released, Takeovers, Settled, Lost uint64
	Owned                                                          int
}

// Grant is an agent's ownership for its service.
type Grant struct {
	set     Settings
	table   citronstream.Table
	list    citronstream.Liveness
	witness citronstream.Resolver
	clk     citronstream.Clock
	work    Work
	lim     citronstream.Limits
	bare    bool // takes part in no sharing of slots

	lease    atomic.Pointer[Lease]
	held     [SlotCount]atomic.Pointer[Held]
	draining atomic.Bool
	wake     chan struct{}
	drained  chan struct{}

	mu      sync.Mutex // held through each step; guards the fields below
	rec     Record
	recVer  uint64
	pending *write // write of the Slots row whose outcome is unknown
	closing map[int]bool
	virgin  [SlotCount]bool // slots that had no owner before this process acquired them
	seen    map[string]bool // instances that the platform's list has contained; bounded by the inventory
	listed  map[string]bool // last list; nil when it can't be used
	until   map[string]time.Time

	poked     atomic.Int64 // nanoseconds since 1970 of the last Poke
	pokeLater atomic.Bool  // a request waits for the end of pokeEvery

	starts, renewals, acquired, released, takeovers, settled, lost atomic.Uint64
}

// write is a transaction. Version is the condition on the Slots row, if it has one.
type write struct {
	opID    string
	ops     []citronstream.Op
	version uint64
}

// Option changes a Grant.
type Option func(*Grant)

// WithWitness lets the entries settle intervals of uncertainty.
func WithWitness(wi citronstream.Resolver) Option { return func(gr *Grant) { gr.witness = wi } }

// WithLimits sets GrantFor, GrantRenew and KeyRetention.
func WithLimits(lim citronstream.Limits) Option { return func(gr *Grant) { gr.lim = lim } }

// WithoutSlots keeps the epoch and the lease only. An engine's agent needs
// them for its fencing tokens.
func WithoutSlots() Option { return func(gr *Grant) { gr.bare = true } }

// New returns a grant that owns nothing until Run or Step has started it.
func New(set Settings, ta citronstream.Table, li citronstream.Liveness, clk citronstream.Clock, opts ...Option) *Grant {
	gr := &Grant{
		set: set, table: ta, list: li, clk: clk, lim: citronstream.DefaultLimits(),
		wake: make(chan struct{}, 1), drained: make(chan struct{}),
		closing: make(map[int]bool), seen: make(map[string]bool), until: make(map[string]time.Time),
	}
	for _, opt := range opts {
		opt(gr)
	}
	return gr
}

// Attach names the work that runs under the grant. It is called before Run.
func (gr *Grant) Attach(wo Work) { gr.work = wo }

// Settings returns the agent's names.
func (gr *Grant) Settings() Settings { return gr.set }

// Lease returns the lease, or nil while the grant has not started or was lost.
func (gr *Grant) Lease() *Lease { return gr.lease.Load() }

// Held returns the state of an owned slot, or nil.
func (gr *Grant) Held(slot int) *Held { return gr.held[slot].Load() }

// Owned lists the owned slots.
func (gr *Grant) Owned() []int {
	var owned []int
	for i := range gr.held {
		if gr.held[i].Load() != nil {
			owned = append(owned, i)
		}
	}
	return owned
}

// Counts returns the counters.
func (gr *Grant) Counts() Counts {
	return Counts{
		Starts: gr.starts.Load(), Renewals: gr.renewals.Load(), Acquired: gr.acquired.Load(),
		Released: gr.released.Load(), Takeovers: gr.takeovers.Load(), Settled: gr.settled.Load(),
		Lost: gr.lost.Load(), Owned: len(gr.Owned()),
	}
}

// Fenced reports that a transaction failed on the condition of this epoch.
// The grant stops owning slots at once and takes a new epoch in its next step.
func (gr *Grant) Fenced(epoch uint64) {
	le := gr.lease.Load()
	if le == nil || le.Epoch != epoch || !gr.lease.CompareAndSwap(le, nil) {
		return
	}
	gr.lost.Add(1)
	for i := range gr.held {
		gr.held[i].Store(nil)
	}
	gr.poke()
}

// Poke asks for the next step soon. Requests within pokeEvery of a step count
// as one, which is acted upon at the end of that time.
func (gr *Grant) Poke() {
	now := gr.clk.Now().UnixNano()
	last := gr.poked.Load()
	if wait := int64(pokeEvery) - (now - last); wait > 0 {
		if gr.pokeLater.CompareAndSwap(false, true) {
			gr.clk.AfterFunc(time.Duration(wait), func() {
				gr.pokeLater.Store(false)
				gr.Poke()
			})
		}
		return
	}
	if gr.poked.CompareAndSwap(last, now) {
		gr.poke()
	}
}

func (gr *Grant) poke() {
	select {
	case gr.wake <- struct{}{}:
	default:
	}
}

// Run renews the grant until ctx ends. The channel is closed at its end.
func (gr *Grant) Run(ctx context.Context) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			timer := gr.clk.NewTimer(gr.Step(ctx))
			select {
			case <-ctx.Done():
			case <-gr.wake:
			case <-timer.Chan():
			}
			timer.Stop()
		}
	}()
	return ended
}

// Drain releases all slots once everything is flushed and closes the grant.
// It returns when the release is written or ctx ends.
func (gr *Grant) Drain(ctx context.Context) error {
	gr.draining.Store(true)
	gr.poke()
	select {
	case <-gr.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Step starts or renews the grant once, balances slots and takes over those
// of dead owners. It returns the time until the next step.
func (gr *Grant) Step(ctx context.Context) time.Duration {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	renew := gr.lim.GrantRenew.Std()
	pause := renew*9/10 + rand.N(renew/5+1) // jitter spreads the agents' writes
	select {
	case <-gr.drained:
		return pause
	default:
	}
	gr.refreshList(ctx)
	if gr.lease.Load() == nil {
		if err := gr.start(ctx); err != nil {
			return min(pause, time.Second)
		}
	} else if err := gr.renew(ctx); err != nil {
		return min(pause, 5*time.Second)
	}
	if err := gr.balance(ctx); err != nil {
		return time.Second
	}
	return gr.nextStep(pause)
}

func (gr *Grant) refreshList(ctx context.Context) {
	ctx, cancel := WithTimeout(ctx, gr.clk, tableWait)
	defer cancel()
	gr.listed = nil
	states, err := gr.list.List(ctx)
	if err != nil {
		return
	}
	listed := make(map[string]bool, len(states))
	for _, st := range states {
		listed[st.Instance] = true
		gr.seen[st.Instance] = true
	}
	// A list without the reader's own instance is too old to prove anything.
	if listed[gr.set.Instance] {
		gr.listed = listed
	}
}

// gone reports whether the owner of a grant has ended, by the four conditions
// of section 6.
func (gr *Grant) gone(rec Record) bool {
	return rec.State == Closed ||
		rec.Address == gr.set.Address ||
		gr.vanished(rec.Instance) ||
		gr.clk.Now().After(rec.Until.Add(Margin))
}

func (gr *Grant) vanished(instance string) bool {
	return gr.listed != nil && gr.seen[instance] && !gr.listed[instance]
}
