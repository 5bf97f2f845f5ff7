package reconcile

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/once/grant"
	"github.com/citronstream/citronstream/internal/standin/engine"
	"github.com/citronstream/citronstream/internal/standin/memtable"
	"github.com/citronstream/citronstream/internal/standin/record"
	"github.com/citronstream/citronstream/internal/upstream/completions"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// bound is the time limit of a test whose event never comes; no outcome depends on it.
const bound = 20 * time.Second

// fakePlatform implements the platform for the agents of a test.
type fakePlatform struct {
	clk  *clockwork.FakeClock
	ta   *memtable.Table
	mu   sync.Mutex
	list []citronstream.InstanceState
	// fetched is called at each fetch of weights.
	fetched func(model string)
}

func newPlatform() *fakePlatform {
	clk := clockwork.NewFakeClock()
	return &fakePlatform{clk: clk, ta: memtable.New(clk), fetched: func(string) {}}
}

func (pf *fakePlatform) List(context.Context) ([]citronstream.InstanceState, error) {
	return pf.list, nil
}

func (pf *fakePlatform) Fetch(_ context.Context, model string) (int64, error) {
	pf.mu.Lock()
	defer pf.mu.Unlock()
	pf.fetched(model)
	return 1000, nil
}

// agent is one agent process beside an engine.
type agent struct {
	gr *grant.Grant
	rc *Reconciler
}

// agent starts an agent on a new instance, which becomes the only listed one: the
// platform has delisted those before it.
func (pf *fakePlatform) agent(upstream, instance string, en Engine, address string) *agent {
	pf.list = []citronstream.InstanceState{{Instance: instance}}
	set := grant.Settings{Upstream: upstream, Service: "writer", Instance: instance, Address: instance + ":1"}
	gr := grant.New(set, pf.ta, pf, pf.clk, grant.WithoutSlots())
	return &agent{gr, New(pf.clk, Settings{upstream, address}, en, gr, WithWeights(pf))}
}

// learnInstance lets the agent's grant see another instance in the list once.
func (ag *agent) learnInstance(pf *fakePlatform, instance string) {
	pf.list = append(pf.list, citronstream.InstanceState{Instance: instance})
	ag.gr.Step(context.Background())
	pf.list = pf.list[:1]
}

func startEngine(t *testing.T, opts ...engine.Option) (*engine.Server, string) {
	clk := clockwork.NewRealClock()
	se := engine.New(clk, "eng-1", record.New(clk), append([]engine.Option{engine.WithScale(0)}, opts...)...)
	ctx, cancel := context.WithCancel(context.Background())
	require.NoError(t, se.Start(ctx, "127.0.0.1:0"))
	t.Cleanup(func() { cancel(); <-se.Done() })
	return se, se.Address()
}

func fleet(version uint64, models ...string) *citronstream.Fleet {
	fl := &citronstream.Fleet{Version: version, Services: []citronstream.Service{{Name: "writer", Kind: citronstream.KindEngine}}}
	fl.Upstreams = []citronstream.Upstream{{Name: "eng-1", Service: "writer"}}
	for _, name := range models {
		fl.Models = append(fl.Models, citronstream.Model{Name: name, Version: "1"})
	}
	return fl
}

func assertCode(t require.TestingT, want citronstream.Code, err error) {
	require.Error(t, err)
	assert.Equal(t, want, citronstream.FaultOf(err).Code, "%v", err)
}

// TestFencing guards against a command of a replaced agent that takes effect
// after a command of its successor.
func TestFencing(t *testing.T) {
	for name, opts := range map[string][]engine.Option{"engine checks tokens": {engine.WithFencing()}, "engine ignores tokens": nil} {
		t.Run(name, func(t *testing.T) {
			pf, ctx := newPlatform(), t.Context()
			se, address := startEngine(t, opts...)
			pr := completions.New()
			old := pf.agent("eng-1", "i1", pr, address)
			old.gr.Step(ctx)
			old.rc.Configure(fleet(1, "m1", "m2", "m3"))
			var next *agent
			// The old agent is paused while it fetches its third model, and replaced meanwhile.
			pf.fetched = func(model string) {
				if model != "m3" || next != nil {
					return
				}
				next = pf.agent("eng-1", "i2", pr, address)
				next.learnInstance(pf, "i1")
				next.gr.Step(ctx)
				next.rc.weights = nil
				next.rc.Configure(fleet(1, "m2"))
				require.NoError(t, next.rc.step(ctx))
			}
			require.Error(t, old.rc.step(ctx), "the old agent's command went through")
			require.Error(t, old.rc.step(ctx), "also when it is repeated")
			assert.Equal(t, []string{"m2"}, se.Models())
			assert.Equal(t, []string{"m2"}, next.rc.Models())
			direct := pr.Order(ctx, address, citronstream.EngineOrder{Models: []string{"m1"}, Token: 1<<16 | 1})
			if opts != nil {
				assertCode(t, citronstream.CodeStale, direct)
			}
		})
	}
	t.Run("after a restart, and without the table", func(t *testing.T) {
		pf, ctx := newPlatform(), t.Context()
		se, address := startEngine(t)
		ag := pf.agent("eng-1", "i1", completions.New(), address)
		ag.rc.Configure(fleet(2, "m1"))
		assertCode(t, citronstream.CodeNotReady, ag.rc.step(ctx))
		ag.gr.Step(ctx)
		require.NoError(t, ag.rc.step(ctx))
		sent := len(se.Commands())
		again := pf.agent("eng-1", "i1", completions.New(), address)
		pf.ta.SetDown(true)
		again.gr.Step(ctx)
		for _, each := range []*agent{ag, again} {
			each.rc.Configure(fleet(3, "m2"))
			assertCode(t, citronstream.CodeNotReady, each.rc.step(ctx))
		}
		assert.Len(t, se.Commands(), sent, "a command went out while the table was down")
		pf.ta.SetDown(false)
		again.gr.Step(ctx)
		again.rc.Configure(fleet(1, "m3"))
		again.rc.target.Store(newTarget(fleet(1, "m3"), "eng-1", nil)) // an agent that starts with an old configuration
		assertCode(t, citronstream.CodeStale, again.rc.step(ctx))
		assert.Len(t, se.Commands(), sent, "a command of an old version went out")
	})
}

// tokenlessEngine is an engine that ignores tokens.
type tokenlessEngine struct {
	models []string
	tokens []uint64
}

func (eng *tokenlessEngine) Models(context.Context, string) ([]string, error) {
	return slices.Clone(eng.models), nil
}

func (eng *tokenlessEngine) Order(_ context.Context, _ string, eo citronstream.EngineOrder) error {
	eng.tokens = append(eng.tokens, eo.Token)
	eng.models = slices.DeleteFunc(eng.models, func(model string) bool { return !slices.Contains(eo.Models, model) })
	eng.models = append(eng.models, eo.Load...)
	slices.Sort(eng.models)
	eng.models = slices.Compact(eng.models)
	return nil
}

// TestTwoAgents guards against any order of replacements, pauses, versions
// and outages in which an older command follows a newer one.
func TestTwoAgents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pf, eng, ctx := newPlatform(), &tokenlessEngine{}, context.Background()
		agents := []*agent{pf.agent("eng-1", "i0", eng, ""), pf.agent("eng-1", "i1", eng, "")}
		pick := func(rt *rapid.T) *agent { return rapid.SampledFrom(agents).Draw(rt, "agent") }
		version := rapid.Uint64Range(1, 5)
		rt.Repeat(map[string]func(*rapid.T){
			"replace": func(rt *rapid.T) { // the platform drops one instance and lists the other
				keep := rapid.IntRange(0, 1).Draw(rt, "instance")
				both := []citronstream.InstanceState{{Instance: "i0"}, {Instance: "i1"}}
				pf.list = both
				agents[keep].gr.Step(ctx)
				pf.list = both[keep : keep+1]
			},
			"grant":     func(rt *rapid.T) { pick(rt).gr.Step(ctx) },
			"configure": func(rt *rapid.T) { pick(rt).rc.Configure(fleet(version.Draw(rt, "version"), "m1", "m2")) },
			"step":      func(rt *rapid.T) { _ = pick(rt).rc.step(ctx) },
			"restart":   func(*rapid.T) { eng.models = nil },
			"outage":    func(rt *rapid.T) { pf.ta.SetDown(rapid.Bool().Draw(rt, "down")) },
			"lost":      func(rt *rapid.T) { pf.ta.SetLoseAnswers(rapid.IntRange(0, 3).Draw(rt, "every")) },
			"": func(rt *rapid.T) {
				require.True(rt, slices.IsSorted(eng.tokens), "an older command followed a newer one: %v", eng.tokens)
			},
		})
	})
}

// recordingClock is a fake clock that sends the durations of its timers to waits.
type recordingClock struct {
	*clockwork.FakeClock
	waits chan<- time.Duration
}

func (rcl recordingClock) NewTimer(d time.Duration) clockwork.Timer {
	timer := rcl.FakeClock.NewTimer(d)
	rcl.waits <- d
	return timer
}

// TestMove guards against a model that moves faster than the weight store
// allows, and against calls to a model that the engine has not loaded.
func TestMove(t *testing.T) {
	pf := newPlatform()
	ctx, cancel := context.WithTimeout(t.Context(), bound)
	defer cancel()
	fetched := 0
	pf.fetched = func(string) { fetched++ }
	place := func(version uint64, models ...[]string) *citronstream.Fleet {
		fl := fleet(version, "m1", "m2")
		fl.Upstreams = nil
		for i, allowed := range models {
			fl.Upstreams = append(fl.Upstreams, citronstream.Upstream{Name: string(rune('a' + i)), Service: "writer", Models: allowed})
		}
		for i := range fl.Models {
			fl.Models[i].Bytes = 1000
		}
		fl.Limits.WeightBytesPerSec = 100
		return fl
	}
	m1, m2 := []string{"m1"}, []string{"m2"}
	var agents []*agent
	for i := range 3 {
		name := string(rune('a' + i))
		eng := &tokenlessEngine{models: [][]string{m1, m2, m2}[i]}
		ag := pf.agent(name, "i"+name, eng, "")
		ag.gr.Step(ctx)
		ag.rc.Configure(place(1, m1, m2, m2))
		require.NoError(t, ag.rc.step(ctx))
		agents = append(agents, ag)
	}
	require.Zero(t, fetched, "models that were loaded were fetched again")
	// Version 2 moves m1 to b and m2 to a: two engines load, one model each.
	errs := make(chan error, 2)
	waits := make(chan time.Duration, 2)
	for _, ag := range agents[:2] {
		ag.rc.clk = recordingClock{pf.clk, waits}
		ag.rc.Configure(place(2, m2, m1, m2))
		go func() { errs <- ag.rc.step(ctx) }()
	}
	// 2,000 bytes at 100 bytes a second.
	assert.Equal(t, []time.Duration{20 * time.Second, 20 * time.Second}, []time.Duration{<-waits, <-waits})
	for _, ag := range agents[:2] {
		assert.Equal(t, []string{}, ag.rc.Models(), "the unloaded model is still published, or the other one too early")
	}
	pf.clk.Advance(20 * time.Second)
	require.NoError(t, <-errs)
	require.NoError(t, <-errs)
	assert.Equal(t, 2, fetched)
	assert.Equal(t, m2, agents[0].rc.Models())
	assert.Equal(t, m1, agents[1].rc.Models())
	agents[2].rc.Configure(place(2, m2, m1, m2))
	require.NoError(t, agents[2].rc.step(ctx))
	assert.Equal(t, 2, fetched, "an engine that keeps its model fetched it")
}

// TestNewerVersionCancels guards against an old version that continues to load after
// a newer one was accepted, and against calls that are interrupted by an unload.
func TestNewerVersionCancels(t *testing.T) {
	pf, eng := newPlatform(), &tokenlessEngine{models: []string{"m0"}}
	ctx, cancel := context.WithTimeout(t.Context(), bound)
	defer cancel()
	ag := pf.agent("eng-1", "i1", eng, "")
	ag.gr.Step(ctx)
	asked := make(chan string, 1)
	WithBusy(func(model string) int {
		select {
		case asked <- model:
		default:
		}
		return 1
	})(ag.rc)
	ag.rc.Configure(fleet(1, "m1"))
	ended := ag.rc.Run(ctx)
	select {
	case model := <-asked:
		require.Equal(t, "m0", model)
	case <-ctx.Done():
		require.Fail(t, "the calls of m0 were not counted")
	}
	assert.Empty(t, eng.tokens, "commanded while a call of the model runs")
	ag.rc.Configure(fleet(2, "m0"))
	for ag.rc.Counts().Version != 2 && ctx.Err() == nil {
		require.NoError(t, pf.clk.BlockUntilContext(ctx, 1))
		pf.clk.Advance(maxBackoff)
	}
	cancel()
	<-ended
	assert.Equal(t, []string{"m0"}, eng.models)
	for _, token := range eng.tokens {
		assert.EqualValues(t, 2, token>>16)
	}
}
