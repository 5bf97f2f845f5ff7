package prefix

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/citronstream/citronstream/internal/kernel/policy"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var chain = []uint64{11, 12, 13}

func assertHolders(t *testing.T, hi *Hints, want ...policy.Holder) {
	t.Helper()
	out, count := hi.Holders(chain)
	assert.ElementsMatch(t, want, out[:count])
}

func TestHints(t *testing.T) {
	all := policy.Holder{Upstream: "a", Blocks: 3}
	setup := func(t *testing.T) (*Hints, *clockwork.FakeClock) {
		clk := clockwork.NewFakeClock()
		hi := New(clk)
		require.True(t, hi.Apply(Event{Upstream: "a", Epoch: 1, Seq: 5, Stored: chain}))
		return hi, clk
	}
	t.Run("deepest prefix of each upstream", func(t *testing.T) {
		hi, _ := setup(t)
		hi.Note("b", chain[:2])
		assertHolders(t, hi, all, policy.Holder{Upstream: "b", Blocks: 2})
	})
	t.Run("evicted block", func(t *testing.T) {
		hi, _ := setup(t)
		hi.Apply(Event{Upstream: "a", Epoch: 1, Seq: 6, Evicted: chain[2:]})
		assertHolders(t, hi, policy.Holder{Upstream: "a", Blocks: 2})
	})
	// The missing event may be an eviction: the old hints would send prompts to an
	// upstream without the prefix.
	t.Run("gap invalidates the upstream's hints only", func(t *testing.T) {
		hi, _ := setup(t)
		hi.Note("b", chain)
		hi.Apply(Event{Upstream: "a", Epoch: 1, Seq: 7, Stored: chain[:1]})
		assertHolders(t, hi, policy.Holder{Upstream: "b", Blocks: 3}, policy.Holder{Upstream: "a", Blocks: 1})
	})
	// A delayed event must not restore what a later one evicted.
	t.Run("late event is ignored", func(t *testing.T) {
		hi, _ := setup(t)
		hi.Apply(Event{Upstream: "a", Epoch: 1, Seq: 6, Evicted: chain})
		assert.False(t, hi.Apply(Event{Upstream: "a", Epoch: 1, Seq: 5, Stored: chain}))
		assertHolders(t, hi)
	})
	t.Run("restart and death invalidate the hints", func(t *testing.T) {
		hi, _ := setup(t)
		require.True(t, hi.Apply(Event{Upstream: "a", Epoch: 2, Seq: 1}))
		assertHolders(t, hi)
		hi.Note("a", chain)
		hi.Drop("a")
		assertHolders(t, hi)
	})
	// Holders that change with each call would spread a popular prefix over all caches.
	t.Run("fifth holder waits for half the life of the oldest", func(t *testing.T) {
		hi, clk := setup(t)
		for _, name := range []string{"b", "c", "d", "e"} {
			hi.Note(name, chain)
		}
		four := []policy.Holder{all, {Upstream: "b", Blocks: 3}, {Upstream: "c", Blocks: 3}, {Upstream: "d", Blocks: 3}}
		assertHolders(t, hi, four...)
		clk.Advance(time.Minute)
		hi.Note("e", chain)
		four[0].Upstream = "e"
		assertHolders(t, hi, four...)
	})
	t.Run("hint expires", func(t *testing.T) {
		hi, clk := setup(t)
		clk.Advance(2 * time.Minute)
		assertHolders(t, hi)
	})
}

// Events with new blocks must not grow the table beyond its cap, nor evict blocks in use.
func TestCap(t *testing.T) {
	hi := New(clockwork.NewFakeClock(), WithCap(128))
	rnd := rand.New(rand.NewPCG(1, 2))
	hi.Note("a", chain)
	for range 2000 {
		hi.Note("b", []uint64{rnd.Uint64()})
		hi.Holders(chain)
	}
	assert.Equal(t, 128, hi.Len())
	assertHolders(t, hi, policy.Holder{Upstream: "a", Blocks: 3})
}

// Finds data races between picks and events when run with the race detector.
func TestConcurrent(t *testing.T) {
	hi := New(clockwork.NewRealClock(), WithCap(64))
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			for seq := range uint64(500) {
				hi.Apply(Event{Upstream: string(rune('a' + i)), Seq: seq + 1, Stored: []uint64{seq % 90}})
				hi.Holders([]uint64{seq % 90, seq % 7})
			}
		})
	}
	wg.Wait()
	assert.LessOrEqual(t, hi.Len(), 64)
}

// Guards against hashes that don't cover the whole prefix, and against reads past the prompt.
func FuzzBlocks(f *testing.F) {
	f.Add([]byte("short"), 3)
	f.Add(bytes.Repeat([]byte("x"), 40*BlockBytes), 300)
	f.Fuzz(func(t *testing.T, prompt []byte, at int) {
		got := Blocks(prompt)
		if len(got) != min(MaxBlocks, len(prompt)/BlockBytes) {
			t.Fatalf("%d blocks of %d bytes", len(got), len(prompt))
		}
		if at < 0 || at >= len(got)*BlockBytes {
			return
		}
		if cut := Blocks(prompt[:at]); !slices.Equal(cut, got[:len(cut)]) {
			t.Fatal("a shorter prompt has other blocks")
		}
		other := slices.Clone(prompt)
		other[at] ^= 1
		for i, hash := range Blocks(other) {
			if (hash == got[i]) != (i < at/BlockBytes) {
				t.Fatalf("byte %d, block %d", at, i)
			}
		}
	})
}

func BenchmarkHolders(b *testing.B) {
	hi := New(clockwork.NewRealClock())
	blocks := Blocks(make([]byte, MaxBlocks*BlockBytes))
	hi.Note("a", blocks[:1])
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			hi.Holders(blocks)
		}
	})
}
