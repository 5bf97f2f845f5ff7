// Package orders commands the engine beside an agent: the agent computes its
// engine's part of the accepted configuration and has the engine load it.
package orders

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/once/grant"
	"github.com/citronstream/citronstream/internal/once/guard"
)

const (
	// checkEvery is how often the engine's models are compared with its part:
	// an engine that restarted has lost them.
	checkEvery = 2 * time.Second
	// firstRetry and lastRetry bound the backoff after a failure.
	firstRetry = 250 * time.Millisecond
	lastRetry  = 15 * time.Second
	// readWait bounds the reading of the engine's models.
	readWait = 2 * time.Second
	// commandWait bounds one command. Loading from the engine's side of the
	// weight store takes minutes for the largest models.
	commandWait = 15 * time.Minute
	// unloadWait bounds the wait for the calls of a model that is to be
	// unloaded; it exceeds the longest deadline of a pipeline, 6 s.
	unloadWait = 10 * time.Second
	busyEvery  = 50 * time.Millisecond
)

// Engine is the engine beside the agent.
type Engine interface {
	citronstream.EngineController
	// Models returns the models that the engine has loaded.
	Models(ctx context.Context, address string) ([]string, error)
}

// Fence gives the agent's epoch and keeps the highest token. grant.Grant implements it.
type Fence interface {
	guard.Store
	Lease() *grant.Lease
}

// Settings names the engine.
type Settings struct {
	Upstream string
	Address  string // host:port of the engine
}

// Counts is a snapshot of the counters.
type Counts struct {
	Commands, Refused, Failed, Fetches, Throttled uint64
	Bytes                                         uint64 // of weights fetched
	Version                                       uint64 // configuration version in force at the engine
}

// Orders commands one engine.
type Orders struct {
	set     Settings
	clk     citronstream.Clock
	engine  Engine
	fence   Fence
	guard   *guard.Guard
	weights citronstream.Weights
	rec     citronstream.Recorder
	changed func()
	busy    func(model string) int

	job    atomic.Pointer[job]
	models atomic.Pointer[[]string]
	wake   chan struct{}

	mu     sync.Mutex
	cancel context.CancelFunc // ends the commands of an older version

	inForce uint64            // token of the last part that the engine has taken; used by the loop only
	known   map[string]string // versions by model as last commanded; used by the loop only, bounded by the engine's models

	commands, refused, failed, fetches, throttled, bytes, version atomic.Uint64
}

// Option changes Orders.
type Option func(*Orders)

// WithWeights sets the weight store. Without one nothing is fetched, and the
// engine loads as it can.
func WithWeights(we citronstream.Weights) Option { return func(or *Orders) { or.weights = we } }

// WithRecorder sets the timeline.
func WithRecorder(rec citronstream.Recorder) Option { return func(or *Orders) { or.rec = rec } }

// WithChanged sets what is told when the engine's models have changed.
func WithChanged(changed func()) Option { return func(or *Orders) { or.changed = changed } }

// WithBusy sets what counts the calls of a model that wait or run at the
// engine. A model is unloaded only when there are none, or after unloadWait.
func WithBusy(busy func(model string) int) Option { return func(or *Orders) { or.busy = busy } }

// New returns Orders that know no configuration yet.
func New(clk citronstream.Clock, set Settings, en Engine, fe Fence, opts ...Option) *Orders {
	or := &Orders{
		set: set, clk: clk, engine: en, fence: fe, guard: guard.New(fe, en), changed: func() {}, busy: func(string) int { return 0 },
		wake: make(chan struct{}, 1), known: make(map[string]string),
	}
	for _, opt := range opts {
		opt(or)
	}
	return or
}

// Configure takes an accepted configuration. Commands of an older version
// that are under way are given up.
func (or *Orders) Configure(fl *citronstream.Fleet) {
	or.mu.Lock()
	defer or.mu.Unlock()
	old := or.job.Load()
	if old != nil && fl.Version <= old.version {
		return
	}
	or.job.Store(newJob(fl, or.set.Upstream, old))
	if or.cancel != nil {
		or.cancel()
	}
	or.signal()
}

// Models returns what the engine has loaded, and nil while that is not known.
func (or *Orders) Models() []string {
	if models := or.models.Load(); models != nil {
		return *models
	}
	return nil
}

// Down notes that the engine has died, and its models with it. It does not block.
func (or *Orders) Down() {
	if old := or.models.Load(); old != nil && len(*old) > 0 && or.models.CompareAndSwap(old, &[]string{}) {
		or.signal()
	}
}

// Guard returns the guard, for its counters.
func (or *Orders) Guard() *guard.Guard { return or.guard }

// Counts returns the counters.
func (or *Orders) Counts() Counts {
	return Counts{
		Commands: or.commands.Load(), Refused: or.refused.Load(), Failed: or.failed.Load(), Fetches: or.fetches.Load(),
		Throttled: or.throttled.Load(), Bytes: or.bytes.Load(), Version: or.version.Load(),
	}
}

func (or *Orders) signal() {
	select {
	case or.wake <- struct{}{}:
	default:
	}
}

// Run keeps the engine at its part until ctx ends. The channel is closed at its end.
func (or *Orders) Run(ctx context.Context) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		failures := 0
		for ctx.Err() == nil {
			pause := checkEvery/2 + rand.N(checkEvery)
			if err := or.step(ctx); err != nil {
				pause = backoff(failures, err)
				failures++
			} else {
				failures = 0
			}
			timer := or.clk.NewTimer(pause)
			select {
			case <-ctx.Done():
			case <-or.wake:
				failures = 0
			case <-timer.Chan():
			}
			timer.Stop()
		}
	}()
	return ended
}

// backoff doubles with each failure, with jitter. A stale token is not worth
// a quick repeat: only another version or epoch makes it valid.
func backoff(failures int, err error) time.Duration {
	wait := min(lastRetry, firstRetry<<min(failures, 10))
	if citronstream.FaultOf(err).Code == citronstream.CodeStale {
		wait = lastRetry
	}
	return wait/2 + rand.N(wait)
}

// step reads what the engine has loaded and gives it its part if that differs.
func (or *Orders) step(ctx context.Context) error {
	jo := or.job.Load()
	if jo == nil || !jo.placed {
		return nil
	}
	ctx, done := or.begin(ctx, jo)
	defer done()
	loaded, err := or.read(ctx)
	if err != nil {
		return err
	}
	le := or.fence.Lease()
	if le == nil {
		or.publish(loaded)
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeNotReady, "the agent has no epoch yet")
	}
	token := guard.Token(jo.version, le.Epoch)
	if or.inForce == token && slices.Equal(loaded, jo.names()) {
		or.publish(loaded)
		return nil
	}
	if err := or.command(ctx, jo, loaded, token); err != nil {
		or.failure(jo, token, err)
		return err
	}
	or.inForce = token
	or.version.Store(jo.version)
	or.event("EngineCommanded", jo, token, citronstream.Ran, "")
	return nil
}

// begin returns a context that ends when a newer version comes.
func (or *Orders) begin(ctx context.Context, jo *job) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	or.mu.Lock()
	defer or.mu.Unlock()
	or.cancel = cancel
	if or.job.Load() != jo {
		cancel()
	}
	return ctx, func() {
		or.mu.Lock()
		defer or.mu.Unlock()
		or.cancel = nil
		cancel()
	}
}

// read returns the engine's models in order.
func (or *Orders) read(ctx context.Context) ([]string, error) {
	ctx, cancel := grant.WithTimeout(ctx, or.clk, readWait)
	defer cancel()
	loaded, err := or.engine.Models(ctx, or.set.Address)
	if err != nil {
		return nil, err
	}
	if loaded == nil {
		loaded = []string{}
	}
	slices.Sort(loaded)
	return loaded, nil
}

// publish sets what entries may route to.
func (or *Orders) publish(models []string) {
	if old := or.models.Swap(&models); old == nil || !slices.Equal(*old, models) {
		or.changed()
	}
}

// retire announces that the models that the part lacks take no more calls,
// and waits for those that were taken.
func (or *Orders) retire(ctx context.Context, jo *job, loaded []string) error {
	var keep, drop []string
	for _, model := range loaded {
		if slices.Contains(jo.names(), model) {
			keep = append(keep, model)
		} else {
			drop = append(drop, model)
		}
	}
	or.publish(append([]string{}, keep...))
	end := or.clk.Now().Add(unloadWait)
	for slices.ContainsFunc(drop, func(model string) bool { return or.busy(model) > 0 }) && or.clk.Now().Before(end) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-or.clk.After(busyEvery):
		}
	}
	return nil
}
