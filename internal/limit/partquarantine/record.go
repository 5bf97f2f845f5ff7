package partquarantine

import (
	"container/list"
	"slices"
	"time"
)

// crash is the death of an upstream at which a part was in flight.
type crash struct {
	death    string
	at       time.Time
	sent     time.Time // the last of the requests
	requests []uint64  // digests of the requests with the part
	// explained says that another part of these requests is held for it.
	explained bool
}

func (cr *crash) has(digests []uint64) bool {
	return slices.ContainsFunc(cr.requests, func(digest uint64) bool { return slices.Contains(digests, digest) })
}

// record is a suspect or held part.
type record struct {
	part      uint64
	crashes   []crash // independent ones, at most crashesOfOne
	dependent []crash // the last others, at most maxDependent
	heldUntil time.Time
	position  int    // in the prompt
	upstream  string // that crashed last
	own       bool   // a request of this entry was in flight at a crash
	list      *list.List
}

func (rec *record) held() bool { return !rec.heldUntil.IsZero() }

// last returns the time of the last crash.
func (rec *record) last() (at time.Time) {
	if len(rec.crashes) > 0 {
		at = rec.crashes[len(rec.crashes)-1].at
	}
	return at
}

// dependent reports whether a later crash may have the same cause, other than the part.
// A request of both was sent again after the first; its times in the messages of two
// entries may not show that, as messages take different times.
func (cr *crash) dependent(later *crash) bool {
	return later.sent.Before(cr.at) && later.at.Sub(cr.at) < crashGap && !cr.has(later.requests)
}

func find(crashes []crash, death string) *crash {
	if i := slices.IndexFunc(crashes, func(cr crash) bool { return cr.death == death }); i >= 0 {
		return &crashes[i]
	}
	return nil
}

func without(crashes []crash, death string) []crash {
	return slices.DeleteFunc(crashes, func(cr crash) bool { return cr.death == death })
}

// count records a crash, and reports whether it counts: it is not known and is
// independent of the others.
func (rec *record) count(cr crash) bool {
	if known := find(rec.crashes, cr.death); known != nil {
		known.merge(&cr)
		return false
	}
	if known := find(rec.dependent, cr.death); known != nil {
		known.merge(&cr)
		cr = *known
		rec.dependent = without(rec.dependent, cr.death)
	}
	if !rec.insert(&cr) {
		rec.dependent = append(rec.dependent, cr)
		rec.dependent = rec.dependent[max(0, len(rec.dependent)-maxDependent):]
		return false
	}
	return true
}

// insert adds a crash if it is independent of the others, and reports whether it did.
func (rec *record) insert(cr *crash) bool {
	at := len(rec.crashes)
	for at > 0 && rec.crashes[at-1].at.After(cr.at) {
		at--
	}
	if at > 0 && rec.crashes[at-1].dependent(cr) || at < len(rec.crashes) && cr.dependent(&rec.crashes[at]) {
		return false
	}
	crashes := slices.Insert(slices.Clone(rec.crashes), at, *cr)
	for i := max(0, at-2); i <= at && i+2 < len(crashes); i++ {
		if crashes[i+2].at.Sub(crashes[i].at) < crashGap {
			return false // requests that are sent again meet the next of many upstreams that are lost together
		}
	}
	rec.crashes = crashes[max(0, len(crashes)-crashesOfOne):]
	return true
}

// merge adds what another reporter of the death tells.
func (cr *crash) merge(other *crash) {
	if other.at.Before(cr.at) {
		cr.at = other.at
	}
	if other.sent.After(cr.sent) {
		cr.sent = other.sent
	}
	if len(cr.requests) < maxDigests && !cr.has(other.requests) {
		cr.requests = append(cr.requests, other.requests...)
	}
}

// due reports whether the part must be held.
func (rec *record) due() bool {
	count := len(rec.crashes)
	return !rec.held() && count > 0 && !rec.crashes[count-1].explained && enough(rec.crashes)
}

// enough reports whether these crashes suffice to hold a part.
func enough(crashes []crash) bool {
	return len(crashes) >= crashesOfOne || len(crashes) >= crashesToHold && !ofOneRequest(crashes)
}

// explains reports whether the part was in flight at all crashes of another one, counted
// or not, so that it may have caused them as well.
func (rec *record) explains(crashes []crash) bool {
	all := slices.Concat(rec.crashes, rec.dependent)
	return enough(all) && !slices.ContainsFunc(crashes, func(cr crash) bool { return find(all, cr.death) == nil })
}

// likely reports whether one more crash may get the part held.
func (rec *record) likely() bool { return len(rec.crashes) >= crashesToHold-1 }

// ofOneRequest reports whether one request was in flight at all crashes.
func ofOneRequest(crashes []crash) bool {
	return slices.ContainsFunc(crashes[0].requests, func(digest uint64) bool {
		return !slices.ContainsFunc(crashes, func(cr crash) bool { return !slices.Contains(cr.requests, digest) })
	})
}

// evictScan is the number of the least recently used suspects of which one makes room.
const evictScan = 64

// table is a bounded table of parts in two lists in order of last use.
type table struct {
	cap      int
	byPart   map[uint64]*list.Element
	suspects *list.List // values are *record, most recently used first
	holds    *list.List
}

func newTable(limit int) *table {
	return &table{cap: limit, byPart: make(map[uint64]*list.Element), suspects: list.New(), holds: list.New()}
}

// get returns the record of a part, or nil.
func (ta *table) get(part uint64) *record {
	el, ok := ta.byPart[part]
	if !ok {
		return nil
	}
	rec := el.Value.(*record)
	rec.list.MoveToFront(el)
	return rec
}

// add returns the record of a part and adds it as a suspect if necessary. Of the least
// recently used suspects the one with the fewest crashes yields, or a hold if there is no
// suspect.
func (ta *table) add(part uint64) *record {
	if rec := ta.get(part); rec != nil {
		return rec
	}
	if len(ta.byPart) >= ta.cap {
		ta.remove(ta.evictable())
	}
	rec := &record{part: part, list: ta.suspects}
	ta.byPart[part] = ta.suspects.PushFront(rec)
	return rec
}

// evictable returns the record that makes room for another one.
func (ta *table) evictable() *record {
	el := ta.suspects.Back()
	if el == nil {
		return ta.holds.Back().Value.(*record)
	}
	fewest := el.Value.(*record)
	for range evictScan {
		if el = el.Prev(); el == nil || len(fewest.crashes) <= 1 {
			break
		}
		if rec := el.Value.(*record); len(rec.crashes) < len(fewest.crashes) {
			fewest = rec
		}
	}
	return fewest
}

func (ta *table) moveTo(rec *record, to *list.List) {
	rec.list.Remove(ta.byPart[rec.part])
	rec.list = to
	ta.byPart[rec.part] = to.PushFront(rec)
}

func (ta *table) remove(rec *record) {
	rec.list.Remove(ta.byPart[rec.part])
	delete(ta.byPart, rec.part)
}

// forget removes a crash from the suspects. Those that were in one of these requests and
// have never run soundly keep it, but it no longer suffices to hold them.
func (ta *table) forget(death string, requests []uint64, hasRun func(part uint64) bool) {
	for el := ta.suspects.Front(); el != nil; {
		rec := el.Value.(*record)
		el = el.Next()
		for i := range rec.crashes {
			if cr := &rec.crashes[i]; cr.death == death && cr.has(requests) && !hasRun(rec.part) {
				cr.explained = true
			}
		}
		rec.crashes = slices.DeleteFunc(rec.crashes, func(cr crash) bool { return cr.death == death && !cr.explained })
		rec.dependent = without(rec.dependent, death)
		if len(rec.crashes) == 0 {
			ta.remove(rec)
		}
	}
}

// lru is a bounded map that evicts the least recently written entry.
type lru[K comparable, V any] struct {
	cap   int
	byKey map[K]*list.Element
	order *list.List // values are *lruEntry, most recently written first
}

type lruEntry[K comparable, V any] struct {
	key   K
	value V
}

func newLRU[K comparable, V any](limit int) *lru[K, V] {
	return &lru[K, V]{cap: limit, byKey: make(map[K]*list.Element), order: list.New()}
}

func (lr *lru[K, V]) get(key K) (value V, ok bool) {
	el, ok := lr.byKey[key]
	if ok {
		value = el.Value.(*lruEntry[K, V]).value
	}
	return value, ok
}

func (lr *lru[K, V]) put(key K, value V) {
	if el, ok := lr.byKey[key]; ok {
		el.Value.(*lruEntry[K, V]).value = value
		lr.order.MoveToFront(el)
		return
	}
	if lr.order.Len() >= lr.cap {
		oldest := lr.order.Remove(lr.order.Back()).(*lruEntry[K, V])
		delete(lr.byKey, oldest.key)
	}
	lr.byKey[key] = lr.order.PushFront(&lruEntry[K, V]{key: key, value: value})
}
