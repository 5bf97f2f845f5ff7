package policy

import (
	"math/rand/v2"
	"sync/atomic"
)

// counter is a rand.Source that is safe for concurrent use without a lock:
// SplitMix64 over an atomic counter (Steele, Lea, Flood: Fast splittable
// pseudorandom number generators, 2014).
type counter struct{ at atomic.Uint64 }

// Uint64 implements rand.Source.
func (co *counter) Uint64() uint64 {
	mix := co.at.Add(0x9e3779b97f4a7c15)
	mix = (mix ^ mix>>30) * 0xbf58476d1ce4e5b9
	mix = (mix ^ mix>>27) * 0x94d049bb133111eb
	return mix ^ mix>>31
}

// NewRand returns a seeded generator that is safe for concurrent use.
func NewRand(seed uint64) *rand.Rand {
	co := &counter{}
	co.at.Store(seed)
	return rand.New(co)
}
