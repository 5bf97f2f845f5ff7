// Package patience learns how long the inputs of a piece of work must be kept
// until the upstream that works on it has read them.
package patience

import (
	"sync"
	"time"
)

const (
	// margin is added to the time of the bytes: for the way to the upstream, and
	// for others that read from the same maker.
	margin = 60 * time.Millisecond
	// links are passed by each byte: that of its maker and that of its reader.
	links = 2
	// step is the factor by which inputs are kept longer after one was not found
	// that had been given up, up to most.
	step = 2.0
	most = 64.0
	// decay shortens the time again with each work that found its inputs.
	decay = 0.98
)

// Patience is safe for concurrent use.
type Patience struct {
	mu     sync.Mutex
	factor float64
}

// New returns a patience that has learned nothing.
func New() *Patience { return &Patience{factor: 1} }

// Time returns how long inputs of this size are to be kept after the start of
// the work, 0 when the rate of the link (in Mbit/s) is not known.
func (pa *Patience) Time(bytes int, rate float64) time.Duration {
	if bytes <= 0 || rate <= 0 {
		return 0
	}
	pa.mu.Lock()
	defer pa.mu.Unlock()
	read := time.Duration(links * 8 * float64(bytes) / (rate * 1e6) * float64(time.Second))
	return time.Duration(pa.factor * float64(read+margin))
}

// Learn notes work whose inputs had been given up, and whether one was not found.
func (pa *Patience) Learn(gone bool) {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	if gone {
		pa.factor = min(pa.factor*step, most)
	} else {
		pa.factor = max(1, pa.factor*decay)
	}
}
