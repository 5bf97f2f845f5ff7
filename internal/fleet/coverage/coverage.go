// Package coverage tracks how current a copy of a table is that other entries
// keep up to date. Load pattern: a reader that is paused, cut off or lost leaves
// the entries that rely on it with an old copy; they have to notice by themselves.
package coverage

import "time"

// maxAhead is how far another entry's reading may lie ahead of this process's idea
// of the store's clock: half of a slow answer's time. More means that the own
// clock has stood still, as that of a suspended machine does.
const maxAhead = time.Second

// Coverage says up to which version of the store a copy has all changes, and at
// which time it was known to be current. The zero value has nothing.
type Coverage struct {
	version uint64
	asOf    time.Time
	// At the time base of the own clock, that of the store was storeBase or less.
	base      time.Time
	storeBase time.Duration
}

// Read records a read of the store that brought the copy to a version. AsOf is
// the latest time at which the store is known to have been in that state, store
// the time of its clock then or later.
func (co *Coverage) Read(version uint64, asOf time.Time, store time.Duration) {
	co.version, co.base, co.storeBase = max(co.version, version), asOf, store
	co.advance(asOf)
}

// Expire makes the copy old, so that it is read.
func (co *Coverage) Expire() { co.asOf = time.Time{} }

// Heard records another entry's read of all changes after one version up to
// another, as of a time of the store's clock. It returns false if the copy lacks
// changes from before, as a message was lost, or if the own clock has stood still:
// then only a read helps.
func (co *Coverage) Heard(after, version uint64, asOf time.Duration, now time.Time) bool {
	at := co.OwnTime(asOf)
	if at.Sub(now) > maxAhead {
		co.Expire()
		return false
	}
	if after > co.version {
		return false
	}
	if version < co.version {
		return true // says nothing about the changes since
	}
	co.version = version
	co.advance(at)
	return true
}

// OwnTime returns the time of the own clock at a time of the store's clock, or an earlier one.
func (co *Coverage) OwnTime(asOf time.Duration) time.Time { return co.base.Add(asOf - co.storeBase) }

func (co *Coverage) advance(asOf time.Time) {
	if asOf.After(co.asOf) {
		co.asOf = asOf
	}
}

// Version returns the version up to which the copy has all changes.
func (co *Coverage) Version() uint64 { return co.version }

// AsOf returns the time at which the copy was known to be current, the zero value if it is not.
func (co *Coverage) AsOf() time.Time { return co.asOf }

// Age returns how old the copy may be.
func (co *Coverage) Age(now time.Time) time.Duration { return now.Sub(co.asOf) }
