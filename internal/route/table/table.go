// Package table holds the routing table: a copy-on-write snapshot of the
// services and upstreams of the accepted configuration, with their live state.
// Its size is bounded by the inventory.
package table

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
)

// Slots is the number of idempotency slots of a service (design, section 6).
const Slots = 64

// Table is the routing table of one entry.
type Table struct {
	clk     citronstream.Clock
	lag     time.Duration
	current atomic.Pointer[Snapshot]
	mu      sync.Mutex      // serialises Replace, Report and Connected
	listed  map[string]bool // instances that the platform's list has named
}

// Option configures a Table.
type Option func(*Table)

// WithLag sets how old a report's figures are when it arrives. Work sent
// within that time is added to the reported load. The default is 400 ms, the
// lag of the engines' reports; the table remembers at most 1.5 s.
func WithLag(lag time.Duration) Option { return func(ta *Table) { ta.lag = lag } }

// New returns an empty table.
func New(clk citronstream.Clock, opts ...Option) *Table {
	ta := &Table{clk: clk, lag: 400 * time.Millisecond, listed: make(map[string]bool)}
	for _, opt := range opts {
		opt(ta)
	}
	ta.current.Store(build(&citronstream.Fleet{}, nil))
	return ta
}

// Snapshot returns the current snapshot. It never returns nil.
func (ta *Table) Snapshot() *Snapshot { return ta.current.Load() }

// Lag returns how old a report's figures are when it arrives.
func (ta *Table) Lag() time.Duration { return ta.lag }

// Len returns the number of upstreams.
func (ta *Table) Len() int { return ta.Snapshot().Len() }

// Replace installs another fleet. An upstream that stays on its instance and
// agent address keeps its live state. It ignores a fleet with a lower version
// than the current one and returns false.
func (ta *Table) Replace(fl *citronstream.Fleet) bool {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	old := ta.Snapshot()
	if fl.Version < old.Version {
		return false
	}
	now := ta.clk.Now()
	sn := build(fl, func(nd *Node) *live {
		if prev := old.Node(nd.Name); prev != nil && prev.Instance == nd.Instance && prev.Agent == nd.Agent && prev.Service == nd.Service {
			return prev.live
		}
		return newLive(now)
	})
	sn.Each(func(se *Service) {
		if prev := old.Service(se.Spec.Name); prev != nil {
			// The nodes' diversion budgets are expressed in this count.
			se.PickCount.Store(prev.PickCount.Load())
		}
	})
	ta.current.Store(sn)
	instances := make(map[string]bool, len(fl.Instances))
	for _, inst := range fl.Instances {
		instances[inst.Name] = true
	}
	for name := range ta.listed {
		if !instances[name] {
			delete(ta.listed, name)
		}
	}
	return true
}

// Report applies a load report. It returns false if the upstream is unknown or
// the report is not newer than the last one by epoch and sequence number.
func (ta *Table) Report(lo citronstream.Load) bool {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	nd := ta.Snapshot().Node(lo.Upstream)
	if nd == nil {
		return false
	}
	old := nd.live.report.Load()
	if old != nil && (lo.Epoch < old.load.Epoch || lo.Epoch == old.load.Epoch && lo.Seq <= old.load.Seq) {
		return false
	}
	if old != nil && lo.Epoch > old.load.Epoch {
		ta.setState(nd, FromAnnouncement, Live)
	}
	interval := ta.interval()
	unreported := nd.live.sentBetween(interval-int64(ta.lag/bucketWidth), interval)
	nd.live.report.Store(nd.nextReport(lo, ta.clk.Now()))
	for rank := range unreported {
		nd.live.pending[rank].Store(unreported[rank])
	}
	if lo.Leaving {
		ta.setState(nd, FromAnnouncement, Leaving)
	}
	ta.setState(nd, FromHeartbeat, Live)
	if lo.Down {
		ta.setState(nd, FromReport, Gone)
	} else {
		ta.setState(nd, FromReport, Live)
	}
	return true
}

// Connected records a new link to the upstream's agent. If the agent has a
// higher epoch or none, its reports restart at the first sequence number.
func (ta *Table) Connected(upstream string, epoch uint64) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	nd := ta.Snapshot().Node(upstream)
	if nd == nil {
		return
	}
	ta.setState(nd, FromLink, Live)
	ta.setState(nd, FromHeartbeat, Live)
	if old := nd.live.report.Load(); old != nil && (epoch == 0 || epoch > old.load.Epoch) {
		next := *old
		next.load.Epoch, next.load.Seq, next.load.Slots, next.slots = epoch, 0, nil, 0
		nd.live.report.Store(&next)
		ta.setState(nd, FromAnnouncement, Live)
	}
}

// Mark sets the state that a source reports for an upstream. An announcement
// lasts until the agent reconnects with a higher epoch or Mark clears it with Live.
func (ta *Table) Mark(upstream string, src Source, st State) {
	if nd := ta.Snapshot().Node(upstream); nd != nil {
		ta.setState(nd, src, st)
	}
}

// ApplyList applies the platform's list of instances. An instance that the list
// named before and no longer names is gone. One that it has never named keeps
// its state, because the list lags.
func (ta *Table) ApplyList(list []citronstream.InstanceState) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	named := make(map[string]State, len(list))
	for _, inst := range list {
		named[inst.Instance] = Live
		if inst.Leaving {
			named[inst.Instance] = Leaving
		}
	}
	for _, nd := range ta.Snapshot().nodes {
		if st, ok := named[nd.Instance]; ok {
			ta.listed[nd.Instance] = true
			ta.setState(nd, FromList, st)
		} else if ta.listed[nd.Instance] {
			ta.setState(nd, FromList, Gone)
		}
	}
}

func (ta *Table) setState(nd *Node, src Source, st State) {
	for {
		old := nd.live.membership.Load()
		if old.bySource[src] == st || nd.live.membership.CompareAndSwap(old, old.with(src, st, ta.clk.Now())) {
			return
		}
	}
}

// Owner returns the upstream whose agent owns an idempotency slot. If several
// report the slot, the one with the highest epoch owns it. It returns false if
// the owner can't take work or no upstream reports the slot.
func (ta *Table) Owner(service string, slot int, exclude ...string) (string, bool) {
	se := ta.Snapshot().Service(service)
	if se == nil || slot < 0 || slot >= Slots {
		return "", false
	}
	var best *Node
	var epoch uint64
	for _, nd := range se.Nodes {
		re := nd.live.report.Load()
		if re == nil || re.slots&(1<<slot) == 0 || slices.Contains(exclude, nd.Name) || best != nil && re.load.Epoch <= epoch {
			continue
		}
		if nd.State() == Gone { // its last report is still stored, and epochs of two agents don't compare
			continue
		}
		best, epoch = nd, re.load.Epoch
	}
	// A leaving owner is not replaced by one with a lower epoch, whose claim is stale.
	if best == nil || best.State() >= Leaving {
		return "", false
	}
	return best.Name, true
}

// bucketWidth is the time resolution at which sent work is recorded.
const bucketWidth = 50 * time.Millisecond

func (ta *Table) interval() int64 { return ta.clk.Now().UnixNano() / int64(bucketWidth) }

// Sent records work sent to an upstream, in cost units.
func (ta *Table) Sent(upstream string, rank int, cost float64) {
	if nd := ta.Snapshot().Node(upstream); nd != nil {
		nd.live.add(ta.interval(), rankIndex(rank), int64(math.Round(cost*1000)))
	}
}

// Ended records that work sent to an upstream has ended. Rank and
// cost must equal those given to Sent.
func (ta *Table) Ended(upstream string, rank int, cost float64) { ta.Sent(upstream, rank, -cost) }
