package owner

import "time"

const (
	// rateWindow is the time over which finished pieces are counted. It spans
	// several batches.
	rateWindow  = 2 * time.Second
	rateBuckets = 8
)

// rate measures the pieces finished per second while others wait, relative to the ideal rate
// of the upstreams that got work meanwhile: upstreams that leave, return or are in a pause
// count at once.
type rate struct {
	buckets [rateBuckets]rateBucket
}

type rateBucket struct {
	number  int64
	done    int
	samples int     // samples of the queue
	waiting int     // samples in which pieces waited
	ideal   float64 // sum of the ideal rates of the samples
}

func (ra *rate) bucket(now time.Time) *rateBucket {
	number := now.UnixNano() / int64(rateWindow/rateBuckets)
	pa := &ra.buckets[number%rateBuckets]
	if pa.number != number {
		*pa = rateBucket{number: number}
	}
	return pa
}

func (ra *rate) addDone(now time.Time, pieces int) { ra.bucket(now).done += pieces }

// sample records whether pieces wait, and the ideal rate of the upstreams at work.
func (ra *rate) sample(now time.Time, waits bool, ideal float64) {
	pa := ra.bucket(now)
	pa.samples++
	pa.ideal += ideal
	if waits {
		pa.waiting++
	}
}

// value returns the measured part of the ideal rate if pieces waited during the whole window,
// as only then it shows the capacity of the upstreams; otherwise the ideal rate.
func (ra *rate) value(now time.Time, ideal float64) float64 {
	current := now.UnixNano() / int64(rateWindow/rateBuckets)
	made, samples, waiting, possible := 0, 0, 0, 0.0
	for i := range ra.buckets {
		if age := current - ra.buckets[i].number; age >= 1 && age < rateBuckets {
			made, samples, waiting, possible = made+ra.buckets[i].done, samples+ra.buckets[i].samples, waiting+ra.buckets[i].waiting, possible+ra.buckets[i].ideal
		}
	}
	if samples == 0 || waiting < samples || made == 0 || possible <= 0 {
		return ideal
	}
	measured := float64(made) / (rateWindow.Seconds() * (rateBuckets - 1) / rateBuckets)
	return ideal * min(1, measured/(possible/float64(samples)))
}
