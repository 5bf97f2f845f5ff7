package poison

import (
	"container/list"
	"time"
)

// Hold is a held digest as it stands in the table row Holds.
type Hold struct {
	Digest   uint64    `json:"Digest"`
	Upstream string    `json:"Upstream,omitempty"` // the upstream that died last
	At       time.Time `json:"At"`
	Until    time.Time `json:"Until"`
	// Lifted is the time at which an operator lifted holds up to then.
	Lifted time.Time `json:"Lifted,omitzero"`
}

func (ho Hold) inForce(now time.Time) bool { return ho.At.After(ho.Lifted) && now.Before(ho.Until) }

// mark is a suspect or, with until in the future, a held digest.
type mark struct {
	hold Hold
	in   *list.List
}

// marks is a bounded table of digests in two lists by last use.
type marks struct {
	cap      int
	byDigest map[uint64]*list.Element
	suspects *list.List // values are *mark, most recently used first
	holds    *list.List
}

func newMarks(limit int) *marks {
	return &marks{cap: limit, byDigest: make(map[uint64]*list.Element), suspects: list.New(), holds: list.New()}
}

func (ma *marks) len() int { return len(ma.byDigest) }

// get finds a digest and makes it the most recently used.
func (ma *marks) get(digest uint64) *mark {
	el, ok := ma.byDigest[digest]
	if !ok {
		return nil
	}
	mk := el.Value.(*mark)
	mk.in.MoveToFront(el)
	return mk
}

func (ma *marks) suspect(digest uint64) bool { return ma.get(digest) != nil }

// mark makes a digest a suspect.
func (ma *marks) mark(digest uint64) *mark {
	if mk := ma.get(digest); mk != nil {
		return mk
	}
	if len(ma.byDigest) >= ma.cap {
		ma.evict()
	}
	mk := &mark{hold: Hold{Digest: digest}, in: ma.suspects}
	ma.byDigest[digest] = ma.suspects.PushFront(mk)
	return mk
}

// evict drops the least recently used suspect, or if there is none the least
// recently used hold.
func (ma *marks) evict() {
	from := ma.suspects
	if from.Len() == 0 {
		from = ma.holds
	}
	mk := from.Remove(from.Back()).(*mark)
	delete(ma.byDigest, mk.hold.Digest)
}

func (ma *marks) move(mk *mark, to *list.List) {
	if mk.in == to {
		return
	}
	mk.in.Remove(ma.byDigest[mk.hold.Digest])
	mk.in = to
	ma.byDigest[mk.hold.Digest] = to.PushFront(mk)
}

// hold puts a hold in force unless a later one or a later lift is known. It
// returns true if the digest was not held before.
func (ma *marks) hold(ho Hold, now time.Time) bool {
	mk := ma.mark(ho.Digest)
	was := mk.hold.inForce(now)
	if ho.Lifted.After(mk.hold.Lifted) {
		mk.hold.Lifted = ho.Lifted
	}
	if ho.At.After(mk.hold.At) {
		mk.hold.Upstream, mk.hold.At, mk.hold.Until = ho.Upstream, ho.At, ho.Until
	}
	if !mk.hold.Until.IsZero() {
		ma.move(mk, ma.holds)
	}
	return !was && mk.hold.inForce(now)
}

// held returns the end of a hold. A hold that has ended leaves a suspect.
func (ma *marks) held(digest uint64, now time.Time) (time.Time, bool) {
	mk := ma.get(digest)
	if mk == nil {
		return time.Time{}, false
	}
	if mk.hold.inForce(now) {
		return mk.hold.Until, true
	}
	if !now.Before(mk.hold.Until) {
		ma.move(mk, ma.suspects)
	}
	return time.Time{}, false
}

// lift ends the holds of a digest up to a time. Later ones stay in force.
func (ma *marks) lift(digest uint64, at time.Time) {
	if mk := ma.get(digest); mk != nil && at.After(mk.hold.Lifted) {
		mk.hold.Lifted = at
	}
}

// clear forgets a suspect. The record of a lifted hold stays until its
// expiry, so that an old export can't bring the hold back.
func (ma *marks) clear(digest uint64, now time.Time) {
	mk := ma.get(digest)
	if mk == nil || now.Before(mk.hold.Until) {
		return
	}
	mk.in.Remove(ma.byDigest[digest])
	delete(ma.byDigest, digest)
}
