package timeline

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func kinds(events []citronstream.Event) string {
	var names []string
	for _, ev := range events {
		names = append(names, ev.Kind)
	}
	return strings.Join(names, " ")
}

// Guards against an effect that sorts before its cause when the clocks of
// processes disagree: rings exchange messages while their clocks are up to a
// minute away from the true time.
func TestCausalOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rings := make([]*Ring, 3)
		for i := range rings {
			offset := time.Duration(rapid.IntRange(-60, 60).Draw(rt, "offset")) * time.Second
			rings[i] = New(clockwork.NewFakeClockAt(time.Unix(1e9, 0).Add(offset)), WithProcess(string(rune('a'+i))))
		}
		var want []string
		at := rapid.IntRange(0, 2).Draw(rt, "start")
		for step := range rapid.IntRange(1, 30).Draw(rt, "steps") {
			kind := "step" + string(rune('A'+step))
			rings[at].Record(citronstream.Event{Kind: kind})
			want = append(want, kind)
			message := rings[at].Now()
			at = rapid.IntRange(0, 2).Draw(rt, "to")
			rings[at].Observe(message)
		}
		merged := Merge(rings[0].Snapshot(Filter{}), rings[1].Snapshot(Filter{}), rings[2].Snapshot(Filter{}))
		assert.Equal(rt, strings.Join(want, " "), kinds(merged))
	})
}

func TestRing(t *testing.T) {
	clk := clockwork.NewFakeClockAt(time.Unix(1e9, 0))

	// Guards against unbounded growth and against loss of the newest events.
	t.Run("keeps the newest events", func(t *testing.T) {
		ri := New(clk)
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				for range Size / 4 {
					ri.Record(citronstream.Event{Kind: "old"})
				}
			})
		}
		wg.Wait()
		for range 10 {
			ri.Record(citronstream.Event{Kind: "new"})
		}
		assert.Equal(t, Size, ri.Len())
		assert.Len(t, ri.Snapshot(Filter{Kind: "new"}), 10)
		assert.Len(t, ri.Snapshot(Filter{}), Size)
	})
	// Guards against one wrong clock that moves all others forward.
	t.Run("ignores a clock far ahead", func(t *testing.T) {
		ri := New(clk)
		ri.Observe(^uint64(0))
		ri.Observe(At(clk.Now().Add(MaxDrift + time.Second)))
		assert.Equal(t, clk.Now().UTC(), Time(ri.Now()))
		assert.Equal(t, uint64(2), ri.Rejected())
	})
}

func TestFilter(t *testing.T) {
	clk := clockwork.NewFakeClockAt(time.Unix(1e9, 0))
	entry, agent := New(clk, WithProcess("entry-1")), New(clk, WithProcess("desk-1"))
	entry.Record(citronstream.Event{Kind: "accepted", RequestID: "r1"})
	entry.Record(citronstream.Event{Kind: "sent", RequestID: "r1", AttemptID: "a1", Upstream: "desk-1"})
	agent.Observe(entry.Now())
	agent.Record(citronstream.Event{Kind: "queued", AttemptID: "a1"})
	clk.Advance(time.Second)
	agent.Record(citronstream.Event{Kind: "other", RequestID: "r2", AttemptID: "a2"})
	merged := Merge(agent.Snapshot(Filter{}), entry.Snapshot(Filter{}), entry.Snapshot(Filter{}))

	expect := func(name, want string, fi Filter) {
		// Guards against wrong matches of a filter and against duplicates from
		// processes that were queried twice.
		t.Run(name, func(t *testing.T) { assert.Equal(t, want, kinds(fi.Apply(merged))) })
	}
	expect("all", "accepted sent queued other", Filter{})
	expect("request with its attempts", "accepted sent queued", Filter{RequestID: "r1"})
	expect("process", "queued other", Filter{Processes: []string{"desk-1"}})
	expect("upstream", "sent", Filter{Upstream: "desk-1"})
	expect("since", "other", Filter{Since: At(clk.Now())})
	expect("limit", "other", Filter{Limit: 1})
}

// Guards against untrusted text that breaks the table or controls the terminal.
func TestRender(t *testing.T) {
	var text, lines bytes.Buffer
	events := []citronstream.Event{{At: At(time.Unix(1e9, 0)) + 3, Process: "p", Kind: "k", Detail: "a\n\x1b[2J"}}
	require.NoError(t, WriteText(&text, events))
	assert.Equal(t, 2, strings.Count(text.String(), "\n"))
	assert.Contains(t, text.String(), "2001-09-09T01:46:40.000Z+3")
	assert.NotContains(t, text.String(), "\x1b")
	require.NoError(t, WriteJSON(&lines, events))
	assert.Equal(t, 1, strings.Count(lines.String(), "\n"))
}

func BenchmarkRecord(b *testing.B) {
	ri := New(clockwork.NewRealClock(), WithProcess("entry-1"))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			ri.Record(citronstream.Event{Kind: "sent", RequestID: "r", AttemptID: "a"})
		}
	})
}
