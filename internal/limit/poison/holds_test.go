package poison

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const poison = uint64(99)

func newHolds(opts ...Option) (*Holds, *clockwork.FakeClock) {
	clk := clockwork.NewFakeClock()
	return New(clk, citronstream.DefaultLimits(), opts...), clk
}

func assertHeld(t assert.TestingT, ho *Holds, digest uint64, want bool) {
	_, held := ho.Held(digest)
	assert.Equal(t, want, held, "digest %d", digest)
}

// newHeld returns Holds that hold the poison digest after two deaths.
func newHeld(t *testing.T, opts ...Option) (*Holds, *clockwork.FakeClock) {
	ho, clk := newHolds(opts...)
	require.Empty(t, ho.Died("up-1", []uint64{poison, 1}))
	require.Equal(t, []uint64{poison}, ho.Died("up-2", []uint64{2, poison}))
	return ho, clk
}

// site is a set of upstreams whose agents exchange reports.
type site struct {
	agents  []*Holds
	running [][]uint64
	deaths  int
	at      time.Time
}

func (si *site) start(t *rapid.T) {
	up := rapid.IntRange(0, len(si.agents)-1).Draw(t, "upstream")
	digest := rapid.SampledFrom([]uint64{poison, 1, 2, 3, 4, 5}).Draw(t, "digest")
	ho := si.agents[up]
	if _, held := ho.Held(digest); held {
		return
	}
	if ho.Suspect(digest) && slices.ContainsFunc(si.running[up], ho.Suspect) {
		return // the queue runs one suspect at a time
	}
	si.running[up] = append(si.running[up], digest)
}

func (si *site) finish(t *rapid.T) {
	up := rapid.IntRange(0, len(si.agents)-1).Draw(t, "upstream")
	if len(si.running[up]) == 0 {
		return
	}
	at := rapid.IntRange(0, len(si.running[up])-1).Draw(t, "call")
	if digest := si.running[up][at]; digest != poison {
		si.running[up] = slices.Delete(si.running[up], at, at+1)
		si.agents[up].Finished(digest)
	}
}

func (si *site) die(t *rapid.T) {
	up := rapid.IntRange(0, len(si.agents)-1).Draw(t, "upstream")
	if !slices.Contains(si.running[up], poison) {
		return
	}
	si.deaths++
	re := Report{ID: DeathID("up", uint64(up), uint64(si.deaths)), At: si.at, Running: si.running[up]}
	si.running[up] = nil
	re.Held = si.agents[up].Merge(re)
	for i, ho := range si.agents {
		for range rapid.IntRange(1, 2).Draw(t, "deliveries") {
			ho.Merge(re)
		}
		for _, digest := range ho.ExtraSuspects(si.running[i]) {
			si.running[i] = slices.DeleteFunc(si.running[i], func(other uint64) bool { return other == digest })
		}
	}
}

// Guards against a poison request that keeps crashing upstreams, and against harmless
// content that is held because it ran next to it.
func TestHoldsOnlyPoison(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		si := &site{running: make([][]uint64, 3)}
		for range si.running {
			ho, clk := newHolds()
			si.agents, si.at = append(si.agents, ho), clk.Now()
		}
		t.Repeat(map[string]func(*rapid.T){
			"start": si.start, "start again": si.start, "finish": si.finish, "die": si.die,
			"": func(t *rapid.T) {
				for _, ho := range si.agents {
					assertHeld(t, ho, poison, si.deaths >= 2)
					for digest := range uint64(6) {
						assertHeld(t, ho, digest, false)
					}
				}
			},
		})
	})
}

func TestReports(t *testing.T) {
	// Guards against a death that counts twice because two processes report it.
	t.Run("two reporters of one death", func(t *testing.T) {
		ho, clk := newHolds()
		re := Report{ID: DeathID("up-1", 7, 0), At: clk.Now(), Running: []uint64{1, poison}}
		ho.Merge(re)
		re.Running = []uint64{1, 2}
		assert.Empty(t, ho.Merge(re))
		assertHeld(t, ho, 1, false)
		assert.True(t, ho.Suspect(2))
	})
	t.Run("the second reporter names the suspect", func(t *testing.T) {
		ho, clk := newHolds()
		ho.Died("up-1", []uint64{poison})
		re := Report{ID: DeathID("up-2", 7, 0), At: clk.Now(), Running: []uint64{1}}
		assert.Empty(t, ho.Merge(re))
		re.Running = []uint64{poison}
		assert.Equal(t, []uint64{poison}, ho.Merge(re))
	})
	// Guards against a repeated report that makes completed content a suspect again.
	t.Run("repeat after the suspect has finished", func(t *testing.T) {
		ho, clk := newHolds()
		re := Report{ID: "d", At: clk.Now(), Running: []uint64{1}}
		ho.Merge(re)
		ho.Finished(1)
		ho.Merge(re)
		assert.False(t, ho.Suspect(1))
	})
	t.Run("two concurrent suspects are not held", func(t *testing.T) {
		ho, _ := newHolds()
		ho.Died("up-1", []uint64{1, 2})
		assert.Empty(t, ho.Died("up-2", []uint64{1, 2}))
		assert.Equal(t, []uint64{2}, ho.ExtraSuspects([]uint64{1, 3, 2, 1}))
	})
	t.Run("a late report is ignored", func(t *testing.T) {
		ho, clk := newHolds()
		ho.Merge(Report{ID: "d", At: clk.Now().Add(-11 * time.Minute), Running: []uint64{1}, Held: []uint64{1}})
		assert.False(t, ho.Suspect(1))
	})
}

func TestExpiryAndLift(t *testing.T) {
	// Guards against content that is refused forever, and against content that is no suspect after its hold.
	t.Run("a hold expires and leaves a suspect", func(t *testing.T) {
		ho, clk := newHeld(t)
		until, _ := ho.Held(poison)
		assert.Equal(t, clk.Now().Add(10*time.Minute), until)
		clk.Advance(10 * time.Minute)
		assertHeld(t, ho, poison, false)
		assert.True(t, ho.Suspect(poison))
		assert.Equal(t, []uint64{poison}, ho.Died("up-3", []uint64{poison, 5}))
	})
	t.Run("a late completion does not clear a held digest", func(t *testing.T) {
		ho, _ := newHeld(t)
		ho.Finished(poison)
		assertHeld(t, ho, poison, true)
	})
	// Guards against a table row from before the lift that restores the hold.
	t.Run("a lift overrides an older row", func(t *testing.T) {
		ho, clk := newHeld(t)
		before, err := ho.Export()
		require.NoError(t, err)
		other, _ := newHolds()
		require.NoError(t, other.Import(before))
		assertHeld(t, other, poison, true)
		clk.Advance(time.Second)
		assert.True(t, ho.Lift(poison))
		assert.False(t, ho.Lift(poison))
		require.NoError(t, ho.Import(before))
		assertHeld(t, ho, poison, false)
		after, err := ho.Export()
		require.NoError(t, err)
		require.NoError(t, other.Import(after))
		assertHeld(t, other, poison, false)
	})
}

// Guards against a flood of harmless suspects that evicts the hold.
func TestBounded(t *testing.T) {
	ho, _ := newHeld(t, WithCap(4))
	for digest := uint64(1000); digest < 1100; digest++ {
		ho.Died("up-3", []uint64{digest, digest + 1000})
	}
	for range 2 * deathCap {
		ho.Died("up-4", nil)
	}
	digests, deaths := ho.Len()
	assert.Equal(t, 4, digests)
	assert.Equal(t, deathCap, deaths)
	assertHeld(t, ho, poison, true)
}

// FuzzImport guards against a corrupt table row that crashes the process or exceeds the bounds.
func FuzzImport(f *testing.F) {
	row, _ := json.Marshal([]Hold{{Digest: 1, Until: time.Date(2040, 1, 1, 0, 0, 0, 0, time.UTC)}})
	f.Add(row)
	f.Add([]byte(`[{"Digest":-1}]`))
	f.Add([]byte(`{`))
	f.Fuzz(func(t *testing.T, value []byte) {
		ho, _ := newHolds(WithCap(8))
		_ = ho.Import(value)
		digests, _ := ho.Len()
		assert.LessOrEqual(t, digests, 8)
		_, err := ho.Export()
		assert.NoError(t, err)
	})
}
