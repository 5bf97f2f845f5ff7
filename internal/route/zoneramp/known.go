package zoneramp

import "time"

// maxSuspended is the time for which an instance may be suspended without notice: clocks that
// are read one after the other differ a little.
const maxSuspended = 50 * time.Millisecond

// Known is up to when a gateway knew of all evacuations. The clock of a process stands still
// while its instance is suspended, so that nothing is known for some time after that.
type Known struct {
	at        time.Time
	suspended time.Duration
	trusted   time.Time // from when on the clock has run long enough
}

// Next returns what is known at a time from which on evacuations up to asOf are known, with the
// time for which the instance has been suspended in all. Evacuations must take effect within
// bound.
func (kn Known) Next(asOf, now time.Time, suspended, bound time.Duration) Known {
	next := Known{at: asOf, suspended: suspended, trusted: kn.trusted}
	if suspended-kn.suspended > maxSuspended {
		next.trusted = now.Add(bound)
	}
	return next
}

// At returns up to when evacuations were known, the zero value if that can't be told.
func (kn Known) At(now time.Time, suspended time.Duration) time.Time {
	if now.Before(kn.trusted) || suspended-kn.suspended > maxSuspended {
		return time.Time{}
	}
	return kn.at
}
