// Package nearest is the default routing policy: it prefers upstreams of the
// caller's zone and spills to other zones by corrected load plus distance
// (design, section 9). Preferences are probabilistic and weaker the older the
// reports are: entries that all act on the same late report would otherwise
// choose the same upstreams until the next one.
package nearest

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/kernel/policy"
	"github.com/citronstream/citronstream/internal/route/table"
)

// Name is the name under which the policy is registered.
const Name = policy.Default

func init() { policy.Register(Name, func(de policy.Deps) citronstream.Picker { return New(de) }) }

// Picker implements citronstream.Picker.
type Picker struct {
	policy.LoadTracker
	table          *table.Table
	clk            citronstream.Clock
	rnd            *rand.Rand
	hints          policy.Hints
	creditPerBlock float64 // seconds
	maxCredit      float64 // seconds
}

// Option configures a Picker.
type Option func(*Picker)

// WithCredit sets how much additional wait a cached prefix block of 256 bytes
// is worth, and the limit for a whole prompt. The defaults are 6 ms, the
// prefill time of about 64 tokens at 10,000 tokens a second, and 150 ms. The
// limit keeps a popular prefix from overloading the engine that holds it.
func WithCredit(perBlock, limit time.Duration) Option {
	return func(pi *Picker) { pi.creditPerBlock, pi.maxCredit = perBlock.Seconds(), limit.Seconds() }
}

// New returns the policy.
func New(de policy.Deps, opts ...Option) *Picker {
	pi := &Picker{LoadTracker: policy.NewLoadTracker(de), table: de.Table, clk: de.Clock, rnd: policy.NewRand(de.Seed), hints: de.Hints}
	WithCredit(6*time.Millisecond, 150*time.Millisecond)(pi)
	for _, opt := range opts {
		opt(pi)
	}
	return pi
}

// minReportAge keeps preferences probabilistic even if reports arrive without lag.
const minReportAge = 10 * time.Millisecond

// selection is the state of one Pick.
type selection struct {
	pr    *citronstream.PickRequest
	now   time.Time
	picks uint64
	worst table.State
	best  *table.Node
	score float64 // seconds; lower is better
}

// Pick implements citronstream.Picker. Suspect upstreams are used only when
// no live one can take the call, other regions only when the caller's has none.
func (pi *Picker) Pick(pr citronstream.PickRequest) (string, bool) {
	sn := pi.table.Snapshot()
	se := sn.Service(pr.Service)
	if se == nil || len(se.Nodes) == 0 {
		return "", false
	}
	sel := selection{pr: &pr, now: pi.clk.Now(), picks: se.PickCount.Add(1)}
	for sel.worst = table.Live; sel.worst <= table.Suspect; sel.worst++ {
		pi.considerRegion(&sel, se)
		if sel.best != nil {
			pi.considerHolders(&sel, sn, se)
			return sel.best.Name, true
		}
		pi.sample(&sel, se.Nodes, 0)
		if sel.best != nil {
			return sel.best.Name, true
		}
	}
	return "", false
}

// considerRegion considers the caller's zone and, if its mean wait exceeds another
// zone's by more than the distance, the zone with the shortest wait. The share
// of calls that consider the other zone grows with the difference.
func (pi *Picker) considerRegion(sel *selection, se *table.Service) {
	own, wait := se.Zones[sel.pr.Zone], math.Inf(1)
	if own != nil {
		pi.sample(sel, own.Nodes, 0)
		wait = own.MeanWait(sel.pr.Rank, sel.now, pi.randomOffset(own))
	}
	if sel.best == nil {
		wait = math.Inf(1)
	} else if sel.pr.Model != "" {
		// The mean covers all models, so it may hide one overloaded model.
		wait = max(wait, sel.score)
	}
	var other *table.Group
	least := wait
	for _, gr := range se.Near[sel.pr.Zone] {
		if mean := gr.MeanWait(sel.pr.Rank, sel.now, pi.randomOffset(gr)) + gr.Distance.Seconds(); mean < least {
			other, least = gr, mean
		}
	}
	if other != nil && (sel.best == nil || pi.rnd.Float64() < (wait-least)/pi.reportAge(sel, sel.best)) {
		pi.sample(sel, other.Nodes, other.Distance.Seconds())
	}
	if sel.best != nil {
		return
	}
	for _, gr := range se.Near[sel.pr.Zone] {
		pi.sample(sel, gr.Nodes, gr.Distance.Seconds())
	}
}

func (pi *Picker) randomOffset(gr *table.Group) int { return pi.rnd.IntN(len(gr.Nodes)) }

// reportAge returns the age of the last report's figures of a node, in seconds.
func (pi *Picker) reportAge(sel *selection, nd *table.Node) float64 {
	return max(minReportAge, pi.table.Lag()+nd.ReportAge(sel.now)).Seconds()
}

// considerHolders considers the upstreams that hold the prompt's prefix. One that
// is no more loaded than the best so far is taken; the chance falls to 0 as the
// difference in wait reaches the credit. An entry diverts to a holder at most
// an even share of its picks: if all entries follow one popular prefix, the
// reports show the load only after their lag.
func (pi *Picker) considerHolders(sel *selection, sn *table.Snapshot, se *table.Service) {
	if pi.hints == nil || len(sel.pr.Blocks) == 0 {
		return
	}
	held, count := pi.hints.Holders(sel.pr.Blocks)
	most := 0.0
	for i := range count {
		nd := sn.Node(held[i].Upstream)
		if nd == nil || nd.Service != sel.pr.Service || nd.Region != sel.best.Region || nd.Weight() < 1 || !policy.Usable(nd, sel.pr, sel.worst) {
			continue
		}
		score := nd.Wait(sel.pr.Rank)
		if nd.Zone != sel.pr.Zone {
			score += se.Zones[nd.Zone].Distance.Seconds()
		}
		credit := min(pi.maxCredit, float64(held[i].Blocks)*pi.creditPerBlock)
		if nd == sel.best {
			most = max(most, credit)
			continue
		}
		// A holder must be worth more than the one already taken.
		gain := credit - most
		if gain > 0 && pi.rnd.Float64() < 1-(score-sel.score)/gain && nd.TryDivert(sel.picks, uint64(len(se.Nodes))) {
			sel.best, sel.score, most = nd, score, credit
		}
	}
}

// maxDraws is the number of random draws before sample scans the nodes in order.
const maxDraws = 8

// sample considers two random usable nodes. A node of reduced weight is admitted
// with that probability, and always if there is no other.
func (pi *Picker) sample(sel *selection, nodes []*table.Node, extra float64) {
	count, found := len(nodes), 0
	var first *table.Node
	for range min(maxDraws, 2*count) {
		nd := nodes[pi.rnd.IntN(count)]
		if nd == first || !policy.Usable(nd, sel.pr, sel.worst) || !pi.admits(nd) {
			continue
		}
		pi.consider(sel, nd, extra)
		if first, found = nd, found+1; found == 2 {
			return
		}
	}
	start := pi.rnd.IntN(count)
	var reduced *table.Node
	for i := range count {
		nd := nodes[(start+i)%count]
		if nd == first || !policy.Usable(nd, sel.pr, sel.worst) {
			continue
		}
		if nd.Weight() < 1 {
			reduced = nd
			continue
		}
		pi.consider(sel, nd, extra)
		if found++; found == 2 {
			return
		}
	}
	if found == 0 && reduced != nil {
		pi.consider(sel, reduced, extra)
	}
}

func (pi *Picker) admits(nd *table.Node) bool {
	weight := nd.Weight()
	return weight >= 1 || pi.rnd.Float64() < weight
}

// consider takes a node if it is better than the best so far. A node whose floor
// for the rank is unused is better than one where the rank waits, because an
// unused floor goes to other ranks. Otherwise the node with the shorter wait is
// better. The choice is certain if the waits differ by at least the age of the
// report, within which queue changes are not visible; below that its probability
// is proportional, which keeps the feedback through late reports stable.
func (pi *Picker) consider(sel *selection, nd *table.Node, extra float64) {
	score := nd.Wait(sel.pr.Rank) + extra
	if sel.best != nil {
		switch mine, theirs := nd.Floor(sel.pr.Rank), sel.best.Floor(sel.pr.Rank); {
		case mine == table.FloorUnused && theirs == table.FloorUsed:
			sel.best, sel.score = nd, score
			return
		case mine == table.FloorUsed && theirs == table.FloorUnused:
			return
		}
	}
	if sel.best == nil || pi.rnd.Float64()*2-1 < (sel.score-score)/pi.reportAge(sel, nd) {
		sel.best, sel.score = nd, score
	}
}
