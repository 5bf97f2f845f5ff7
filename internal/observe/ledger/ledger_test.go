package ledger

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/platform/dynamodb"
	standin "github.com/citronstream/citronstream/internal/standin/dynamodb"
	"github.com/citronstream/citronstream/internal/standin/memtable"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// lossy loses the request or the answer of writes.
type lossy struct {
	*memtable.Table
	loseRequest, loseAnswer bool
	wrote                   chan struct{} // receives one value for each write, unless nil
}

func (lo *lossy) Write(ctx context.Context, opID string, ops ...citronstream.Op) error {
	if lo.loseRequest {
		return citronstream.ErrUnknownOutcome
	}
	err := lo.Table.Write(ctx, opID, ops...)
	if lo.wrote != nil {
		lo.wrote <- struct{}{}
	}
	if err != nil || !lo.loseAnswer {
		return err
	}
	return citronstream.ErrUnknownOutcome
}

// distinct returns the counts of the n-th addition, n < 60. Each has its own
// base-4 digit, so that a sum shows which additions count twice.
func distinct(n int64) Counts {
	digit := int64(1) << (2 * (n % 20))
	return [...]Counts{{Calls: 1, TokensIn: digit}, {Calls: 1, TokensOut: digit}, {Calls: 1, Attained: digit}}[n/20]
}

const twice = 0x2AAAAAAAAAAAAAAA // base-4 digits 2 and 3

func agentTotal(t require.TestingT, table citronstream.Table, clk citronstream.Clock) Counts {
	deltas, err := Read(context.Background(), table, clk.Now(), "", 1<<20)
	require.NoError(t, err)
	re, err := Tally(deltas)
	require.NoError(t, err)
	return re.Total.Agent
}

// Guards against usage that counts twice after a repeated write and against
// usage that is lost without a crash. The steps are additions, crashes, outages
// and lost answers in any order; writes repeat both before and after the table
// forgets the operation identifier.
func TestNeverDoubleCounts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clk := clockwork.NewFakeClockAt(time.Date(2026, 1, 2, 0, 0, 0, 0, time.UTC))
		table := &lossy{Table: memtable.New(clk)}
		epoch := uint64(1)
		le := New(table, clk, "desk-1", epoch, WithCap(2))
		var added, unflushed, lost int64
		flush := func() {
			if le.Flush(context.Background()) == nil {
				unflushed = 0
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"add": func(rt *rapid.T) {
				if added == 60 {
					rt.Skip("no more digits")
				}
				workspace := fmt.Sprint(rapid.IntRange(0, 4).Draw(rt, "workspace"))
				le.Add(Key{Side: SideAgent, Owner: "o", Workspace: workspace}, distinct(added))
				added, unflushed = added+1, unflushed+1
			},
			"flush": func(*rapid.T) { flush() },
			"crash": func(rt *rapid.T) {
				// Nor may two processes with the same name and epoch hide each
				// other's records.
				epoch += uint64(rapid.IntRange(0, 1).Draw(rt, "step"))
				lost, unflushed = lost+unflushed, 0
				le = New(table, clk, "desk-1", epoch, WithCap(2))
			},
			"forget": func(*rapid.T) { clk.Advance(11 * time.Minute) },
			"fault": func(rt *rapid.T) {
				table.loseRequest, table.loseAnswer = rapid.Bool().Draw(rt, "before"), rapid.Bool().Draw(rt, "after")
				table.SetDown(rapid.Bool().Draw(rt, "down"))
			},
			"": func(rt *rapid.T) { assert.LessOrEqual(rt, le.Rows(), 2+maxOwners) },
		})
		table.loseRequest, table.loseAnswer = false, false
		table.SetDown(false)
		flush()
		counted := agentTotal(rt, table, clk)
		assert.Zero(rt, (counted.TokensIn|counted.TokensOut|counted.Attained)&twice, "counted twice")
		assert.LessOrEqual(rt, counted.Calls, added)
		assert.GreaterOrEqual(rt, counted.Calls, added-lost, "lost without a crash")
	})
}

// Guards against usage that is lost when Add runs during a flush.
func TestConcurrentAdds(t *testing.T) {
	clk := clockwork.NewFakeClock()
	table := memtable.New(clk)
	le := New(table, clk, "entry-1", 1, WithCap(3))
	var wg sync.WaitGroup
	for worker := range 4 {
		wg.Go(func() {
			for i := range 2000 {
				le.Add(Key{Side: SideAgent, Workspace: fmt.Sprint(worker, i%3)}, Counts{Calls: 1})
			}
		})
	}
	for range 50 {
		require.NoError(t, le.Flush(t.Context()))
	}
	wg.Wait()
	require.NoError(t, le.Flush(t.Context()))
	assert.Equal(t, int64(8000), agentTotal(t, table, clk).Calls)
	assert.Equal(t, 0, le.Rows())
	assert.NotZero(t, le.Overflowed())
}

// Guards against usage that is added to a cell after its flush: Add has found
// the cell before the flush seals it.
func TestSealedCell(t *testing.T) {
	clk := clockwork.NewFakeClock()
	le := New(memtable.New(clk), clk, "entry-1", 1)
	ce := le.findCell(Key{Side: SideAgent})
	le.takeRows()
	assert.False(t, ce.add(Counts{Calls: 1}))
}

// Guards against record writes that aren't idempotent in the protocol of the
// table service: every answer is lost, and the second repeat comes after the
// service forgot the operation.
func TestThroughClient(t *testing.T) {
	clk := clockwork.NewFakeClockAt(time.Date(2026, 1, 2, 0, 0, 0, 0, time.UTC))
	mem := memtable.New(clk)
	server := httptest.NewServer(standin.New(mem))
	defer server.Close()
	table := dynamodb.New(clk, server.URL)
	le := New(table, clk, "desk-1", 1)
	le.Add(Key{Side: SideAgent}, Counts{Calls: 1})
	mem.SetLoseAnswers(1)
	require.ErrorIs(t, le.Flush(t.Context()), citronstream.ErrUnknownOutcome)
	require.ErrorIs(t, le.Flush(t.Context()), citronstream.ErrUnknownOutcome)
	assert.Equal(t, 1, le.Pending())
	mem.SetLoseAnswers(0)
	clk.Advance(11 * time.Minute)
	require.NoError(t, le.Flush(t.Context()))
	assert.Equal(t, 0, le.Pending())
	assert.Equal(t, int64(1), agentTotal(t, table, clk).Calls)
}

func TestRun(t *testing.T) {
	clk := clockwork.NewFakeClock()
	table := &lossy{Table: memtable.New(clk), wrote: make(chan struct{}, 2)}
	le := New(table, clk, "entry-1", 1, WithInterval(30*time.Second))
	ctx, cancel := context.WithCancel(t.Context())
	ended := le.Run(ctx)
	le.Add(Key{Side: SideAgent}, Counts{Calls: 1})
	require.NoError(t, clk.BlockUntilContext(ctx, 1))
	clk.Advance(38 * time.Second)
	<-table.wrote // guards against a periodic flush that never runs
	le.Add(Key{Side: SideAgent}, Counts{Calls: 1})
	// Guards against usage that is lost at a graceful stop.
	cancel()
	require.NoError(t, <-ended)
	assert.Equal(t, int64(2), agentTotal(t, table, clk).Calls)
}

func TestReport(t *testing.T) {
	at := time.Date(2026, 1, 2, 0, 0, 0, 0, time.UTC)
	entry := Delta{Process: "e", Epoch: 1, Seq: 1, OpID: "x", At: at, Rows: []Row{
		{Key{SideEntry, "magnolia", "w1", "engine", "generate", 0}, Counts{Calls: 2, Cost: UnitsOf(5)}},
		{Key{SideEntry, "nullagine", "w2", "engine", "generate", 0}, Counts{Calls: 1, Cost: UnitsOf(1)}},
	}}
	agent := Delta{Process: "a", Epoch: 1, Seq: 1, OpID: "y", At: at, Rows: []Row{
		{Key{SideAgent, "magnolia", "w1", "engine", "generate", 0}, Counts{Calls: 1, Cost: UnitsOf(3)}},
		{Key{SideAgent, "nullagine", "w2", "engine", "generate", 0}, Counts{Calls: 1, Cost: UnitsOf(1)}},
	}}
	re, err := Tally([]Delta{entry, agent})
	require.NoError(t, err)

	// Guards against swapped sides and against a wrong gap or share.
	t.Run("sides and gap", func(t *testing.T) {
		assert.Equal(t, []Line{
			{"magnolia", Counts{Calls: 2, Cost: 5e6}, Counts{Calls: 1, Cost: 3e6}, 2e6, 0.75},
			{"nullagine", Counts{Calls: 1, Cost: 1e6}, Counts{Calls: 1, Cost: 1e6}, 0, 0.25},
		}, re.ByOwner)
		assert.Equal(t, "engine/generate", re.ByStage[0].Name)
		assert.Len(t, re.ByWorkspace, 2)
	})
	// Guards against owners who compute different splits from one export.
	t.Run("recompute from export with repeats", func(t *testing.T) {
		var lines bytes.Buffer
		require.NoError(t, Export(&lines, []Delta{agent, entry, agent}))
		again, err := Recompute(&lines)
		require.NoError(t, err)
		assert.Equal(t, re, again)
	})
	// Guards against an altered record that goes undetected.
	t.Run("altered record", func(t *testing.T) {
		changed := entry
		changed.Rows = entry.Rows[:1]
		_, err := Tally([]Delta{entry, changed})
		assert.ErrorContains(t, err, "two different cost records")
	})
	// Guards against records that are lost or counted twice between pages.
	t.Run("pages", func(t *testing.T) {
		clk := clockwork.NewFakeClockAt(at)
		table := memtable.New(clk)
		for _, process := range []string{"a", "b", "c"} {
			le := New(table, clk, process, 1)
			for range 4 {
				le.Add(Key{Side: SideAgent}, Counts{Calls: 1})
				require.NoError(t, le.Flush(t.Context()))
			}
		}
		su, after, pages := NewSummary(), "", 0
		for {
			deltas, err := Read(t.Context(), table, at, after, 5)
			require.NoError(t, err)
			if len(deltas) == 0 {
				break
			}
			for _, de := range deltas {
				require.NoError(t, su.Add(de))
				after = de.Path()
			}
			pages++
		}
		assert.Equal(t, 3, pages)
		assert.EqualValues(t, 12, su.Report().Total.Agent.Calls)
		_, err := Read(t.Context(), table, at.Add(48*time.Hour), after, 5)
		assert.ErrorContains(t, err, "not a key of")
	})
}

func FuzzRecompute(f *testing.F) {
	f.Add([]byte(`{"Process":"a","OpID":"x","Rows":[{"Side":"agent","Calls":1}]}`))
	f.Add([]byte("{}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		re, err := Recompute(bytes.NewReader(data))
		if err == nil && (re.Total.Agent.Calls < 0 || re.Total.Entry.Cost < 0) {
			t.Fatal("negative sum")
		}
	})
}

func BenchmarkAdd(b *testing.B) {
	clk := clockwork.NewRealClock()
	le := New(memtable.New(clk), clk, "entry-1", 1)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			le.Add(Key{Side: SideEntry, Owner: "o", Workspace: "w"}, Counts{Calls: 1})
		}
	})
}
