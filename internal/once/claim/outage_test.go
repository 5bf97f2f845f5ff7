package claim_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/once/claim"
	"github.com/citronstream/citronstream/internal/once/grant"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// outage sends one new key a second during an hour without the table and returns
// the share that was answered. With kill, one of the three owners is killed
// half-way and its successor binds the same address.
func outage(t *testing.T, kill bool) (share float64, fl *fleet) {
	fl = newFleet(clockwork.NewRealClock(), 2)
	for _, id := range []string{"a", "b", "c"} {
		fl.start(id, "")
	}
	fl.clk.Sleep(2 * time.Minute)
	fl.table.SetDown(true)
	served, sent := 0, 3600
	owners := make(map[string]*agent)
	var keys []string
	for i := range sent {
		if kill && i == sent/2 {
			fl.agents["a"].kill()
			fl.start("a", fl.agents["a"].set.Address)
		}
		key := keyAt(fl.clk.Now(), i)
		keys = append(keys, key)
		if ag := fl.owner(key); ag != nil {
			owners[key] = ag
			if _, err := fl.call(context.Background(), i%2, ag, key); err == nil {
				served++
			}
		}
		fl.clk.Sleep(time.Second)
	}
	fl.table.SetDown(false)
	fl.clk.Sleep(3 * time.Minute)
	replayed := 0
	for _, key := range keys {
		ag := fl.owner(key)
		require.NotNil(t, ag)
		if ans, err := fl.call(context.Background(), 0, ag, key); err == nil && ans.Replayed {
			replayed++
		}
	}
	fl.close()
	assert.Empty(t, fl.faults)
	assert.Equal(t, served, replayed, "each answered key must be replayed after the outage")
	return float64(served) / float64(sent), fl
}

// TestOutage guards against refusals of calls that could run on a grant, and
// against the loss of answers after the outage.
func TestOutage(t *testing.T) {
	t.Run("all owners alive", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			share, fl := outage(t, false)
			t.Logf("share served %.4f, offline runs %d", share, fl.agents["a"].cl.Counts().Offline)
			assert.Equal(t, 1.0, share)
		})
	})
	t.Run("one of three owners killed half way", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			share, _ := outage(t, true)
			t.Logf("share served %.4f", share)
			// A third of the slots has no owner for half of the hour.
			assert.InDelta(t, 1-1.0/6, share, 0.03)
		})
	})
}

// TestCap guards against an unlimited number of unflushed keys: at the limit, a
// new key is refused and does not run.
func TestCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(clockwork.NewRealClock(), 1, claim.WithCap(3))
		ag := fl.start("a", "")
		fl.clk.Sleep(time.Minute)
		fl.table.SetDown(true)
		for i := range 3 {
			_, err := fl.call(t.Context(), 0, ag, keyAt(fl.clk.Now(), i))
			require.NoError(t, err)
		}
		_, err := fl.call(t.Context(), 0, ag, keyAt(fl.clk.Now(), 3))
		assert.ErrorContains(t, err, "limit: ")
		assert.ErrorContains(t, err, "(NotRun)")
		assert.Equal(t, 3, ag.cl.Counts().Unflushed)
		assert.Equal(t, 3, fl.trackers[0].Counts().Keys)
		fl.table.SetDown(false)
		fl.clk.Sleep(30 * time.Second)
		assert.Zero(t, ag.cl.Counts().Unflushed)
		assert.Zero(t, fl.trackers[0].Counts().Keys)
		fl.close()
	})
}

// TestCapOfBytes guards against unflushed keys that take more memory than the
// agent has: at the limit, a new key is refused and does not run, and the
// counted bytes are released when the keys are recorded.
func TestCapOfBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxBytes = 100_000
		fl := newFleet(clockwork.NewRealClock(), 1, claim.WithBytes(maxBytes))
		ag := fl.start("a", "")
		fl.clk.Sleep(time.Minute)
		fl.table.SetDown(true)
		serial, ran := 0, 0
		do := func(answer int) error {
			serial++
			rq := claim.Request{Workspace: "w", Key: keyAt(fl.clk.Now(), serial), KeyGiven: true, Digest: 1, Sent: fl.clk.Now()}
			_, err := ag.cl.Do(t.Context(), rq, func(context.Context) (claim.Answer, error) {
				ran++
				return claim.Answer{Status: 200, Body: make([]byte, answer)}, nil
			})
			return err
		}
		served := 0
		for served < 100 && do(9_000) == nil {
			served++
		}
		// The last answer may exceed the limit, as its size is not known in advance.
		assert.Equal(t, 11, served)
		assert.Equal(t, served, ran, "a refused key must not run")
		err := do(0)
		assert.ErrorContains(t, err, "limit: ")
		assert.ErrorContains(t, err, "(NotRun)")
		co := ag.cl.Counts()
		assert.Equal(t, uint64(2), co.Refused)
		assert.Equal(t, served, co.Unflushed)
		assert.InDelta(t, maxBytes, co.Bytes, 9_000+1_000)
		fl.table.SetDown(false)
		fl.clk.Sleep(30 * time.Second)
		assert.Zero(t, ag.cl.Counts().Bytes)
		assert.Zero(t, ag.cl.Counts().Unflushed)
		require.NoError(t, do(9_000))
		fl.clk.Sleep(time.Second)
		assert.Zero(t, ag.cl.Counts().Bytes, "bytes of a recorded key must be released")
		fl.close()
	})
}

// TestBytesOfRefusals guards against bytes that stay counted for calls that did
// not run, with and without a row in the table.
func TestBytesOfRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(clockwork.NewRealClock(), 1)
		ag := fl.start("a", "")
		fl.clk.Sleep(time.Minute)
		notRun := func(context.Context) (claim.Answer, error) {
			return claim.Answer{}, citronstream.NewFault(citronstream.NotRun, citronstream.CodeOverloaded, "full")
		}
		for i, down := range []bool{false, true} {
			fl.table.SetDown(down)
			for j := range 20 {
				rq := claim.Request{Workspace: "w", Key: keyAt(fl.clk.Now(), 100*i+j), KeyGiven: true, Digest: 1, Sent: fl.clk.Now()}
				_, err := ag.cl.Do(t.Context(), rq, notRun)
				require.Error(t, err)
			}
		}
		fl.table.SetDown(false)
		fl.clk.Sleep(30 * time.Second)
		assert.Zero(t, ag.cl.Counts().Bytes)
		assert.Zero(t, ag.cl.Counts().Pending)
		fl.close()
	})
}

// TestAnswers guards against the loss of a large answer on a restart, and against
// the reuse of a key with different content.
func TestAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(clockwork.NewRealClock(), 1)
		ag := fl.start("a", "")
		fl.clk.Sleep(time.Minute)
		large := make([]byte, 100<<10)
		rq := claim.Request{Workspace: "w", Key: "k", KeyGiven: true, Digest: 1, Sent: fl.clk.Now()}
		run := func(context.Context) (claim.Answer, error) { return claim.Answer{Status: 200, Body: large}, nil }
		_, err := ag.cl.Do(t.Context(), rq, run)
		require.NoError(t, err)
		rq.Digest = 2
		_, err = ag.cl.Do(t.Context(), rq, run)
		assert.ErrorContains(t, err, "key-reuse")
		fl.clk.Sleep(time.Second)
		ag.kill()
		ag = fl.start("a", ag.set.Address)
		fl.clk.Sleep(time.Minute)
		rq.Digest = 1
		ans, err := ag.cl.Do(t.Context(), rq, run)
		require.NoError(t, err)
		assert.True(t, ans.Replayed)
		assert.Len(t, ans.Body, len(large))
		fl.close()
	})
}

// TestPausedOwner guards against a claim by an owner that was paused while its
// slots were taken over: the epoch condition must refuse it, although the
// successor's run on its grant has no row yet.
func TestPausedOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(clockwork.NewRealClock(), 2)
		a := fl.start("a", "")
		fl.clk.Sleep(time.Minute)
		b := fl.start("b", "")
		fl.clk.Sleep(time.Minute)
		a.pause()
		fl.clk.Sleep(93 * time.Minute)
		key := keyAt(fl.clk.Now(), 0)
		for i := 1; a.gr.OwnedSlot(grant.SlotOf("w", key)) == nil; i++ {
			key = keyAt(fl.clk.Now(), i) // until the key is in a slot that the paused owner still considers its own
		}
		require.NotNil(t, b.gr.OwnedSlot(grant.SlotOf("w", key)))
		fl.trackers = append(fl.trackers, fl.newTracker()) // an entry that has not refused the old epoch
		fl.calls.Go(func() { _, _ = fl.call(context.Background(), 2, a, key) })
		synctest.Wait()
		fl.table.SetDown(true)
		_, err := fl.call(t.Context(), 1, b, key)
		require.NoError(t, err)
		fl.table.SetDown(false)
		a.resume()
		fl.clk.Sleep(time.Minute)
		assert.Empty(t, fl.faults)
		assert.Equal(t, uint64(1), a.cl.Counts().Fenced)
		fl.close()
	})
}
