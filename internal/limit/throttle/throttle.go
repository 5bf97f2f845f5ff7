// Package throttle refuses requests at an entry while their kind is being
// refused by the agents. A request whose last stage will be refused would
// otherwise run its earlier stages for nothing, and could no longer be refused
// as not run.
//
// The rule is the adaptive throttling of Beyer et al., Site Reliability
// Engineering (2016), chapter 21: with r requests and a accepted ones in the
// window, refuse with probability max(0, (r - k a) / (r + 1)).
package throttle

import (
	"container/list"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
)

// Defaults of the rule.
const (
	// window is the time constant of the counts. It follows a flood within a second or two.
	window = 2 * time.Second
	// slack is k: how many requests are let through for each accepted one, so
	// that the end of a flood is seen soon.
	slack = 1.5
	// least is the count of refusals below which nothing is refused.
	least = 10
	// maxKinds bounds the kinds that are kept, least recently used first out.
	maxKinds = 8192
)

// Kind is what is throttled together.
type Kind struct {
	Workspace string
	Rank      int
	Target    string // pipeline or service
}

type counts struct {
	kind     Kind
	requests float64
	accepted float64
	at       time.Time
}

// Throttle keeps the counts of one entry.
type Throttle struct {
	clk    citronstream.Clock
	mu     sync.Mutex
	rnd    *rand.Rand
	byKind map[Kind]*list.Element
	order  *list.List // of *counts, least recently used first
}

// New returns a throttle that refuses nothing yet.
func New(clk citronstream.Clock, seed uint64) *Throttle {
	return &Throttle{clk: clk, rnd: rand.New(rand.NewPCG(seed, 5)), byKind: make(map[Kind]*list.Element), order: list.New()}
}

// Admit draws whether a request may start. A refused one counts as a request.
func (th *Throttle) Admit(kind Kind) bool {
	th.mu.Lock()
	defer th.mu.Unlock()
	co := th.get(kind)
	refuse := 0.0
	if co.requests-co.accepted >= least {
		refuse = math.Max(0, (co.requests-slack*co.accepted)/(co.requests+1))
	}
	if th.rnd.Float64() >= refuse {
		return true
	}
	co.requests++
	return false
}

// Ended counts a request that was admitted. Overloaded says that it was
// refused for want of capacity.
func (th *Throttle) Ended(kind Kind, overloaded bool) {
	th.mu.Lock()
	defer th.mu.Unlock()
	co := th.get(kind)
	co.requests++
	if !overloaded {
		co.accepted++
	}
}

// Len returns the number of kinds kept.
func (th *Throttle) Len() int {
	th.mu.Lock()
	defer th.mu.Unlock()
	return len(th.byKind)
}

// get returns the decayed counts of a kind.
func (th *Throttle) get(kind Kind) *counts {
	now := th.clk.Now()
	if el, ok := th.byKind[kind]; ok {
		co := el.Value.(*counts)
		keep := math.Exp(-now.Sub(co.at).Seconds() / window.Seconds())
		co.requests *= keep
		co.accepted *= keep
		co.at = now
		th.order.MoveToBack(el)
		return co
	}
	if len(th.byKind) >= maxKinds {
		oldest := th.order.Front()
		th.order.Remove(oldest)
		delete(th.byKind, oldest.Value.(*counts).kind)
	}
	co := &counts{kind: kind, at: now}
	th.byKind[kind] = th.order.PushBack(co)
	return co
}
