package owner

import (
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/stretchr/testify/assert"
)

// slowed submits a job and lets the upstream of its batch say a pace after 100 ms.
func (hs *harness) slowed(pace float64, change func(jo *citronstream.Job)) (chan citronstream.JobResult, sentBatch) {
	result := hs.submit(newJob("1", 2, func(jo *citronstream.Job) {
		jo.Slack = 200 * time.Millisecond
		if change != nil {
			change(jo)
		}
	}))
	se := hs.batch()
	hs.clk.Advance(100 * time.Millisecond)
	se.nd.ObserveLoad(citronstream.ServerLoad{Running: 1, Slots: 1, Pace: pace}, hs.clk.Now())
	return result, se
}

func uneven2(id string) *node.Node { return node.New(citronstream.Member{ID: id, Service: "s"}) }

// Guards against a request that is late because its batch stays at an upstream that has
// turned slow, while another one is free, and against one whose slow batch is cut: its
// upstream goes on with it and would run the next batch only then.
func TestBatchIsRescued(t *testing.T) {
	hs := newHarness(t, uneven2("a"), uneven2("b"))
	result, first := hs.slowed(4, nil)
	hs.Tick()
	second := hs.batch()
	assert.NotEqual(t, first.nd.ID, second.nd.ID)
	handles := hs.finish(second)
	assert.Equal(t, handles, hs.result(result).Handles)
	assert.Equal(t, uint64(2), hs.Counts().Rescued)
	assert.Equal(t, 98, hs.bu.left)
	hs.submit(newJob("2", 1, nil))
	third := hs.batch()
	assert.Equal(t, second.nd.ID, third.nd.ID) // the slow one still runs its batch
	late := hs.finish(first)
	assert.Eventually(t, func() bool { return len(hs.fa.releases()) == len(late) }, 5*time.Second, time.Millisecond)
	assert.ElementsMatch(t, late, hs.fa.releases())
}

// Guards against work that is done twice for nothing.
func TestBatchIsNotRescued(t *testing.T) {
	stays := func(name string, pace float64, change func(hs *harness), job func(jo *citronstream.Job)) {
		t.Run(name, func(t *testing.T) {
			hs := newHarness(t, uneven2("a"), uneven2("b"))
			if change != nil {
				change(hs)
			}
			hs.slowed(pace, job)
			hs.Tick()
			hs.noBatch()
			assert.Zero(t, hs.Counts().Rescued)
		})
	}
	stays("as usual", 1, nil, nil)
	stays("in time all the same", 4, nil, func(jo *citronstream.Job) { jo.Slack = 5 * time.Second })
	stays("late elsewhere too", 4, nil, func(jo *citronstream.Job) { jo.Slack = 0 })
	stays("no retry left", 4, func(hs *harness) { hs.bu.left = 1 }, nil)
	stays("no other upstream", 4, func(hs *harness) { hs.Replace([]*node.Node{hs.list[0].Node}) }, nil)
	stays("the other one is slow too", 4, func(hs *harness) {
		for _, sv := range hs.list {
			sv.ObserveLoad(citronstream.ServerLoad{Slots: 1, Pace: 4}, hs.clk.Now().Add(100*time.Millisecond))
		}
	}, nil)
}
