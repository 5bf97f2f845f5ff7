// Package fetchtime estimates how long the inputs of a job must be kept until the
// upstream that runs it has read them.
package fetchtime

import (
	"sync"
	"time"
)

const (
	// margin is added to the transfer time, for latency and for other readers at
	// the same upstream.
	margin = 60 * time.Millisecond
	// links is the number of links that each byte passes: that of its source and
	// that of its reader.
	links = 2
	// step multiplies the time after an input was released too early, up to
	// maxFactor.
	step      = 2.0
	maxFactor = 64.0
	// decay shortens the time again after each job that found its inputs.
	decay = 0.98
)

// Estimator is safe for concurrent use.
type Estimator struct {
	mu     sync.Mutex
	factor float64
}

// New returns an estimator without measurements.
func New() *Estimator { return &Estimator{factor: 1} }

// Time returns how long inputs of this size must be kept after the start of the
// job, 0 if the link rate (in Mbit/s) is unknown.
func (es *Estimator) Time(bytes int, rate float64) time.Duration {
	if bytes <= 0 || rate <= 0 {
		return 0
	}
	es.mu.Lock()
	defer es.mu.Unlock()
	transfer := time.Duration(links * 8 * float64(bytes) / (rate * 1e6) * float64(time.Second))
	return time.Duration(es.factor * float64(transfer+margin))
}

// Adjust updates the estimate after a job whose inputs were released early.
// InputLost says that the upstream did not find one.
func (es *Estimator) Adjust(inputLost bool) {
	es.mu.Lock()
	defer es.mu.Unlock()
	if inputLost {
		es.factor = min(es.factor*step, maxFactor)
	} else {
		es.factor = max(1, es.factor*decay)
	}
}
