package partquarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// message is one that an entry has not received yet.
type message struct {
	to    int
	apply func(qu *Quarantine)
}

// modelSite is a site whose entries exchange messages in any order. Each crash of the
// culprit is reported with requests that have sound parts.
type modelSite struct {
	clk      *clockwork.FakeClock
	entries  []*Quarantine
	messages []message
	crashes  int
	digest   uint64
}

func (ms *modelSite) send(from int, apply func(qu *Quarantine)) {
	for to := range ms.entries {
		if to != from {
			ms.messages = append(ms.messages, message{to: to, apply: apply})
		}
	}
}

// crash lets the culprit crash an upstream, if the entry doesn't refuse it.
func (ms *modelSite) crash(t *rapid.T) {
	from := rapid.IntRange(0, len(ms.entries)-1).Draw(t, "entry")
	next := rapid.Uint64Range(2, 6).Draw(t, "part")
	vi, refusal := ms.entries[from].Enter(shared(common, culprit, next))
	defer vi.Leave()
	if refusal != nil || vi.Send() != nil {
		return
	}
	ms.crashes++
	ms.digest++
	bystander := suspect(ms.digest<<32, 0, common, rapid.Uint64Range(2, 6).Draw(t, "bystander"))
	re := report(fmt.Sprint("death", ms.crashes), suspect(ms.digest, 0, common, culprit, next), bystander)
	at := ms.clk.Now()
	apply := func(qu *Quarantine) {
		late := re
		late.Age = ms.clk.Since(at)
		late.Requests = slices.Clone(re.Requests)
		for i := range late.Requests {
			late.Requests[i].Sent = late.Age
		}
		qu.Crashed(late)
	}
	apply(ms.entries[from])
	ms.send(from, apply)
	ms.clk.Advance(2 * crashGap)
}

// run runs a sound request to its first event, if the entry doesn't refuse it.
func (ms *modelSite) run(t *rapid.T) {
	from := rapid.IntRange(0, len(ms.entries)-1).Draw(t, "entry")
	ms.runAt(from, common, rapid.Uint64Range(2, 6).Draw(t, "part"))
}

func (ms *modelSite) runAt(from int, parts ...uint64) {
	vi, refusal := ms.entries[from].Enter(shared(parts...))
	if refusal != nil || vi.Send() != nil {
		vi.Leave()
		return
	}
	vi.Finished("u", true)
	ms.tell(from)
}

// tell sends what an entry has to tell.
func (ms *modelSite) tell(from int) {
	at := ms.clk.Now()
	sound, _ := ms.entries[from].TakeUnsent()
	if len(sound) == 0 {
		return
	}
	ms.send(from, func(qu *Quarantine) {
		late := slices.Clone(sound)
		for i := range late {
			late[i].Age += ms.clk.Since(at)
		}
		qu.MergeSound(late, "peer")
	})
}

func (ms *modelSite) deliver(t *rapid.T) {
	if len(ms.messages) == 0 {
		return
	}
	at := rapid.IntRange(0, len(ms.messages)-1).Draw(t, "message")
	one := ms.messages[at]
	if !rapid.Bool().Draw(t, "again later") {
		ms.messages = slices.Delete(ms.messages, at, at+1)
	}
	ms.receive(one)
}

func (ms *modelSite) receive(one message) {
	one.apply(ms.entries[one.to])
	ms.tell(one.to)
}

// settle delivers all messages before the entries decide.
func (ms *modelSite) settle() {
	for len(ms.messages) > 0 {
		one := ms.messages[0]
		ms.messages = ms.messages[1:]
		ms.receive(one)
	}
	ms.clk.Advance(settleTime)
	for _, qu := range ms.entries {
		qu.Tick()
	}
}

// Guards against sound parts that are held, and against a culprit that is not,
// whatever the order of the messages.
func TestHoldsOnlyTheCulprit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := &modelSite{clk: clockwork.NewFakeClock()}
		for range 3 {
			ms.entries = append(ms.entries, New(ms.clk, citronstream.DefaultLimits()))
		}
		t.Repeat(map[string]func(*rapid.T){
			"crash": func(t *rapid.T) {
				// Each part has a sound run between two crashes.
				for part := uint64(2); part <= 6; part++ {
					ms.runAt(rapid.IntRange(0, 2).Draw(t, "entry"), common, part)
				}
				ms.clk.Advance(time.Millisecond)
				ms.crash(t)
				if rapid.Bool().Draw(t, "settle") {
					ms.settle()
				}
			},
			"run": ms.run, "deliver": ms.deliver, "deliver more": ms.deliver,
			"": func(t *rapid.T) {
				for _, qu := range ms.entries {
					for part := range uint64(7) {
						assertHeld(t, qu, part, false)
					}
				}
			},
		})
		enough := ms.crashes >= crashesToHold
		ms.settle()
		for _, qu := range ms.entries {
			assertHeld(t, qu, culprit, enough)
		}
		assert.LessOrEqual(t, len(ms.entries[0].records.byPart), 7)
	})
}
