package poison

import (
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/stretchr/testify/assert"
)

// Guards against content that crashes two more upstreams at each process that starts.
func TestPeerTellsHolds(t *testing.T) {
	peer, _ := newHeld(t)
	peer.Died("up-3", []uint64{7, 8})
	ho, clk := newHolds(WithLearning())
	assert.False(t, ho.Knows())
	assert.Equal(t, []uint64{poison}, ho.ImportSuspects(peer.ExportSuspects(), true))
	assert.True(t, ho.Knows())
	<-ho.Learned()
	assertHeld(t, ho, poison, true)
	assertHeld(t, ho, 7, false)
	assert.Equal(t, []uint64{7}, ho.Died("up-4", []uint64{7, 100}), "a suspect of its peers")
	assert.Empty(t, ho.ImportSuspects(peer.ExportSuspects(), true), "told again")
	clk.Advance(citronstream.DefaultLimits().HoldFor.Std())
	assertHeld(t, ho, poison, false)
	assert.True(t, ho.Suspect(poison))
}

// Guards against a death that a peer has counted already and that is reported late: its
// content would be held after one death.
func TestLateReportOfADeathThatAPeerKnows(t *testing.T) {
	re := Report{ID: "up-1/1/0", Upstream: "up-1", Running: []uint64{7}}
	peer, clk := newHolds()
	re.At = clk.Now()
	peer.Merge(re)
	ho, clk := newHolds(WithLearning())
	ho.ImportSuspects(peer.ExportSuspects(), true)
	clk.Advance(100 * time.Millisecond)
	re.At, re.Age = clk.Now(), 200*time.Millisecond
	assert.Empty(t, ho.Merge(re))
	assertHeld(t, ho, 7, false)
}

// Guards against content that crashes one more upstream, as a death is not counted because
// peers have told something else, or a suspect that is known here, since.
func TestLateReportOfADeathThatPeersDoNotKnow(t *testing.T) {
	for name, told := range map[string][]citronstream.SuspectContent{
		"prompt parts only": nil, "another one": {{Digest: 8}}, "known here": {{Digest: 7}},
	} {
		t.Run(name, func(t *testing.T) {
			ho, clk := newHolds()
			ho.Died("up-1", []uint64{7})
			clk.Advance(time.Second)
			ho.ImportSuspects(told, true)
			clk.Advance(100 * time.Millisecond)
			re := Report{ID: "up-2/1/0", Upstream: "up-2", At: clk.Now(), Running: []uint64{7}, Age: 200 * time.Millisecond}
			assert.Equal(t, []uint64{7}, ho.Merge(re))
		})
	}
}

// Guards against content that crashes a second upstream at a process that can't know of the
// first: all were killed.
func TestLearning(t *testing.T) {
	death := func(id string, running ...uint64) Report {
		return Report{ID: id, Upstream: id, Running: running}
	}
	start := func(t *testing.T, reports ...Report) *Holds {
		ho, clk := newHolds(WithLearning())
		for _, re := range reports {
			re.At = clk.Now()
			ho.Merge(re)
			assert.True(t, ho.Unsettled(re.Running[0]))
			assert.Empty(t, ho.Tick(), "others have not reported yet")
			clk.Advance(settleTime / 4)
		}
		clk.Advance(settleTime)
		ho.Tick()
		return ho
	}
	t.Run("alone", func(t *testing.T) {
		ho := start(t, death("up-1", 7))
		assertHeld(t, ho, 7, true)
		assert.False(t, ho.Unsettled(7))
		_, held := ho.Counts()
		assert.Equal(t, 1, held)
	})
	t.Run("others report more", func(t *testing.T) {
		ho := start(t, death("up-1", 7), death("up-1", 8))
		assertHeld(t, ho, 7, false)
		assertHeld(t, ho, 8, false)
		assert.True(t, ho.Suspect(7))
	})
	t.Run("a peer knows meanwhile", func(t *testing.T) {
		ho, clk := newHolds(WithLearning())
		re := death("up-1", 7)
		re.At = clk.Now()
		ho.Merge(re)
		ho.ImportSuspects(nil, true)
		clk.Advance(settleTime)
		assert.Empty(t, ho.Tick())
		assertHeld(t, ho, 7, false)
	})
	t.Run("a peer knows nothing either", func(t *testing.T) {
		ho, _ := newHolds(WithLearning())
		ho.ImportSuspects(nil, false)
		assert.False(t, ho.Knows())
	})
	t.Run("first start", func(t *testing.T) {
		ho, _ := newHolds(WithLearning())
		ho.FirstStart()
		assert.True(t, ho.Knows())
		ho.ImportSuspects(nil, true) // does not close the channel again
	})
	t.Run("it has run since the start", func(t *testing.T) {
		ho, clk := newHolds(WithLearning(), WithCap(2))
		for digest := range uint64(10) {
			ho.Finished(digest)
		}
		assert.LessOrEqual(t, len(ho.sound), 2)
		re := death("up-1", 0)
		re.At = clk.Now()
		ho.Merge(re)
		clk.Advance(settleTime)
		assert.Empty(t, ho.Tick())
		clk.Advance(learnTime)
		ho.Finished(1)
		assert.False(t, ho.learning.Load())
		assert.Empty(t, ho.sound)
	})
	t.Run("after a minute", func(t *testing.T) {
		ho, clk := newHolds(WithLearning())
		clk.Advance(learnTime)
		assert.True(t, ho.Knows())
		assert.Empty(t, ho.Died("up-1", []uint64{7}))
		assert.False(t, ho.Unsettled(7))
	})
}
