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

// bubble runs fn in a synctest bubble. Rapid runs outside of it, as it measures
// real time; panics, by which it fails a check, are passed on to it.
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

// TestMachine guards against a key that runs twice, a replay that differs from
// the first answer, and the verdict NotRun for a key that ran, under random
// combinations of the faults of section 1.5 of the design.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		bubble(t, func() {
			sm := &stateMachine{fleet: newFleet(clockwork.NewRealClock(), 2), ids: []string{"a", "b", "c"}}
			sm.forgetIDs.Store(rapid.Bool().Draw(rt, "forget"))
			defer sm.close()
			for _, id := range sm.ids {
				sm.start(id, "")
			}
			sm.clk.Sleep(time.Minute)
			rt.Repeat(sm.logged(sm.actions()))
			sm.endFaults(rt)
		})
	})
}

type stateMachine struct {
	*fleet
	ids  []string
	keys []string
}

// logged logs each action with its time, for the report of a failure.
func (sm *stateMachine) logged(actions map[string]func(*rapid.T)) map[string]func(*rapid.T) {
	for name, fn := range actions {
		if name != "" {
			actions[name] = func(rt *rapid.T) {
				sm.log("%s", name)
				fn(rt)
			}
		}
	}
	return actions
}

func (sm *stateMachine) pick(rt *rapid.T) *agent {
	return sm.agents[rapid.SampledFrom(sm.ids).Draw(rt, "agent")]
}

// send starts a call at the owner of the key or, in one of ten cases, at a random
// agent.
func (sm *stateMachine) send(rt *rapid.T, key string) {
	ag := sm.owner(key)
	if ag == nil || rapid.IntRange(0, 9).Draw(rt, "stray") == 0 {
		ag = sm.pick(rt)
	}
	entry := rapid.IntRange(0, 1).Draw(rt, "entry")
	sm.calls.Go(func() { _, _ = sm.call(context.Background(), entry, ag, key) })
	if rapid.Bool().Draw(rt, "wait") {
		sm.clk.Sleep(400 * time.Millisecond)
	}
}

func (sm *stateMachine) actions() map[string]func(*rapid.T) {
	fresh := func(rt *rapid.T) {
		key := keyAt(sm.clk.Now(), len(sm.keys))
		if rapid.IntRange(0, 3).Draw(rt, "plain") == 0 {
			key = "order-" + key
		}
		sm.keys = append(sm.keys, key)
		if v := rapid.IntRange(0, 7).Draw(rt, "outcome"); v < 2 {
			sm.mu.Lock()
			sm.outcomes[key] = []citronstream.Verdict{citronstream.MayHaveRun, citronstream.NotRun}[v]
			sm.mu.Unlock()
		}
		sm.send(rt, key)
	}
	resend := func(rt *rapid.T) {
		if len(sm.keys) > 0 {
			sm.send(rt, rapid.SampledFrom(sm.keys).Draw(rt, "key"))
		}
	}
	return map[string]func(*rapid.T){
		"": func(rt *rapid.T) {
			synctest.Wait()
			sm.check(rt)
		},
		"fresh": fresh, "fresh2": fresh, "resend": resend, "resend2": resend,
		"advance": func(rt *rapid.T) {
			sm.clk.Sleep(rapid.SampledFrom([]time.Duration{
				50 * time.Millisecond, time.Second, 12 * time.Second, 35 * time.Second, 5 * time.Minute, 50 * time.Minute,
			}).Draw(rt, "time"))
		},
		"outage": func(rt *rapid.T) { sm.table.SetDown(rapid.Bool().Draw(rt, "down")) },
		"slow": func(rt *rapid.T) {
			sm.table.SetSlow(rapid.SampledFrom([]time.Duration{0, 0, time.Second}).Draw(rt, "delay"))
		},
		"lose":   func(rt *rapid.T) { sm.table.SetLoseAnswers(rapid.SampledFrom([]int{0, 1, 2, 3}).Draw(rt, "every")) },
		"late":   func(rt *rapid.T) { sm.lateWrites.Store(rapid.Bool().Draw(rt, "late")) },
		"land":   func(*rapid.T) { sm.applyDelayed() },
		"pause":  func(rt *rapid.T) { sm.pick(rt).pause() },
		"resume": func(rt *rapid.T) { sm.pick(rt).resume() },
		"kill":   sm.replace,
		"vanish": func(*rapid.T) { sm.delist() },
		"entry":  sm.restartEntry,
		"drain":  sm.drain,
	}
}

// replace kills an agent and may start its successor at the same or a new address.
func (sm *stateMachine) replace(rt *rapid.T) {
	ag := sm.pick(rt)
	if !ag.dead.Load() {
		ag.kill()
	}
	switch rapid.IntRange(0, 2).Draw(rt, "successor") {
	case 0:
		sm.start(ag.set.Upstream, ag.set.Address)
	case 1:
		sm.start(ag.set.Upstream, "")
	}
}

// delist removes dead agents from the platform's list.
func (sm *stateMachine) delist() {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	alive := make(map[string]bool)
	for _, ag := range sm.agents {
		alive[ag.set.Instance] = !ag.dead.Load()
	}
	for name := range sm.list {
		if !alive[name] {
			delete(sm.list, name)
		}
	}
}

func (sm *stateMachine) restartEntry(rt *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(rt, "entry")
	if rapid.IntRange(0, 3).Draw(rt, "often") > 0 {
		return
	}
	sm.mu.Lock()
	defer sm.mu.Unlock()
	sm.trackers[i] = sm.newTracker()
}

func (sm *stateMachine) drain(rt *rapid.T) {
	ag := sm.pick(rt)
	if rapid.IntRange(0, 3).Draw(rt, "often") > 0 || ag.dead.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_ = ag.gr.Drain(ctx)
}

func (sm *stateMachine) check(rt *rapid.T) {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	if len(sm.faults) > 0 {
		rt.Fatalf("%s\n%s", strings.Join(sm.faults, "\n"), strings.Join(sm.trace, "\n"))
	}
}

// endFaults ends all faults and sends each key again to its owner.
func (sm *stateMachine) endFaults(rt *rapid.T) {
	sm.table.SetDown(false)
	sm.table.SetSlow(0)
	sm.table.SetLoseAnswers(0)
	sm.lateWrites.Store(false)
	sm.applyDelayed()
	for _, ag := range sm.agents {
		ag.resume()
	}
	sm.clk.Sleep(5 * time.Minute)
	for _, key := range sm.keys {
		if ag := sm.owner(key); ag != nil {
			_, _ = sm.call(context.Background(), 0, ag, key)
		}
	}
	sm.check(rt)
}
