package host

import (
	"bytes"
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/standin/record"
)

// PoisonMarker in an input kills the server that runs it.
const PoisonMarker = "citronstream-poison"

// ErrKilled is the cause of a context that ended because the server was killed.
var ErrKilled = errors.New("server killed")

// Poison reports whether an input kills the server that runs it.
func Poison(input []byte) bool { return bytes.Contains(input, []byte(PoisonMarker)) }

// Outcome returns the outcome of an execution whose context has ended.
func Outcome(ctx context.Context) string {
	if errors.Is(context.Cause(ctx), ErrKilled) {
		return record.Killed
	}
	return record.Canceled
}

// Faults holds the fault switches.
type Faults struct {
	clk         citronstream.Clock
	scale       float64
	slow        atomic.Uint64 // bits of a float64
	failureRate atomic.Uint64 // bits of a float64

	mu     sync.Mutex
	rng    *rand.Rand
	paused chan struct{} // closed on resume; nil when not paused
}

func (fs *Faults) init(clk citronstream.Clock, scale float64, seed uint64) {
	fs.clk, fs.scale, fs.rng = clk, scale, rand.New(rand.NewPCG(seed, seed))
	fs.Slow(1)
}

// Slow multiplies all service times by factor.
func (fs *Faults) Slow(factor float64) { fs.slow.Store(math.Float64bits(factor)) }

// Fail makes this share of calls, 0 to 1, fail with status 500 before they take effect.
func (fs *Faults) Fail(rate float64) { fs.failureRate.Store(math.Float64bits(rate)) }

// Failing chooses at random whether a call fails.
func (fs *Faults) Failing() bool {
	rate := math.Float64frombits(fs.failureRate.Load())
	if rate <= 0 {
		return false
	}
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.rng.Float64() < rate
}

// Pause makes the server accept connections and requests and do nothing
// until it is resumed. Running requests stop as well.
func (fs *Faults) Pause(on bool) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	switch {
	case on && fs.paused == nil:
		fs.paused = make(chan struct{})
	case !on && fs.paused != nil:
		close(fs.paused)
		fs.paused = nil
	}
}

// waitWhilePaused waits while the server is paused.
func (fs *Faults) waitWhilePaused(ctx context.Context) error {
	fs.mu.Lock()
	paused := fs.paused
	fs.mu.Unlock()
	if paused == nil {
		return ctx.Err()
	}
	select {
	case <-paused:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Scaled returns the time that d takes under the scale and the slow switch.
func (fs *Faults) Scaled(d time.Duration) time.Duration {
	if fs.scale <= 0 {
		return 0
	}
	return time.Duration(float64(d) * math.Float64frombits(fs.slow.Load()) / fs.scale)
}

// Sleep waits for service time d, scaled and slowed, and then until the server
// is not paused. It fails when ctx ends first.
func (fs *Faults) Sleep(ctx context.Context, d time.Duration) error {
	if d = fs.Scaled(d); d > 0 {
		timer := fs.clk.NewTimer(d)
		defer timer.Stop()
		select {
		case <-timer.Chan():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return fs.waitWhilePaused(ctx)
}
