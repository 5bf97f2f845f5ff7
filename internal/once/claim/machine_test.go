package claim_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"
)

// bubble runs a check in a bubble of its own. Rapid stays outside, as it
// measures its own time; its panics are carried over.
func bubble(t *testing.T, fn func()) {
	var caught any
	synctest.Test(t, func(*testing.T) {
		defer func() { caught = recover() }()
		fn()
	})
	if caught != nil {
		panic(caught)
	}
}

// TestMachine guards against a key that runs twice, a replay that differs
// from the first answer, and a NotRun for a key that ran, under any
// combination of the faults of section 1.5.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		bubble(t, func() {
			ma := &machine{world: newWorld(clockwork.NewRealClock(), 2), ids: []string{"a", "b", "c"}}
			ma.forget.Store(rapid.Bool().Draw(rt, "forget"))
			defer ma.close()
			for _, id := range ma.ids {
				ma.start(id, "")
			}
			ma.clk.Sleep(time.Minute)
			rt.Repeat(ma.traced(ma.actions()))
			ma.settleDown(rt)
		})
	})
}

type machine struct {
	*world
	ids  []string
	keys []string
}

// traced notes each action with its time for the report of a failure.
func (ma *machine) traced(actions map[string]func(*rapid.T)) map[string]func(*rapid.T) {
	for name, fn := range actions {
		if name != "" {
			actions[name] = func(rt *rapid.T) {
				ma.note("%s", name)
				fn(rt)
			}
		}
	}
	return actions
}

func (ma *machine) pick(rt *rapid.T) *agent {
	return ma.agents[rapid.SampledFrom(ma.ids).Draw(rt, "agent")]
}

// send starts a call at the owner of the key, or now and then at another agent.
func (ma *machine) send(rt *rapid.T, key string) {
	ag := ma.owner(key)
	if ag == nil || rapid.IntRange(0, 9).Draw(rt, "stray") == 0 {
		ag = ma.pick(rt)
	}
	entry := rapid.IntRange(0, 1).Draw(rt, "entry")
	ma.calls.Go(func() { _, _ = ma.call(context.Background(), entry, ag, key) })
	if rapid.Bool().Draw(rt, "wait") {
		ma.clk.Sleep(400 * time.Millisecond)
	}
}

func (ma *machine) actions() map[string]func(*rapid.T) {
	fresh := func(rt *rapid.T) {
		key := keyAt(ma.clk.Now(), len(ma.keys))
		if rapid.IntRange(0, 3).Draw(rt, "plain") == 0 {
			key = "order-" + key
		}
		ma.keys = append(ma.keys, key)
		if v := rapid.IntRange(0, 7).Draw(rt, "outcome"); v < 2 {
			ma.mu.Lock()
			ma.outcomes[key] = []citronstream.Verdict{citronstream.MayHaveRun, citronstream.NotRun}[v]
			ma.mu.Unlock()
		}
		ma.send(rt, key)
	}
	resend := func(rt *rapid.T) {
		if len(ma.keys) > 0 {
			ma.send(rt, rapid.SampledFrom(ma.keys).Draw(rt, "key"))
		}
	}
	return map[string]func(*rapid.T){
		"": func(rt *rapid.T) {
			synctest.Wait()
			ma.check(rt)
		},
		"fresh": fresh, "fresh2": fresh, "resend": resend, "resend2": resend,
		"advance": func(rt *rapid.T) {
			ma.clk.Sleep(rapid.SampledFrom([]time.Duration{
				50 * time.Millisecond, time.Second, 12 * time.Second, 35 * time.Second, 5 * time.Minute, 50 * time.Minute,
			}).Draw(rt, "time"))
		},
		"outage": func(rt *rapid.T) { ma.table.SetDown(rapid.Bool().Draw(rt, "down")) },
		"slow": func(rt *rapid.T) {
			ma.table.SetSlow(rapid.SampledFrom([]time.Duration{0, 0, time.Second}).Draw(rt, "delay"))
		},
		"lose":   func(rt *rapid.T) { ma.table.SetLoseAnswers(rapid.SampledFrom([]int{0, 1, 2, 3}).Draw(rt, "every")) },
		"late":   func(rt *rapid.T) { ma.late.Store(rapid.Bool().Draw(rt, "late")) },
		"land":   func(*rapid.T) { ma.land() },
		"pause":  func(rt *rapid.T) { ma.pick(rt).pause() },
		"resume": func(rt *rapid.T) { ma.pick(rt).resume() },
		"kill":   ma.replace,
		"vanish": func(*rapid.T) { ma.vanish() },
		"entry":  ma.restartEntry,
		"drain":  ma.drain,
	}
}

// replace kills an agent and starts its successor at the same or another address.
func (ma *machine) replace(rt *rapid.T) {
	ag := ma.pick(rt)
	if !ag.dead.Load() {
		ag.kill()
	}
	switch rapid.IntRange(0, 2).Draw(rt, "successor") {
	case 0:
		ma.start(ag.set.Upstream, ag.set.Address)
	case 1:
		ma.start(ag.set.Upstream, "")
	}
}

// vanish lets the platform's list catch up with the dead.
func (ma *machine) vanish() {
	ma.mu.Lock()
	defer ma.mu.Unlock()
	alive := make(map[string]bool)
	for _, ag := range ma.agents {
		alive[ag.set.Instance] = !ag.dead.Load()
	}
	for name := range ma.list {
		if !alive[name] {
			delete(ma.list, name)
		}
	}
}

func (ma *machine) restartEntry(rt *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(rt, "entry")
	if rapid.IntRange(0, 3).Draw(rt, "often") > 0 {
		return
	}
	ma.mu.Lock()
	defer ma.mu.Unlock()
	ma.keepers[i] = ma.keeper()
}

func (ma *machine) drain(rt *rapid.T) {
	ag := ma.pick(rt)
	if rapid.IntRange(0, 3).Draw(rt, "often") > 0 || ag.dead.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_ = ag.gr.Drain(ctx)
}

func (ma *machine) check(rt *rapid.T) {
	ma.mu.Lock()
	defer ma.mu.Unlock()
	if len(ma.faults) > 0 {
		rt.Fatalf("%s\n%s", strings.Join(ma.faults, "\n"), strings.Join(ma.trace, "\n"))
	}
}

// settleDown ends all faults and sends each key again to its owner.
func (ma *machine) settleDown(rt *rapid.T) {
	ma.table.SetDown(false)
	ma.table.SetSlow(0)
	ma.table.SetLoseAnswers(0)
	ma.late.Store(false)
	ma.land()
	for _, ag := range ma.agents {
		ag.resume()
	}
	ma.clk.Sleep(5 * time.Minute)
	for _, key := range ma.keys {
		if ag := ma.owner(key); ag != nil {
			_, _ = ma.call(context.Background(), 0, ag, key)
		}
	}
	ma.check(rt)
}
