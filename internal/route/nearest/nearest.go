// Package nearest is the default routing policy: the upstreams of the
// caller's zone first, with spill to other zones by corrected load plus
// distance (design, section 9).
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
	policy.Account
	table     *table.Table
	clk       citronstream.Clock
	rnd       *rand.Rand
	hints     policy.Hints
	perBlock  float64 // seconds
	maxCredit float64 // seconds
}

// Option changes a Picker.
type Option func(*Picker)

// WithCredit sets how much wait, in time, a cached prefix block of 256 bytes
// outweighs, and the limit for a whole prompt. The defaults are 6 ms, the
// prefill time of about 64 tokens at 10,000 tokens a second, and 150 ms. The
// limit keeps a popular prefix from overloading the engine that holds it.
func WithCredit(perBlock, limit time.Duration) Option {
	return func(pi *Picker) { pi.perBlock, pi.maxCredit = perBlock.Seconds(), limit.Seconds() }
}

// New returns the policy.
func New(de policy.Deps, opts ...Option) *Picker {
	pi := &Picker{Account: policy.NewAccount(de), table: de.Table, clk: de.Clock, rnd: policy.NewRand(de.Seed), hints: de.Hints}
	WithCredit(6*time.Millisecond, 150*time.Millisecond)(pi)
	for _, opt := range opts {
		opt(pi)
	}
	return pi
}

// attempt is the state of one Pick.
type attempt struct {
	pr      *citronstream.PickRequest
	worst   table.State
	holders [policy.MaxHolders]policy.Holder
	held    int
	best    *table.Node
	score   float64 // seconds; lower is better
}

// Pick implements citronstream.Picker. Suspect upstreams are used only when
// no live one can take the call, other regions only when the caller's has none.
func (pi *Picker) Pick(pr citronstream.PickRequest) (string, bool) {
	sn := pi.table.Snapshot()
	se := sn.Service(pr.Service)
	if se == nil || len(se.Nodes) == 0 {
		return "", false
	}
	at := attempt{pr: &pr}
	if pi.hints != nil && len(pr.Blocks) > 0 {
		at.holders, at.held = pi.hints.Holders(pr.Blocks)
	}
	for at.worst = table.Live; at.worst <= table.Suspect; at.worst++ {
		pi.region(&at, se)
		if at.best != nil {
			pi.holders(&at, sn, se)
			return at.best.Name, true
		}
		pi.draw(&at, se.Nodes, 0)
		if at.best != nil {
			return at.best.Name, true
		}
	}
	return "", false
}

// region looks in the caller's zone and, if that is more loaded than another
// by more than the distance, in the least loaded other zone.
func (pi *Picker) region(at *attempt, se *table.Service) {
	now := pi.clk.Now()
	own, wait := se.Zones[at.pr.Zone], math.Inf(1)
	if own != nil {
		pi.draw(at, own.Nodes, 0)
		wait = own.MeanWait(now, pi.offset(own))
	}
	if at.best == nil {
		wait = math.Inf(1)
	} else if at.pr.Model != "" {
		// The mean covers all models, so one overloaded model may hide in it.
		wait = max(wait, at.score)
	}
	var other *table.Group
	least := wait
	for _, gr := range se.Near[at.pr.Zone] {
		if mean := gr.MeanWait(now, pi.offset(gr)) + gr.Distance.Seconds(); mean < least {
			other, least = gr, mean
		}
	}
	if other != nil {
		pi.draw(at, other.Nodes, other.Distance.Seconds())
	}
	if at.best != nil {
		return
	}
	for _, gr := range se.Near[at.pr.Zone] {
		pi.draw(at, gr.Nodes, gr.Distance.Seconds())
	}
}

func (pi *Picker) offset(gr *table.Group) int { return pi.rnd.IntN(len(gr.Nodes)) }

// holders weighs the upstreams that hold the prompt's prefix.
func (pi *Picker) holders(at *attempt, sn *table.Snapshot, se *table.Service) {
	for i := range at.held {
		no := sn.Node(at.holders[i].Upstream)
		if no == nil || no.Service != at.pr.Service || no == at.best || no.Region != at.best.Region || no.Weight() < 1 || !policy.Usable(no, at.pr, at.worst) {
			continue
		}
		extra := 0.0
		if no.Zone != at.pr.Zone {
			extra = se.Zones[no.Zone].Distance.Seconds()
		}
		pi.weigh(at, no, extra)
	}
}

// tries is the number of random draws before the nodes are scanned in order.
const tries = 8

// draw weighs two random usable nodes. A node of reduced weight is admitted
// with that probability, and certainly if there is no other.
func (pi *Picker) draw(at *attempt, nodes []*table.Node, extra float64) {
	count, found := len(nodes), 0
	var first *table.Node
	for range min(tries, 2*count) {
		no := nodes[pi.rnd.IntN(count)]
		if no == first || !policy.Usable(no, at.pr, at.worst) || !pi.admits(no) {
			continue
		}
		pi.weigh(at, no, extra)
		if first, found = no, found+1; found == 2 {
			return
		}
	}
	start := pi.rnd.IntN(count)
	var reduced *table.Node
	for i := range count {
		no := nodes[(start+i)%count]
		if no == first || !policy.Usable(no, at.pr, at.worst) {
			continue
		}
		if no.Weight() < 1 {
			reduced = no
			continue
		}
		pi.weigh(at, no, extra)
		if found++; found == 2 {
			return
		}
	}
	if found == 0 && reduced != nil {
		pi.weigh(at, reduced, extra)
	}
}

func (pi *Picker) admits(no *table.Node) bool {
	we := no.Weight()
	return we >= 1 || pi.rnd.Float64() < we
}

// weigh keeps the node if it is better than the best so far.
func (pi *Picker) weigh(at *attempt, no *table.Node, extra float64) {
	score := no.Wait() + extra
	for i := range at.held {
		if at.holders[i].Upstream == no.Name {
			score -= min(pi.maxCredit, float64(at.holders[i].Blocks)*pi.perBlock)
		}
	}
	if at.best == nil || score < at.score {
		at.best, at.score = no, score
	}
}
