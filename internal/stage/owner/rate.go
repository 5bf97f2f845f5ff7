package owner

import "time"

const (
	// rateWindow is the time over which finished pieces are counted. It spans
	// several batches.
	rateWindow = 2 * time.Second
	rateParts  = 8
)

// rate measures the pieces that are made in a second while others wait.
type rate struct {
	parts [rateParts]ratePart
}

type ratePart struct {
	number  int64
	made    int
	looks   int // how often the queue was looked at
	waiting int // how often pieces waited
}

func (ra *rate) part(now time.Time) *ratePart {
	number := now.UnixNano() / int64(rateWindow/rateParts)
	pa := &ra.parts[number%rateParts]
	if pa.number != number {
		*pa = ratePart{number: number}
	}
	return pa
}

func (ra *rate) made(now time.Time, pieces int) { ra.part(now).made += pieces }

func (ra *rate) waiting(now time.Time, waits bool) {
	pa := ra.part(now)
	pa.looks++
	if waits {
		pa.waiting++
	}
}

// value returns the measured rate if pieces waited all the time, as only then
// it shows what the upstreams can make; else the ideal one.
func (ra *rate) value(now time.Time, ideal float64) float64 {
	current := now.UnixNano() / int64(rateWindow/rateParts)
	made, looks, waiting := 0, 0, 0
	for i := range ra.parts {
		if age := current - ra.parts[i].number; age >= 1 && age < rateParts {
			made, looks, waiting = made+ra.parts[i].made, looks+ra.parts[i].looks, waiting+ra.parts[i].waiting
		}
	}
	if looks == 0 || waiting < looks || made == 0 {
		return ideal
	}
	return min(ideal, float64(made)/(rateWindow.Seconds()*(rateParts-1)/rateParts))
}
