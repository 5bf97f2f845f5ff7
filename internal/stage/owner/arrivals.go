package owner

import (
	"math"
	"time"

	"github.com/citronstream/citronstream"
)

// arrivalsMemory is the time constant of the measured arrivals. A burst lasts
// some seconds.
const arrivalsMemory = time.Second

// arrivals measures the pieces that come in a second, by the rank of their routes.
type arrivals struct {
	perSecond [citronstream.Ranks]float64
	at        time.Time
}

func (ar *arrivals) add(now time.Time, rank, pieces int) {
	ar.decay(now)
	ar.perSecond[max(0, min(rank, citronstream.Ranks-1))] += float64(pieces) / arrivalsMemory.Seconds()
}

// value returns the rates. A rank without recent arrivals has about 0.
func (ar *arrivals) value(now time.Time) [citronstream.Ranks]float64 {
	ar.decay(now)
	return ar.perSecond
}

func (ar *arrivals) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(ar.at)) / float64(arrivalsMemory))
	for i := range ar.perSecond {
		ar.perSecond[i] *= factor
	}
	ar.at = now
}
