package local

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/entry/pipeline"
	"github.com/citronstream/citronstream/internal/entry/stagebody"
	"github.com/citronstream/citronstream/internal/kernel/policy"
	"github.com/citronstream/citronstream/internal/limit/holdsync"
	"github.com/citronstream/citronstream/internal/limit/poison"
	"github.com/citronstream/citronstream/internal/process/entry"
	"github.com/citronstream/citronstream/internal/route/nearest"
	"github.com/citronstream/citronstream/internal/route/prefix"
	"github.com/citronstream/citronstream/internal/route/table"
	"github.com/citronstream/citronstream/internal/standin/engine"
	"github.com/citronstream/citronstream/internal/standin/host"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// testTimeout bounds the wait for an event; no result depends on its length.
const testTimeout = 30 * time.Second

// withoutHints names the default policy without prefix affinity, the baseline of TestAffinity.
const withoutHints = "nearest-without-hints"

func init() {
	policy.Register(withoutHints, func(de policy.Deps) citronstream.Picker {
		de.Hints = nil
		return nearest.New(de)
	})
}

// engineFleet returns a fleet of engines and entries in one zone, with one model.
func engineFleet(t *testing.T, engines, entries int, policy string) *citronstream.Fleet {
	fl := &citronstream.Fleet{
		Site: "test", Owners: []citronstream.Owner{{Name: "o"}}, Limits: citronstream.DefaultLimits(),
		Regions:    []citronstream.Region{{Name: "r", Zones: []citronstream.Zone{{Name: "z"}}}},
		Ranks:      []citronstream.Rank{{Name: "standard", Deadline: citronstream.Duration(testTimeout), Worth: 1}},
		Workspaces: []citronstream.Workspace{{Name: "w", Owner: "o", Weight: 1}},
		Models:     []citronstream.Model{{Name: "m", Version: "1", Bytes: 1}},
		Services: []citronstream.Service{{
			Name: "writer", Kind: citronstream.KindEngine, Protocol: "completions", Owner: "o", Policy: policy,
			Calls: []citronstream.ServiceCall{{Name: "generate", Path: "/v1/completions", Idempotent: true, Streams: true}},
		}},
		Pipelines: []citronstream.Pipeline{{Name: "p", Rank: "standard", Stages: []citronstream.Stage{
			{Name: "generate", Service: "writer", Call: "generate", Model: "m"},
		}}},
	}
	for i := range engines + entries {
		fl.Instances = append(fl.Instances, citronstream.Instance{Name: fmt.Sprintf("i%d", i), Zone: "z"})
	}
	for i := range engines {
		fl.Upstreams = append(fl.Upstreams, citronstream.Upstream{
			Name: fmt.Sprintf("e%d", i), Service: "writer", Instance: fmt.Sprintf("i%d", i),
			Capacity: 8, Models: []string{"m"},
		})
	}
	for i := range entries {
		fl.Entries = append(fl.Entries, citronstream.Entry{
			Name: fmt.Sprintf("n%d", i), Instance: fmt.Sprintf("i%d", engines+i),
		})
	}
	fl, err := FreePorts(fl)
	require.NoError(t, err)
	return fl
}

func startFleet(t *testing.T, config *citronstream.Fleet, opts ...Option) *Fleet {
	fl, err := New(context.Background(), clockwork.NewRealClock(), config, opts...)
	require.NoError(t, err)
	t.Cleanup(fl.Stop)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	require.NoError(t, fl.Ready(ctx))
	return fl
}

// eventually polls until a condition holds.
func eventually(t *testing.T, done func() bool, text string) {
	t.Helper()
	require.Eventually(t, done, testTimeout, 10*time.Millisecond, text)
}

// generate runs one request and returns the time to its first token.
func generate(ctx context.Context, en *entry.Entry, prompt string) (time.Duration, *citronstream.Fault) {
	clk := clockwork.NewRealClock()
	body := fmt.Appendf(nil, `{"prompt":%q,"max_tokens":4,"stream":true}`, prompt)
	bu, err := stagebody.New(body)
	if err != nil {
		return 0, citronstream.FaultOf(err)
	}
	ca, start, first := en.Catalog(), clk.Now(), time.Duration(0)
	out := en.Runner.Pipeline(ctx, ca, "p", pipeline.Request{
		ID: citronstream.NewID(), Workspace: &ca.Fleet.Workspaces[0], Deadline: testTimeout, Body: body,
	}, bu, func([]byte) {
		if first == 0 {
			first = clk.Now().Sub(start)
		}
	})
	return first, out.Fault
}

// cacheUse returns the prompt tokens by engine and the cached share of their sum.
func (fl *Fleet) cacheUse() (byEngine []uint64, share float64) {
	var all, hit uint64
	for _, up := range fl.Config.Upstreams {
		prompt, cached := fl.Upstream(up.Name).(*engine.Server).CacheUse()
		byEngine, all, hit = append(byEngine, prompt), all+prompt, hit+cached
	}
	return byEngine, float64(hit) / float64(max(all, 1))
}

// sendRequests sends requests whose prompts start with one of a number of prefixes,
// and returns the sorted times to the first token.
func sendRequests(t *testing.T, fl *Fleet, requests, prefixes, callers int) []time.Duration {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var firsts []time.Duration
	jobs := make(chan string, requests)
	rnd := rand.New(rand.NewPCG(1, 2))
	for i := range requests {
		jobs <- strings.Repeat(fmt.Sprintf("prefix %6d, ", rnd.IntN(prefixes)), 2048/15+1)[:2048] + fmt.Sprintf(" question %d", i)
	}
	close(jobs)
	for range callers {
		wg.Go(func() {
			for prompt := range jobs {
				first, fa := generate(t.Context(), fl.Entry("n0"), prompt)
				assert.Nil(t, fa)
				mu.Lock()
				firsts = append(firsts, first)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	slices.Sort(firsts)
	return firsts
}

// TestAffinity guards against hints that don't reach the routing. It repeats 20
// prefixes of 2 KB on 6 engines, each with cache memory for 7 of them.
func TestAffinity(t *testing.T) {
	measure := func(policy string) float64 {
		fl := startFleet(t, engineFleet(t, 6, 1, policy), WithEngines(engine.WithCacheBlocks(60)))
		firsts := sendRequests(t, fl, 600, 20, 12)
		_, share := fl.cacheUse()
		t.Logf("%q: %.1f%% of the prompt tokens cached, first token p50 %v p95 %v",
			policy, 100*share, firsts[len(firsts)/2].Round(time.Millisecond), firsts[len(firsts)*95/100].Round(time.Millisecond))
		return share
	}
	without := measure(withoutHints)
	assert.Greater(t, measure(""), without+0.1)
}

// TestPopularPrefix guards against routing all requests of one popular prefix to
// one engine, at three quarters of the capacity of 6 engines.
func TestPopularPrefix(t *testing.T) {
	fl := startFleet(t, engineFleet(t, 6, 1, ""))
	sendRequests(t, fl, 1200, 1, 36)
	byEngine, share := fl.cacheUse()
	t.Logf("prompt tokens by engine %v, %.1f%% cached", byEngine, 100*share)
	sum := uint64(0)
	for _, tokens := range byEngine {
		sum += tokens
	}
	assert.LessOrEqual(t, float64(slices.Max(byEngine)), 2*float64(sum)/6, "one engine got more than twice its even share")
}

// TestCacheEvents guards against cache events that don't reach the entries, hints
// that remain after the engine's death, and events sent to an idle entry.
func TestCacheEvents(t *testing.T) {
	fl := startFleet(t, engineFleet(t, 1, 2, ""))
	busy, idle := fl.Entry("n0"), fl.Entry("n1")
	// Only the output completes the last block, so the entry learns of it only by an event.
	prompt := strings.Repeat("x", 2040)
	blocks := prefix.Blocks([]byte(prompt + engine.Generate(prompt, 4)))
	_, fa := generate(t.Context(), busy, prompt)
	require.Nil(t, fa)
	known := func() bool { _, count := busy.Hints.Holders(blocks[7:]); return count == 1 }
	eventually(t, known, "no hint from the engine's events")
	assert.Zero(t, idle.Hints.Len(), "an idle entry was sent cache events")
	assert.Zero(t, fl.Agent("e0").Server.Counts().OffersDropped.Load())
	own := fl.Agent("e0").UpstreamLoad
	eventually(t, func() bool { return own.Counts().Reads > own.Counts().Failed }, "the engine's load report was not read")
	fl.Upstream("e0").Kill()
	_, _ = generate(t.Context(), busy, "finds the engine dead")
	eventually(t, func() bool { return !known() }, "hints remain after the engine's death")
}

// TestModelMoves guards against requests that fail while a model moves between
// engines, as when an entry routes to an engine that has not loaded it yet.
func TestModelMoves(t *testing.T) {
	config := engineFleet(t, 2, 1, "")
	config.Models[0].Replicas = 1
	config.Upstreams[1].Models = []string{"none"}
	fl := startFleet(t, config, WithEngines(engine.WithModels()))
	models := func(name string) []string { return fl.Upstream(name).(*engine.Server).Models() }
	holds := func(name string) bool { return fl.Entry("n0").Routes.Snapshot().Node(name).Holds("m") }
	eventually(t, func() bool { return holds("e0") && !holds("e1") }, "e0 did not load its model")
	next := *config
	next.Upstreams = slices.Clone(config.Upstreams)
	next.Upstreams[0].Models, next.Upstreams[1].Models = []string{"none"}, []string{"m"}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan *citronstream.Fault, 1)
	go func() {
		for ctx.Err() == nil {
			if _, fa := generate(t.Context(), fl.Entry("n0"), "while the model moves"); fa != nil {
				ended <- fa
				return
			}
		}
		ended <- nil
	}()
	_, err := fl.Operator.Accept(ctx, 1, &next, "test")
	require.NoError(t, err)
	eventually(t, func() bool { return holds("e1") && !holds("e0") && len(models("e0")) == 0 }, "the model did not move")
	cancel()
	assert.Nil(t, <-ended)
	assert.Equal(t, []string{"m"}, models("e1"))
	assert.Equal(t, "spare", fl.Upstream("e0").(*engine.Server).Role())
}

// TestLeaving guards against requests to an upstream that the platform lists as
// leaving although its agent has not announced it, also after a pause of the agent.
func TestLeaving(t *testing.T) {
	for name, pause := range map[string]bool{"silent agent": false, "paused agent": true} {
		t.Run(name, func(t *testing.T) {
			fl := startFleet(t, engineFleet(t, 2, 1, ""))
			en, nd := fl.Entry("n0"), fl.Entry("n0").Routes.Snapshot().Node("e0")
			fl.Gate("e0").Pause(pause)
			if pause {
				eventually(t, func() bool { return nd.Status().Source == table.FromHeartbeat }, "no heartbeat was missed")
			}
			fl.List.Set(citronstream.InstanceState{Instance: "i0", Zone: "z", Leaving: true})
			eventually(t, func() bool { return nd.State() == table.Leaving || pause && nd.State() == table.Gone }, "the listed state was not applied")
			fl.Gate("e0").Pause(false)
			eventually(t, func() bool { return en.Agents.Missing() == 0 && nd.State() == table.Leaving }, "the agent did not reconnect")
			taken := fl.Agent("e0").Server.Counts().Accepted.Load()
			for range 50 {
				_, fa := generate(t.Context(), en, "a prompt")
				require.Nil(t, fa)
			}
			assert.Equal(t, taken, fl.Agent("e0").Server.Counts().Accepted.Load())
		})
	}
}

// TestHoldSurvivesRestart guards against a hold on poisonous content that is lost
// when the entry and the agents that saw the deaths are restarted.
func TestHoldSurvivesRestart(t *testing.T) {
	fl := startFleet(t, engineFleet(t, 2, 1, ""))
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	prompt := "write " + host.PoisonMarker
	for ctx.Err() == nil {
		_, fa := generate(ctx, fl.Entry("n0"), prompt)
		require.NotNil(t, fa)
		for _, up := range fl.Config.Upstreams {
			if !fl.Upstream(up.Name).Running() {
				require.NoError(t, fl.Upstream(up.Name).Restart())
			}
		}
		if fa.Code == citronstream.CodeQuarantined {
			break
		}
	}
	written := func() bool { _, err := fl.Table.Get(ctx, holdsync.Key); return err == nil }
	eventually(t, written, "the hold was not written")
	fl.StopEntry("n0")
	for _, up := range fl.Config.Upstreams {
		fl.StopAgent(up.Name)
	}
	for _, up := range fl.Config.Upstreams {
		require.NoError(t, fl.StartAgent(up.Name))
	}
	require.NoError(t, fl.StartEntry("n0"))
	require.NoError(t, fl.Ready(ctx))
	var held []poison.Hold
	eventually(t, func() bool { held = holdsync.Holds(fl.Entry("n0").Holds); return len(held) == 1 }, "the new entry did not load the hold")
	for _, up := range fl.Config.Upstreams {
		eventually(t, func() bool {
			_, ok := fl.Agent(up.Name).Holds.Held(held[0].Digest)
			return ok
		}, "the new agent did not receive the hold")
	}
	_, fa := generate(ctx, fl.Entry("n0"), prompt)
	require.NotNil(t, fa)
	assert.Equal(t, citronstream.CodeQuarantined, fa.Code)
}

// TestAgentRestarts guards against an upstream without an epoch that stays in
// state leaving after its agent has drained and restarted.
func TestAgentRestarts(t *testing.T) {
	config := engineFleet(t, 2, 1, "")
	config.Services[0].Kind, config.Services[0].Protocol, config.Models = citronstream.KindPlain, "plain", nil
	fl := startFleet(t, config)
	nd := fl.Entry("n0").Routes.Snapshot().Node("e0")
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	require.NoError(t, fl.DrainAgent(ctx, "e0"))
	eventually(t, func() bool { return nd.State() >= table.Leaving }, "the drain was not noticed")
	require.NoError(t, fl.StartAgent("e0"))
	eventually(t, func() bool { return nd.State() == table.Live }, "the agent's restart was not noticed")
	before, _ := nd.Reported()
	fl.Agent("e0").Server.Broadcast(citronstream.MethodLoad, fl.Agent("e0").Server.Load())
	eventually(t, func() bool { after, _ := nd.Reported(); return after.Seq > before.Seq }, "reports of the new agent are dropped")
}
