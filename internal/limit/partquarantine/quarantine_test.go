package partquarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Parts of the tests: all requests have the common one.
const (
	common  = uint64(1)
	culprit = uint64(99)
	rare    = uint64(7)
)

func newQuarantine(opts ...Option) (*Quarantine, *clockwork.FakeClock) {
	clk := clockwork.NewFakeClock()
	return New(clk, citronstream.DefaultLimits(), opts...), clk
}

func shared(parts ...uint64) (list []citronstream.PromptPart) {
	for _, part := range parts {
		list = append(list, citronstream.PromptPart{ID: part, Tokens: 10})
	}
	return list
}

func suspect(digest uint64, sent time.Duration, parts ...uint64) citronstream.SuspectRequest {
	return citronstream.SuspectRequest{Digest: digest, Sent: sent, Parts: parts}
}

func report(death string, requests ...citronstream.SuspectRequest) Report {
	return Report{Death: death, Upstream: "up", Source: "front", Requests: requests}
}

// crashes applies deaths two seconds apart, each with another request that has the parts.
func crashes(qu *Quarantine, clk *clockwork.FakeClock, count int, parts ...uint64) {
	for i := range count {
		clk.Advance(2 * time.Second)
		qu.Crashed(report(fmt.Sprintf("%x-%d", parts, i), suspect(uint64(1000+i), time.Second, parts...)))
	}
	settle(qu, clk)
}

func settle(qu *Quarantine, clk *clockwork.FakeClock) {
	clk.Advance(settleTime)
	qu.Tick()
}

func runSoundly(t assert.TestingT, qu *Quarantine, parts ...uint64) {
	vi, refusal := qu.Enter(shared(parts...))
	if assert.Nil(t, refusal) {
		assert.Nil(t, vi.Send())
		vi.Finished("u", true)
	}
}

func assertHeld(t assert.TestingT, qu *Quarantine, part uint64, want bool) {
	vi, refusal := qu.Enter(shared(part))
	vi.Leave()
	assert.Equal(t, want, refusal != nil && refusal.Held, "part %d", part)
}

func TestHold(t *testing.T) {
	t.Run("three crashes", func(t *testing.T) {
		qu, clk := newQuarantine()
		crashes(qu, clk, 2, common, culprit)
		assertHeld(t, qu, culprit, false)
		clk.Advance(crashGap)
		runSoundly(t, qu, common)
		crashes(qu, clk, 1, common, culprit, 5)
		assertHeld(t, qu, culprit, true)
		assertHeld(t, qu, common, false)
	})
	// Guards against a hold of what all requests of a kind share.
	t.Run("of parts that crashed together the rarer one", func(t *testing.T) {
		qu, clk := newQuarantine()
		runSoundly(t, qu, common)
		crashes(qu, clk, 3, common, culprit)
		assertHeld(t, qu, culprit, true)
		assertHeld(t, qu, common, false)
	})
	// Guards against a culprit that goes free as another part was held for it.
	t.Run("the other one at the next crash", func(t *testing.T) {
		qu, clk := newQuarantine()
		crashes(qu, clk, 3, culprit, rare)
		assertHeld(t, qu, rare, true)
		assertHeld(t, qu, culprit, false)
		qu.Crashed(report("next", suspect(50, 0, culprit, 8)))
		settle(qu, clk)
		assertHeld(t, qu, culprit, true)
	})
	t.Run("a hold ends and leaves a suspect", func(t *testing.T) {
		qu, clk := newQuarantine()
		crashes(qu, clk, 3, culprit)
		clk.Advance(citronstream.DefaultLimits().HoldFor.Std())
		settle(qu, clk)
		assertHeld(t, qu, culprit, false)
		crashes(qu, clk, 1, culprit, 3)
		assertHeld(t, qu, culprit, true)
	})
}

// Crashes that may have one other cause count once.
func TestIndependentCrashes(t *testing.T) {
	// Guards against a hold of all parts of one request that is sent again and again.
	t.Run("crashes of one request", func(t *testing.T) {
		qu, clk := newQuarantine()
		for i := range 3 {
			clk.Advance(600 * time.Millisecond)
			qu.Crashed(report(fmt.Sprint("death", i), suspect(1, 0, culprit)))
		}
		settle(qu, clk)
		assertHeld(t, qu, culprit, false)
		clk.Advance(time.Second)
		qu.Crashed(report("fourth", suspect(1, 0, culprit)))
		settle(qu, clk)
		assertHeld(t, qu, culprit, true)
	})
	t.Run("one death with two reporters", func(t *testing.T) {
		qu, clk := newQuarantine()
		crashes(qu, clk, 2, culprit)
		for digest := range uint64(3) {
			qu.Crashed(report(fmt.Sprintf("%x-1", []uint64{culprit}), suspect(digest, 0, culprit)))
		}
		settle(qu, clk)
		assertHeld(t, qu, culprit, false)
	})
	// Guards against a hold when many upstreams are lost for another reason.
	t.Run("many deaths at one moment", func(t *testing.T) {
		qu, clk := newQuarantine()
		for i := range uint64(8) {
			clk.Advance(10 * time.Millisecond)
			qu.Crashed(report(fmt.Sprint("death", i), suspect(i, time.Second, common, 100+i)))
		}
		settle(qu, clk)
		suspects, held := qu.Counts()
		assert.Zero(t, held)
		assert.Equal(t, 9, suspects)
		runSoundly(t, qu, common)
	})
	// Guards against the same when their requests are sent again to others of them.
	t.Run("many deaths within a short time", func(t *testing.T) {
		qu, clk := newQuarantine()
		for i := range uint64(8) {
			clk.Advance(100 * time.Millisecond)
			qu.Crashed(report(fmt.Sprint("death", i), suspect(i, 0, common), suspect(i+1, 0, common)))
		}
		settle(qu, clk)
		assertHeld(t, qu, common, false)
	})
	// Guards against a hold of what all requests of a kind share when others of them were
	// sent after an earlier crash, so that more crashes count for it.
	for _, split := range []bool{false, true} {
		t.Run(fmt.Sprintf("crashes of requests that were all in flight, two reporters %v", split), func(t *testing.T) {
			qu, clk := newQuarantine()
			for i := range 3 {
				clk.Advance(700 * time.Millisecond)
				sent := time.Second + time.Duration(i)*500*time.Millisecond
				first := suspect(uint64(10+i), sent, common, culprit)
				second := suspect(uint64(20+i), 100*time.Millisecond, common, uint64(30+i))
				if death := fmt.Sprint("death", i); split {
					qu.Crashed(report(death, first))
					qu.Crashed(report(death, second))
				} else {
					qu.Crashed(report(death, first, second))
				}
			}
			settle(qu, clk)
			assertHeld(t, qu, common, false)
			assertHeld(t, qu, culprit, true)
			suspects, _ := qu.Counts()
			assert.Equal(t, 1, suspects, "the common part keeps the crashes of its requests")
		})
	}
}

// Guards against a hold of what all requests of a kind share at the first unrelated
// crash after the hold of the part that crashed upstreams.
func TestHoldExplainsCrashes(t *testing.T) {
	qu, clk := newQuarantine()
	runSoundly(t, qu, common)
	crashes(qu, clk, 3, common, culprit)
	assertHeld(t, qu, culprit, true)
	clk.Advance(crashGap)
	qu.Crashed(report("unrelated", suspect(50, 0, common, rare)))
	settle(qu, clk)
	assertHeld(t, qu, common, false)
	suspects, _ := qu.Counts()
	assert.Equal(t, 2, suspects)
}

func TestSoundRun(t *testing.T) {
	t.Run("ends a false hold", func(t *testing.T) {
		qu, clk := newQuarantine()
		vi, refusal := qu.Enter(shared(rare))
		require.Nil(t, refusal)
		require.Nil(t, vi.Send())
		crashes(qu, clk, 3, rare)
		assertHeld(t, qu, rare, true)
		vi.Finished("u", true)
		assertHeld(t, qu, rare, false)
		sound, _ := qu.TakeUnsent()
		assert.Equal(t, []citronstream.SoundPart{{Part: rare}}, sound)
	})
	t.Run("of a peer", func(t *testing.T) {
		qu, clk := newQuarantine()
		crashes(qu, clk, 3, rare)
		qu.MergeSound([]citronstream.SoundPart{{Part: rare, Age: time.Minute}}, "peer")
		assertHeld(t, qu, rare, true)
		qu.MergeSound([]citronstream.SoundPart{{Part: rare}}, "peer")
		assertHeld(t, qu, rare, false)
		sound, _ := qu.TakeUnsent()
		assert.Empty(t, sound, "it was told by the peer")
	})
	// Guards against a late report that makes a sound part a suspect again.
	t.Run("before the report of an earlier crash", func(t *testing.T) {
		qu, clk := newQuarantine()
		runSoundly(t, qu, rare)
		clk.Advance(time.Second)
		re := report("death", suspect(1, 3*time.Second, rare))
		re.Age = 2 * time.Second
		qu.Crashed(re)
		suspects, _ := qu.Counts()
		assert.Zero(t, suspects)
		sound, _ := qu.TakeUnsent()
		assert.Equal(t, []citronstream.SoundPart{{Part: rare, Age: time.Second}}, sound, "the reporter does not know of the run")
	})
	// Guards against parts that stay suspects though the crash is explained.
	t.Run("not needed by parts next to a held one", func(t *testing.T) {
		qu, clk := newQuarantine()
		for i := range uint64(3) {
			clk.Advance(2 * time.Second)
			qu.Crashed(report(fmt.Sprint("death", i), suspect(i, 0, culprit), suspect(10, 0, rare)))
		}
		settle(qu, clk)
		qu.Crashed(report("later", suspect(20, time.Second, culprit), suspect(21, 0, 5)))
		suspects, held := qu.Counts()
		assert.Equal(t, []int{0, 1}, []int{suspects, held})
		assertHeld(t, qu, culprit, true)
	})
}

func TestOneAtATime(t *testing.T) {
	qu, clk := newQuarantine()
	early, refusal := qu.Enter(shared(culprit))
	require.Nil(t, refusal)
	require.Nil(t, early.Send())
	late, refusal := qu.Enter(shared(culprit))
	require.Nil(t, refusal)
	crashes(qu, clk, 1, culprit)
	// Guards against crashes of several upstreams at once.
	t.Run("refused at the door and before the send", func(t *testing.T) {
		_, refusal := qu.Enter(shared(culprit))
		require.NotNil(t, refusal)
		assert.Equal(t, Refusal{Part: culprit, RetryAfter: busyRetryAfter}, *refusal)
		assert.NotNil(t, late.Send())
		assert.True(t, late.Apart())
	})
	t.Run("admitted when the other is back", func(t *testing.T) {
		early.Returned()
		assert.Nil(t, late.Send())
		late.Returned()
	})
	t.Run("a request is not sent again after the second crash", func(t *testing.T) {
		assert.Equal(t, []uint64{culprit}, late.Broke())
		assert.Nil(t, late.Send())
		late.Returned()
		qu.Crashed(report("second", suspect(2, 0, culprit)))
		assert.NotNil(t, late.Send())
		late.Leave()
		early.Leave()
	})
	// Guards against crashes that don't count.
	t.Run("tried again when another crash counts", func(t *testing.T) {
		_, refusal := qu.Enter(shared(culprit))
		assert.NotNil(t, refusal)
		clk.Advance(crashGap)
		vi, refusal := qu.Enter(shared(culprit))
		assert.Nil(t, refusal)
		vi.Leave()
	})
	// Guards against a part that all requests share and that is tried one at a time.
	t.Run("not limited after a sound run", func(t *testing.T) {
		runSoundly(t, qu, common)
		clk.Advance(time.Second)
		qu.Crashed(report("third", suspect(3, 0, common)))
		for range 3 {
			vi, refusal := qu.Enter(shared(common))
			assert.Nil(t, refusal)
			assert.False(t, vi.Apart())
			defer vi.Leave()
		}
	})
	assert.Empty(t, qu.sent)
}

func TestNewPeer(t *testing.T) {
	qu, clk := newQuarantine()
	crashes(qu, clk, 3, culprit)
	crashes(qu, clk, 1, rare)
	_, holds := qu.TakeUnsent()
	assert.Empty(t, holds, "no request of this entry was in flight")
	t.Run("learns holds and suspects", func(t *testing.T) {
		other, _ := newQuarantine()
		other.Import(qu.Export(), "peer")
		assertHeld(t, other, culprit, true)
		suspects, _ := other.Counts()
		assert.Equal(t, 1, suspects)
	})
	// Guards against a peer that holds parts which only came together with a held one.
	t.Run("learns what a hold explains", func(t *testing.T) {
		qu, clk := newQuarantine()
		crashes(qu, clk, 3, rare, culprit)
		other, otherClk := newQuarantine()
		other.Import(qu.Export(), "peer")
		settle(other, otherClk)
		assertHeld(t, other, culprit, true)
		assertHeld(t, other, rare, false)
	})
	t.Run("knows better", func(t *testing.T) {
		other, otherClk := newQuarantine()
		otherClk.Advance(clk.Since(otherClk.Now()))
		runSoundly(t, other, culprit, rare)
		other.Import(qu.Export(), "peer")
		assert.Equal(t, 0, len(other.records.byPart))
		sound, _ := other.TakeUnsent()
		qu.MergeSound(sound, "peer")
		assertHeld(t, qu, culprit, false)
	})
	t.Run("is told of a hold by the entry that saw a crash", func(t *testing.T) {
		own, clk := newQuarantine()
		for i := range uint64(3) {
			clk.Advance(time.Second)
			re := report(fmt.Sprint("death", i), suspect(i, 0, culprit))
			re.Own = i == 1
			own.Crashed(re)
		}
		settle(own, clk)
		_, holds := own.TakeUnsent()
		require.Len(t, holds, 1)
		other, _ := newQuarantine()
		other.Import(holds, "peer")
		assertHeld(t, other, culprit, true)
	})
}

// Guards against a table that grows without limit, and against a flood of suspects
// that evicts a hold.
func TestBounded(t *testing.T) {
	qu, clk := newQuarantine(WithCap(4))
	crashes(qu, clk, 3, culprit)
	for i := range uint64(3 * deathCap) {
		clk.Advance(time.Second)
		qu.Crashed(report(fmt.Sprint("death", i), suspect(i, 0, 1000+2*i, 1001+2*i)))
	}
	for part := range uint64(soundCap + 100) {
		runSoundly(t, qu, 1_000_000+part)
	}
	assert.Len(t, qu.records.byPart, 4)
	assert.Len(t, qu.sound.byKey, soundCap)
	assert.LessOrEqual(t, len(qu.explained.byKey), deathCap)
	assert.Empty(t, qu.admitted)
	_, held := qu.Counts()
	assert.Equal(t, 1, held)
	qu.MergeSound(make([]citronstream.SoundPart, 3*maxUnsent), "peer")
	qu.Import(make([]citronstream.SuspectPart, 3*maxRecords), "peer")
	assert.LessOrEqual(t, len(qu.records.byPart), 4)
}

// Guards against a part that the first event of an answer clears, and against sound requests
// that are refused or not sent again as the upstream of many streams has crashed.
func TestFirstEventProvesNothing(t *testing.T) {
	begin := func(t *testing.T, qu *Quarantine, parts ...uint64) *Visit {
		t.Helper()
		vi, refusal := qu.Enter(shared(parts...))
		require.Nil(t, refusal)
		require.Nil(t, vi.Send())
		vi.Began()
		return vi
	}
	t.Run("of the crash that comes after it", func(t *testing.T) {
		qu, clk := newQuarantine()
		for i := range uint64(3) {
			runSoundly(t, qu, common)
			vi := begin(t, qu, common, culprit)
			assert.Equal(t, []uint64{common, culprit}, vi.Broke())
			qu.Crashed(report(fmt.Sprint("death", i), suspect(i, 0, common, culprit)))
			vi.Returned()
			vi.Leave()
			clk.Advance(2 * crashGap)
		}
		settle(qu, clk)
		assertHeld(t, qu, culprit, true)
	})
	t.Run("streams go on elsewhere after one crash", func(t *testing.T) {
		qu, _ := newQuarantine()
		one, other := begin(t, qu, rare), begin(t, qu, rare)
		assert.Equal(t, []uint64{rare}, one.Broke())
		assert.Equal(t, []uint64{rare}, other.Broke())
		qu.Crashed(report("death", suspect(1, 0, rare), suspect(2, 0, rare)))
		for _, vi := range []*Visit{one, other} {
			assert.Nil(t, vi.Send())
			assert.False(t, vi.Apart())
			vi.Began()
		}
		vi, refusal := qu.Enter(shared(rare))
		assert.Nil(t, refusal, "the others have begun")
		vi.Leave()
		one.Finished("u", true)
		suspects, _ := qu.Counts()
		assert.Zero(t, suspects)
		other.Leave()
	})
	t.Run("one at a time before the crash that may get the part held", func(t *testing.T) {
		qu, clk := newQuarantine()
		crashes(qu, clk, 2, culprit)
		clk.Advance(crashGap)
		vi := begin(t, qu, culprit)
		_, refusal := qu.Enter(shared(culprit))
		assert.NotNil(t, refusal)
		vi.Broke()
		assert.NotNil(t, vi.Send(), "it has broken already")
		vi.Leave()
		vi, refusal = qu.Enter(shared(culprit))
		assert.Nil(t, refusal)
		vi.Leave()
		assert.Empty(t, qu.open)
	})
}

// Guards against a part that is no suspect at first, as it ran soundly just before it began to
// crash upstreams.
func TestSoundRunBeforeTheCrashes(t *testing.T) {
	qu, clk := newQuarantine()
	runSoundly(t, qu, common, culprit)
	for i := range uint64(3) {
		clk.Advance(crashGap)
		runSoundly(t, qu, common)
		vi, refusal := qu.Enter(shared(common, culprit))
		require.Nil(t, refusal)
		require.Nil(t, vi.Send())
		qu.Crashed(report(fmt.Sprint("death", i), suspect(i, 0, vi.Broke()...)))
		vi.Returned()
		vi.Leave()
	}
	settle(qu, clk)
	assertHeld(t, qu, culprit, true)
	assertHeld(t, qu, common, false)
}

// Guards against an answer without a told end that is taken for complete, and clears a part,
// though the end of its connection was that of the upstream.
func TestAnswerWithoutToldEnd(t *testing.T) {
	finish := func(t *testing.T) (*Quarantine, *clockwork.FakeClock) {
		t.Helper()
		qu, clk := newQuarantine()
		crashes(qu, clk, 1, culprit)
		clk.Advance(crashGap)
		vi, refusal := qu.Enter(shared(culprit))
		require.Nil(t, refusal)
		require.Nil(t, vi.Send())
		vi.Began()
		vi.Finished("u", false)
		return qu, clk
	}
	assertSuspects := func(t *testing.T, qu *Quarantine, clk *clockwork.FakeClock, want int) {
		t.Helper()
		clk.Advance(unframedDelay)
		qu.Tick()
		suspects, _ := qu.Counts()
		assert.Equal(t, want, suspects)
		assert.Empty(t, qu.unframed)
		assert.Empty(t, qu.open)
	}
	t.Run("its upstream goes on", func(t *testing.T) {
		qu, clk := finish(t)
		assertSuspects(t, qu, clk, 0)
	})
	t.Run("its upstream has died", func(t *testing.T) {
		qu, clk := finish(t)
		clk.Advance(100 * time.Millisecond)
		re := report("death of its upstream")
		re.Upstream = "u"
		qu.Crashed(re)
		assertSuspects(t, qu, clk, 1)
	})
}

// Guards against a part with several crashes that yields to the many parts of long prompts at
// another one.
func TestCulpritAmongManyParts(t *testing.T) {
	qu, clk := newQuarantine(WithCap(200))
	long := func(first uint64) (parts []uint64) {
		for part := range uint64(300) {
			parts = append(parts, first+part)
		}
		return parts
	}
	crashes(qu, clk, 2, culprit)
	clk.Advance(2 * crashGap)
	qu.Crashed(report("other", suspect(50, 0, long(1000)...)))
	clk.Advance(2 * crashGap)
	crashes(qu, clk, 1, culprit, 5)
	assertHeld(t, qu, culprit, true)
	assert.LessOrEqual(t, len(qu.records.byPart), 200)
}
