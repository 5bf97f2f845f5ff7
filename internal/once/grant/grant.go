// Package grant maintains an agent's grant: its epoch, its lease and the
// idempotency slots that it owns (design, section 6).
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
	// ExpiryMargin is the safety margin on both sides of Until: the owner starts no
	// call on the grant from that long before it, and a successor takes over
	// only that long after it.
	ExpiryMargin = time.Minute
	// ClockSkew is the allowance for clock differences between callers, entries and agents.
	ClockSkew = 10 * time.Second
	// MaxCallAge is the maximum age of a call that starts on the grant. If an entry
	// process started at least MaxCallAge before a checkpoint, calls that its
	// predecessor sent are too old to run after the checkpoint.
	MaxCallAge = 30 * time.Second
	// tableTimeout applies to each table call of the grant's own loop.
	tableTimeout = 5 * time.Second
	// entriesTimeout applies to asking the entries about one interval.
	entriesTimeout = 10 * time.Second
	// minRequestInterval separates steps requested by entries, as each reads the Slots row.
	minRequestInterval = 500 * time.Millisecond
	// releasePollInterval is the delay between steps while slots are being released.
	releasePollInterval = 100 * time.Millisecond
)

// Work reports the calls that depend on the grant. claim.Claim implements it.
type Work interface {
	// Busy returns the number of calls of a slot that are running or not yet recorded.
	Busy(slot int) int
	// Unflushed returns the number of keys that ran or are running without a row in the table.
	Unflushed() int
}

// Lease holds the epoch and its expiry. It is immutable once published.
type Lease struct {
	Epoch   uint64
	Version uint64 // version of the Epoch row
	Until   time.Time
}

// OwnedSlot describes a slot that this process owns. It is immutable once published.
type OwnedSlot struct {
	// Since is when this process acquired the slot; zero if the slot had no earlier owner.
	Since time.Time
	// DoubtTo is the end of the latest interval of uncertainty; zero if there is none.
	DoubtTo time.Time
}

// Settings identifies the agent.
type Settings struct {
	Upstream string
	Service  string
	Instance string
	Address  string // listen address, which the agent binds before it starts the grant
}

// Counts is a snapshot of the counters.
type Counts struct {
	Starts, Renewals, Acquired, Released, Takeovers, ResolvedDoubts, Lost uint64
	Owned                                                                 int
}

// Grant holds an agent's epoch, lease and owned slots, and renews them.
type Grant struct {
	settings     Settings
	table        citronstream.Table
	liveness     citronstream.Liveness
	resolver     citronstream.Resolver
	clk          citronstream.Clock
	work         Work
	limits       citronstream.Limits
	withoutSlots bool // keeps the epoch and the lease only

	lease    atomic.Pointer[Lease]
	held     [SlotCount]atomic.Pointer[OwnedSlot]
	draining atomic.Bool
	wake     chan struct{}
	drained  chan struct{}

	mu            sync.Mutex // held for the whole of each step; guards the fields below
	record        Record
	recordVersion uint64
	pendingWrite  *transaction // write of the Slots row whose outcome is unknown
	releasing     map[int]bool
	neverOwned    [SlotCount]bool // slots that had no owner before this process acquired them
	seen          map[string]bool // instances that the platform has ever listed; bounded by the inventory
	listed        map[string]bool // instances of the last list; nil if it is unusable
	knownUntil    map[string]time.Time

	lastRequest      atomic.Int64 // time of the last accepted RequestStep, in Unix nanoseconds
	requestScheduled atomic.Bool  // a request is delayed to the end of minRequestInterval

	starts, renewals, acquired, released, takeovers, resolvedDoubts, lost atomic.Uint64
}

// transaction is a conditional write of several rows. Version is that of the
// Slots row, or 0 if the transaction doesn't write it.
type transaction struct {
	opID    string
	ops     []citronstream.Op
	version uint64
}

// Option configures a Grant.
type Option func(*Grant)

// WithResolver lets the grant end intervals of uncertainty by asking the entries.
func WithResolver(wi citronstream.Resolver) Option { return func(gr *Grant) { gr.resolver = wi } }

// WithLimits sets the limits, of which GrantFor, GrantRenew and KeyRetention are used.
func WithLimits(lim citronstream.Limits) Option { return func(gr *Grant) { gr.limits = lim } }

// WithoutSlots keeps the epoch and the lease only. An engine's agent needs
// them for its fencing tokens.
func WithoutSlots() Option { return func(gr *Grant) { gr.withoutSlots = true } }

// New returns a grant that owns nothing until Run or Step starts it.
func New(set Settings, ta citronstream.Table, li citronstream.Liveness, clk citronstream.Clock, opts ...Option) *Grant {
	gr := &Grant{
		settings: set, table: ta, liveness: li, clk: clk, limits: citronstream.DefaultLimits(),
		wake: make(chan struct{}, 1), drained: make(chan struct{}),
		releasing: make(map[int]bool), seen: make(map[string]bool), knownUntil: make(map[string]time.Time),
	}
	for _, opt := range opts {
		opt(gr)
	}
	return gr
}

// Attach sets the work that depends on the grant. Call it before Run.
func (gr *Grant) Attach(wo Work) { gr.work = wo }

// Settings returns the agent's identity.
func (gr *Grant) Settings() Settings { return gr.settings }

// Lease returns the lease, or nil before the grant has started and after it was lost.
func (gr *Grant) Lease() *Lease { return gr.lease.Load() }

// OwnedSlot returns the state of a slot, or nil if this process doesn't own it.
func (gr *Grant) OwnedSlot(slot int) *OwnedSlot { return gr.held[slot].Load() }

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
		Released: gr.released.Load(), Takeovers: gr.takeovers.Load(), ResolvedDoubts: gr.resolvedDoubts.Load(),
		Lost: gr.lost.Load(), Owned: len(gr.Owned()),
	}
}

// Fenced handles a transaction that failed because this epoch is no longer in
// force: the grant gives up its lease and slots at once and takes a new epoch
// in its next step.
func (gr *Grant) Fenced(epoch uint64) {
	le := gr.lease.Load()
	if le == nil || le.Epoch != epoch || !gr.lease.CompareAndSwap(le, nil) {
		return
	}
	gr.lost.Add(1)
	for i := range gr.held {
		gr.held[i].Store(nil)
	}
	gr.signal()
}

// RequestStep requests a step before the renewal interval ends. Requests within
// minRequestInterval of the last accepted one are merged into one at its end.
func (gr *Grant) RequestStep() {
	now := gr.clk.Now().UnixNano()
	last := gr.lastRequest.Load()
	if wait := int64(minRequestInterval) - (now - last); wait > 0 {
		if gr.requestScheduled.CompareAndSwap(false, true) {
			gr.clk.AfterFunc(time.Duration(wait), func() {
				gr.requestScheduled.Store(false)
				gr.RequestStep()
			})
		}
		return
	}
	if gr.lastRequest.CompareAndSwap(last, now) {
		gr.signal()
	}
}

func (gr *Grant) signal() {
	select {
	case gr.wake <- struct{}{}:
	default:
	}
}

// Run renews the grant until ctx is done. The returned channel is closed when
// it has ended.
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

// Drain releases all slots and closes the grant once no call runs and all keys
// are recorded. It returns when the release is written or ctx is done.
func (gr *Grant) Drain(ctx context.Context) error {
	gr.draining.Store(true)
	gr.signal()
	select {
	case <-gr.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Step starts or renews the grant, takes over the slots of dead owners and
// balances the slots. It returns the time until the next step.
func (gr *Grant) Step(ctx context.Context) time.Duration {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	renew := gr.limits.GrantRenew.Std()
	pause := renew*9/10 + rand.N(renew/5+1) // jitter spreads the agents' writes
	select {
	case <-gr.drained:
		return pause
	default:
	}
	gr.refreshInstances(ctx)
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

func (gr *Grant) refreshInstances(ctx context.Context) {
	ctx, cancel := WithTimeout(ctx, gr.clk, tableTimeout)
	defer cancel()
	gr.listed = nil
	states, err := gr.liveness.List(ctx)
	if err != nil {
		return
	}
	listed := make(map[string]bool, len(states))
	for _, st := range states {
		listed[st.Instance] = true
		gr.seen[st.Instance] = true
	}
	// A list without this process's own instance is out of date.
	if listed[gr.settings.Instance] {
		gr.listed = listed
	}
}

// hasEnded reports whether the owner of a grant has ended, by the four
// conditions of section 6 of the design.
func (gr *Grant) hasEnded(rec Record) bool {
	return rec.State == Closed ||
		rec.Address == gr.settings.Address ||
		gr.delisted(rec.Instance) ||
		gr.clk.Now().After(rec.Until.Add(ExpiryMargin))
}

func (gr *Grant) delisted(instance string) bool {
	return gr.listed != nil && gr.seen[instance] && !gr.listed[instance]
}
