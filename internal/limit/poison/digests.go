package poison

import (
	"container/list"
	"time"
)

// Hold is a held digest as stored in the table row Holds.
type Hold struct {
	Digest   uint64    `json:"Digest"`
	Upstream string    `json:"Upstream,omitempty"` // the last upstream that died
	At       time.Time `json:"At"`
	Until    time.Time `json:"Until"`
	// Lifted is when an operator last lifted the hold. It ends all holds up to then.
	Lifted time.Time `json:"Lifted,omitzero"`
}

func (ho Hold) inForce(now time.Time) bool { return ho.At.After(ho.Lifted) && now.Before(ho.Until) }

// digestRecord is a suspect or a digest that was held.
type digestRecord struct {
	hold Hold
	list *list.List
	told time.Time // when a peer told it; the zero time if it was a suspect here before
}

// digestTable is a bounded table of digests in two lists in order of last use.
type digestTable struct {
	cap      int
	byDigest map[uint64]*list.Element
	suspects *list.List // values are *mark, most recently used first
	holds    *list.List
}

func newMarks(limit int) *digestTable {
	return &digestTable{cap: limit, byDigest: make(map[uint64]*list.Element), suspects: list.New(), holds: list.New()}
}

func (ma *digestTable) len() int { return len(ma.byDigest) }

// get returns the record of a digest, or nil, and marks it as most recently used.
func (ma *digestTable) get(digest uint64) *digestRecord {
	el, ok := ma.byDigest[digest]
	if !ok {
		return nil
	}
	mk := el.Value.(*digestRecord)
	mk.list.MoveToFront(el)
	return mk
}

func (ma *digestTable) suspect(digest uint64) bool { return ma.get(digest) != nil }

// addSuspect returns the record of a digest and adds it as a suspect if necessary.
func (ma *digestTable) addSuspect(digest uint64) *digestRecord {
	if mk := ma.get(digest); mk != nil {
		return mk
	}
	if len(ma.byDigest) >= ma.cap {
		ma.evict()
	}
	mk := &digestRecord{hold: Hold{Digest: digest}, list: ma.suspects}
	ma.byDigest[digest] = ma.suspects.PushFront(mk)
	return mk
}

// evict removes the least recently used suspect or, if there is none, the least
// recently used hold.
func (ma *digestTable) evict() {
	from := ma.suspects
	if from.Len() == 0 {
		from = ma.holds
	}
	mk := from.Remove(from.Back()).(*digestRecord)
	delete(ma.byDigest, mk.hold.Digest)
}

func (ma *digestTable) moveTo(mk *digestRecord, to *list.List) {
	if mk.list == to {
		return
	}
	mk.list.Remove(ma.byDigest[mk.hold.Digest])
	mk.list = to
	ma.byDigest[mk.hold.Digest] = to.PushFront(mk)
}

// hold applies a hold unless a later hold or lift is recorded. It returns true
// if the digest is newly held.
func (ma *digestTable) hold(ho Hold, now time.Time) bool {
	mk := ma.addSuspect(ho.Digest)
	was := mk.hold.inForce(now)
	if ho.Lifted.After(mk.hold.Lifted) {
		mk.hold.Lifted = ho.Lifted
	}
	if ho.At.After(mk.hold.At) {
		mk.hold.Upstream, mk.hold.At, mk.hold.Until = ho.Upstream, ho.At, ho.Until
	}
	if !mk.hold.Until.IsZero() {
		ma.moveTo(mk, ma.holds)
	}
	return !was && mk.hold.inForce(now)
}

// held returns the end of a hold. A digest whose hold has expired becomes a suspect.
func (ma *digestTable) held(digest uint64, now time.Time) (time.Time, bool) {
	mk := ma.get(digest)
	if mk == nil {
		return time.Time{}, false
	}
	if mk.hold.inForce(now) {
		return mk.hold.Until, true
	}
	if !now.Before(mk.hold.Until) {
		ma.moveTo(mk, ma.suspects)
	}
	return time.Time{}, false
}

// lift ends the holds of a digest up to a time. Later ones stay in force.
func (ma *digestTable) lift(digest uint64, at time.Time) {
	if mk := ma.get(digest); mk != nil && at.After(mk.hold.Lifted) {
		mk.hold.Lifted = at
	}
}

// clearSuspect removes a suspect. The record of a lifted hold is kept until it
// expires, so that an old export can't restore the hold.
func (ma *digestTable) clearSuspect(digest uint64, now time.Time) {
	mk := ma.get(digest)
	if mk == nil || now.Before(mk.hold.Until) {
		return
	}
	mk.list.Remove(ma.byDigest[digest])
	delete(ma.byDigest, digest)
}
