// Package outage tells whether the row of an upstream that was removed from the store may
// have expired only because its heartbeats could not be written. Load pattern: a store that
// is silent or refuses for seconds under full load, at whose return the rows of all
// upstreams may be gone at once, while some upstreams leave at the same time.
package outage

import (
	"slices"
	"time"
)

const (
	// Grace is how long after the store's return a row that may have expired is waited
	// for. An upstream that is alive has written it again within about 2 s.
	Grace = 2200 * time.Millisecond
	// missedHeartbeats is the number of heartbeat intervals after the last write of a row
	// below which it can't have expired. The store keeps rows for three intervals; the rest
	// is for clocks that differ.
	missedHeartbeats = 2.9
	// peerFresh is how long after a peer has told a read of the store a failure of this
	// process does not count: the store is then away for this process at most.
	peerFresh = time.Second
	// markInterval and maxMarks bound the record of versions. It reaches back 15 s, longer
	// than three heartbeat intervals.
	markInterval = 100 * time.Millisecond
	maxMarks     = 150
)

// mark says that the store was at a version at some time or later.
type mark struct {
	version uint64
	at      time.Time
}

// Record has what this process knows of the store's reachability. The caller serializes
// the calls.
type Record struct {
	expiry time.Duration
	marks  []mark // ascending by version and time
	// away says that the last call failed; since then the store has not answered.
	away     bool
	lastAway time.Time // the latest time at which it may have been away; zero if never
	answered time.Time // the last answer
	told     time.Time // the last read of a peer
	// back is the version of the store at its return, if that is known; rows with a higher
	// one were written after it.
	back      uint64
	backKnown bool
}

// New returns an empty record. Heartbeat is the interval in which upstreams write their
// rows, 0 if it is unknown.
func New(heartbeat time.Duration) *Record {
	return &Record{expiry: time.Duration(missedHeartbeats * float64(heartbeat))}
}

// Failed records a call that the store did not answer although it was asked until a time. It says nothing new if the store has
// answered another call since then, or if a peer has just read it.
func (re *Record) Failed(asked, now time.Time) {
	if !re.answered.IsZero() && asked.Before(re.answered) || !re.told.IsZero() && now.Sub(re.told) < peerFresh {
		return
	}
	re.away, re.lastAway, re.backKnown = true, now, false
}

// Disturbed records that the store was slow or unreachable at this moment only.
func (re *Record) Disturbed(now time.Time) { re.lastAway, re.backKnown = now, false }

// Restored records that the store has come back from an older copy, which may lack rows. When
// the rows of the copy were written is not known.
func (re *Record) Restored(now time.Time) {
	re.marks = nil
	re.Disturbed(now)
}

// Answered records that a call was answered, with the store at a version. It had no higher
// version when the call began.
func (re *Record) Answered(version uint64, began, now time.Time) {
	re.answered = now
	re.up(version, began, now)
}

// Told records that a peer has told its read of the store at a version, which was current
// at the time asOf or later.
func (re *Record) Told(version uint64, asOf, now time.Time) {
	if asOf.Before(re.told) || asOf.Before(re.lastAway) {
		return
	}
	re.told = asOf
	re.up(version, asOf, now)
}

func (re *Record) up(version uint64, asOf, now time.Time) {
	if re.away {
		re.away, re.lastAway = false, now
	}
	if !re.backKnown {
		re.back, re.backKnown = version, true
	}
	if last := len(re.marks) - 1; last >= 0 {
		mk := &re.marks[last]
		if version == mk.version && asOf.After(mk.at) {
			mk.at = asOf
		}
		if version <= mk.version || asOf.Sub(mk.at) < markInterval {
			return
		}
	}
	if len(re.marks) >= maxMarks {
		re.marks = slices.Delete(re.marks, 0, 1)
	}
	re.marks = append(re.marks, mark{version: version, at: asOf})
}

// MayHaveExpired reports whether the row of an upstream that had a version when it was
// removed may have expired because the store was away. If not, it was removed on purpose
// or its upstream has ended.
func (re *Record) MayHaveExpired(version uint64, now time.Time) bool {
	if re.lastAway.IsZero() || re.Over(now) || re.backKnown && version > re.back {
		return false
	}
	written, known := re.writtenAfter(version)
	return !known || re.expiry <= 0 || now.Sub(written) >= re.expiry
}

// Over reports whether an upstream that is alive has had the time to write its row again.
func (re *Record) Over(now time.Time) bool { return !re.away && now.Sub(re.lastAway) >= Grace }

// writtenAfter returns a time after which the row with a version was written.
func (re *Record) writtenAfter(version uint64) (time.Time, bool) {
	for i := len(re.marks) - 1; i >= 0; i-- {
		if re.marks[i].version < version {
			return re.marks[i].at, true
		}
	}
	return time.Time{}, false
}
