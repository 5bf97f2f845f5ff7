// Package throttle refuses requests at an entry while the agents refuse requests
// of the same kind. Otherwise a request whose last stage will be refused would
// run its earlier stages in vain and could no longer be refused as not run.
//
// It implements adaptive throttling (Beyer et al., Site Reliability Engineering,
// 2016, chapter 21): with r requests of which a were accepted, a request is
// refused with probability max(0, (r - k a) / (r + 1)).
package throttle

import (
	"container/list"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
)

const (
	// decayTime is the time constant of the counts, which react to a flood within 1 to 2 s.
	decayTime = 2 * time.Second
	// acceptMultiplier is k, the requests admitted for each accepted one. Above 1,
	// the end of a flood is detected soon.
	acceptMultiplier = 1.5
	// minRefusals is the number of refused requests below which every request is admitted.
	minRefusals = 10
	// maxKinds bounds the kinds with counts; the least recently used is evicted.
	maxKinds = 8192
)

// Kind identifies requests that are throttled together.
type Kind struct {
	Workspace string
	Rank      int
	Target    string // pipeline or service
}

type counts struct {
	kind     Kind
	requests float64
	accepted float64
	updated  time.Time
}

// Throttle counts the requests of one entry by kind.
type Throttle struct {
	clk    citronstream.Clock
	mu     sync.Mutex
	rnd    *rand.Rand
	byKind map[Kind]*list.Element
	order  *list.List // of *counts, least recently used first
}

// New returns a throttle without counts, which admits every request.
func New(clk citronstream.Clock, seed uint64) *Throttle {
	return &Throttle{clk: clk, rnd: rand.New(rand.NewPCG(seed, 5)), byKind: make(map[Kind]*list.Element), order: list.New()}
}

// Admit decides at random whether a request may start, and counts it if it is refused.
func (th *Throttle) Admit(kind Kind) bool {
	th.mu.Lock()
	defer th.mu.Unlock()
	co := th.get(kind)
	refuse := 0.0
	if co.requests-co.accepted >= minRefusals {
		refuse = math.Max(0, (co.requests-acceptMultiplier*co.accepted)/(co.requests+1))
	}
	if th.rnd.Float64() >= refuse {
		return true
	}
	co.requests++
	return false
}

// Ended counts an admitted request. Overloaded means that it was refused for
// lack of capacity.
func (th *Throttle) Ended(kind Kind, overloaded bool) {
	th.mu.Lock()
	defer th.mu.Unlock()
	co := th.get(kind)
	co.requests++
	if !overloaded {
		co.accepted++
	}
}

// Len returns the number of kinds with counts.
func (th *Throttle) Len() int {
	th.mu.Lock()
	defer th.mu.Unlock()
	return len(th.byKind)
}

// get returns the decayed counts of a kind and creates them if necessary.
func (th *Throttle) get(kind Kind) *counts {
	now := th.clk.Now()
	if el, ok := th.byKind[kind]; ok {
		co := el.Value.(*counts)
		factor := math.Exp(-now.Sub(co.updated).Seconds() / decayTime.Seconds())
		co.requests *= factor
		co.accepted *= factor
		co.updated = now
		th.order.MoveToBack(el)
		return co
	}
	if len(th.byKind) >= maxKinds {
		oldest := th.order.Front()
		th.order.Remove(oldest)
		delete(th.byKind, oldest.Value.(*counts).kind)
	}
	co := &counts{kind: kind, updated: now}
	th.byKind[kind] = th.order.PushBack(co)
	return co
}
