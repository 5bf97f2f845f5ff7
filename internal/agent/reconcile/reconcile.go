// Package reconcile keeps the engine of an agent in line with the accepted
// configuration: it computes which models the engine should serve, and commands
// it to load and unload models until it does.
package reconcile

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
	// checkInterval is the mean interval at which the engine's models are compared
	// with its target: a restarted engine has lost them.
	checkInterval = 2 * time.Second
	// minBackoff and maxBackoff bound the delay after a failure.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 15 * time.Second
	// readTimeout bounds the reading of the engine's models.
	readTimeout = 2 * time.Second
	// commandTimeout bounds one command. Loading from the weight store takes
	// the engine minutes for the largest models.
	commandTimeout = 15 * time.Minute
	// unloadTimeout bounds the wait for the calls of a model before it is
	// unloaded; it exceeds the longest deadline of a pipeline, 6 s.
	unloadTimeout    = 10 * time.Second
	busyPollInterval = 50 * time.Millisecond
)

// Engine is the engine beside the agent.
type Engine interface {
	citronstream.EngineController
	// Models returns the models that the engine has loaded.
	Models(ctx context.Context, address string) ([]string, error)
}

// Fence provides the agent's lease with its epoch, and stores the highest fencing
// token. grant.Grant implements it.
type Fence interface {
	guard.Store
	Lease() *grant.Lease
}

// Settings identifies the engine.
type Settings struct {
	Upstream string
	Address  string // host:port of the engine
}

// Counts is a snapshot of the counters.
type Counts struct {
	Commands, Refused, Failed, Fetches, Throttled uint64
	Bytes                                         uint64 // weights fetched
	Version                                       uint64 // configuration version in force at the engine
}

// Reconciler keeps one engine at its target.
type Reconciler struct {
	set     Settings
	clk     citronstream.Clock
	engine  Engine
	fence   Fence
	guard   *guard.Guard
	weights citronstream.Weights
	rec     citronstream.Recorder
	changed func()
	busy    func(model string) int

	target atomic.Pointer[target]
	models atomic.Pointer[[]string]
	wake   chan struct{}

	mu     sync.Mutex
	cancel context.CancelFunc // cancels the commands of an older version

	appliedToken uint64            // token of the last target that the engine has reached; used by the loop only
	commanded    map[string]string // model versions last commanded; used by the loop only, bounded by the engine's models

	commands, refused, failed, fetches, throttled, bytes, version atomic.Uint64
}

// Option changes a Reconciler.
type Option func(*Reconciler)

// WithWeights sets the weight store. Without one nothing is fetched before a
// load, and the engine finds the weights itself.
func WithWeights(we citronstream.Weights) Option { return func(rc *Reconciler) { rc.weights = we } }

// WithRecorder sets the recorder of timeline events.
func WithRecorder(rec citronstream.Recorder) Option { return func(rc *Reconciler) { rc.rec = rec } }

// WithChanged sets a callback for changes of the engine's models.
func WithChanged(changed func()) Option { return func(rc *Reconciler) { rc.changed = changed } }

// WithBusy sets a function that counts the waiting and running calls of a model
// at the engine. A model is unloaded once there are none, or after unloadTimeout.
func WithBusy(busy func(model string) int) Option { return func(rc *Reconciler) { rc.busy = busy } }

// New returns a Reconciler without a configuration.
func New(clk citronstream.Clock, set Settings, en Engine, fe Fence, opts ...Option) *Reconciler {
	rc := &Reconciler{
		set: set, clk: clk, engine: en, fence: fe, guard: guard.New(fe, en), changed: func() {}, busy: func(string) int { return 0 },
		wake: make(chan struct{}, 1), commanded: make(map[string]string),
	}
	for _, opt := range opts {
		opt(rc)
	}
	return rc
}

// Configure sets an accepted configuration. Running commands of an older version
// are cancelled.
func (rc *Reconciler) Configure(fl *citronstream.Fleet) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	old := rc.target.Load()
	if old != nil && fl.Version <= old.version {
		return
	}
	rc.target.Store(newTarget(fl, rc.set.Upstream, old))
	if rc.cancel != nil {
		rc.cancel()
	}
	rc.signal()
}

// Models returns the models that the engine has loaded, nil while unknown.
func (rc *Reconciler) Models() []string {
	if models := rc.models.Load(); models != nil {
		return *models
	}
	return nil
}

// Down records that the engine has died and lost its models. It does not block.
func (rc *Reconciler) Down() {
	if old := rc.models.Load(); old != nil && len(*old) > 0 && rc.models.CompareAndSwap(old, &[]string{}) {
		rc.signal()
	}
}

// Guard returns the guard, for its counters.
func (rc *Reconciler) Guard() *guard.Guard { return rc.guard }

// Counts returns the counters.
func (rc *Reconciler) Counts() Counts {
	return Counts{
		Commands: rc.commands.Load(), Refused: rc.refused.Load(), Failed: rc.failed.Load(), Fetches: rc.fetches.Load(),
		Throttled: rc.throttled.Load(), Bytes: rc.bytes.Load(), Version: rc.version.Load(),
	}
}

func (rc *Reconciler) signal() {
	select {
	case rc.wake <- struct{}{}:
	default:
	}
}

// Run keeps the engine at its target until ctx ends. The channel is closed when
// it returns.
func (rc *Reconciler) Run(ctx context.Context) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		failures := 0
		for ctx.Err() == nil {
			pause := checkInterval/2 + rand.N(checkInterval)
			if err := rc.step(ctx); err != nil {
				pause = backoff(failures, err)
				failures++
			} else {
				failures = 0
			}
			timer := rc.clk.NewTimer(pause)
			select {
			case <-ctx.Done():
			case <-rc.wake:
				failures = 0
			case <-timer.Chan():
			}
			timer.Stop()
		}
	}()
	return ended
}

// backoff returns a delay that doubles with each failure, with jitter. For a stale
// token it is the longest, as only another version or epoch makes it valid.
func backoff(failures int, err error) time.Duration {
	wait := min(maxBackoff, minBackoff<<min(failures, 10))
	if citronstream.FaultOf(err).Code == citronstream.CodeStale {
		wait = maxBackoff
	}
	return wait/2 + rand.N(wait)
}

// step reads the engine's models and commands the engine if they differ from the
// target.
func (rc *Reconciler) step(ctx context.Context) error {
	ta := rc.target.Load()
	if ta == nil || !ta.placed {
		return nil
	}
	ctx, done := rc.begin(ctx, ta)
	defer done()
	loaded, err := rc.read(ctx)
	if err != nil {
		return err
	}
	le := rc.fence.Lease()
	if le == nil {
		rc.publish(loaded)
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeNotReady, "the agent has no epoch yet")
	}
	token := guard.Token(ta.version, le.Epoch)
	if rc.appliedToken == token && slices.Equal(loaded, ta.modelNames()) {
		rc.publish(loaded)
		return nil
	}
	if err := rc.command(ctx, ta, loaded, token); err != nil {
		rc.recordFailure(ta, token, err)
		return err
	}
	rc.appliedToken = token
	rc.version.Store(ta.version)
	rc.event("EngineCommanded", ta, token, citronstream.Ran, "")
	return nil
}

// begin returns a context that is cancelled when a newer version is set.
func (rc *Reconciler) begin(ctx context.Context, ta *target) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.cancel = cancel
	if rc.target.Load() != ta {
		cancel()
	}
	return ctx, func() {
		rc.mu.Lock()
		defer rc.mu.Unlock()
		rc.cancel = nil
		cancel()
	}
}

// read returns the engine's models, sorted.
func (rc *Reconciler) read(ctx context.Context) ([]string, error) {
	ctx, cancel := grant.WithTimeout(ctx, rc.clk, readTimeout)
	defer cancel()
	loaded, err := rc.engine.Models(ctx, rc.set.Address)
	if err != nil {
		return nil, err
	}
	if loaded == nil {
		loaded = []string{}
	}
	slices.Sort(loaded)
	return loaded, nil
}

// publish sets the models that entries may route to.
func (rc *Reconciler) publish(models []string) {
	if old := rc.models.Swap(&models); old == nil || !slices.Equal(*old, models) {
		rc.changed()
	}
}

// drainModels announces that models outside the target take no more calls, and
// waits until their accepted calls have ended.
func (rc *Reconciler) drainModels(ctx context.Context, ta *target, loaded []string) error {
	var keep, drop []string
	for _, model := range loaded {
		if slices.Contains(ta.modelNames(), model) {
			keep = append(keep, model)
		} else {
			drop = append(drop, model)
		}
	}
	rc.publish(append([]string{}, keep...))
	end := rc.clk.Now().Add(unloadTimeout)
	for slices.ContainsFunc(drop, func(model string) bool { return rc.busy(model) > 0 }) && rc.clk.Now().Before(end) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-rc.clk.After(busyPollInterval):
		}
	}
	return nil
}
