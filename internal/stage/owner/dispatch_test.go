package owner

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/stretchr/testify/assert"
)

// Jobs for the upstream's zone come up to zoneDelay ahead of others; otherwise
// all jobs come in the order of their due times.
func TestOrderByZone(t *testing.T) {
	hs := newHarness(t, upstream("a", "z1"))
	hs.submit(newJob("0", 4, nil))
	for i, due := range []int{40, 0, 90, 20, 130, 55} {
		hs.submit(newJob(fmt.Sprint(due), 1, func(jo *citronstream.Job) {
			jo.Slack = time.Second + time.Duration(due)*time.Millisecond
			jo.Zone = []string{"z2", "z1"}[i%2]
		}))
	}
	hs.finish(hs.batch())
	assert.Equal(t, []string{"0", "20", "55", "40"}, ids(hs.batch()))
}

// Results are assumed to be larger after one found no memory, and of their
// configured size again after many that did. In a bubble, so that a wait ends only when
// all goroutines are blocked, however late the system runs them.
func TestAssumedSizeShrinks(t *testing.T) { synctest.Test(t, assertAssumedSizeShrinks) }

func assertAssumedSizeShrinks(t *testing.T) {
	hs := newHarness(t, upstream("a", ""))
	// end ends a batch and waits for its job, so that the next job finds the upstream
	// free and the clock is not moved while the batch seems to run.
	end := func(se sentBatch, done chan citronstream.JobResult) {
		handles := hs.finish(se)
		assert.Equal(t, handles, hs.result(done).Handles)
		hs.Release(handles, 0, func(string) *node.Node { return hs.list[0].Node })
		hs.clk.Advance(spec.ResultLife + time.Millisecond) // also drops what is not released yet
		hs.Tick()
	}
	for range 5 {
		done := hs.submit(newJob("0", 1, nil))
		hs.batch().end <- batchEnd{results: []citronstream.ItemResult{{Fault: citronstream.ItemNoMemory}}}
		end(hs.batch(), done)
	}
	hs.mu.Lock()
	grown := hs.sizeFactor
	hs.mu.Unlock()
	assert.Greater(t, grown, 1.05)
	for range 120 {
		done := hs.submit(newJob("0", 1, nil))
		end(hs.batch(), done)
	}
	hs.mu.Lock()
	defer hs.mu.Unlock()
	assert.Equal(t, 1.0, hs.sizeFactor)
}

// BenchmarkSubmit measures the cost of submitting a job to a long queue whose
// upstreams are all busy.
func BenchmarkSubmit(b *testing.B) {
	var nodes []*node.Node
	for i := range 17 {
		nodes = append(nodes, upstream(fmt.Sprint("u", i), fmt.Sprint("z", i%4)))
	}
	hs := newHarness(b, nodes...)
	for i := range 17 + 800 {
		hs.Submit(newJob(fmt.Sprint(i), 4, func(jo *citronstream.Job) { jo.Zone = "z1" }), func(citronstream.JobResult) {}, nil)
	}
	for i := 0; b.Loop(); i++ {
		jo := newJob(fmt.Sprint("b", i), 4, nil)
		hs.Submit(jo, func(citronstream.JobResult) {}, nil)
		hs.Cancel(citronstream.JobKey{ID: jo.ID, Service: "s"}, "")
	}
}

// BenchmarkDispatch measures the choice of a batch among a long queue whose jobs belong to
// a zone that is busy, while other upstreams are free.
func BenchmarkDispatch(b *testing.B) {
	var nodes []*node.Node
	for i := range 17 {
		nodes = append(nodes, upstream(fmt.Sprint("u", i), fmt.Sprint("z", i%4)))
	}
	hs := newHarness(b, nodes...)
	for i := range 800 {
		hs.Submit(newJob(fmt.Sprint(i), 4, func(jo *citronstream.Job) { jo.Zone, jo.CrossZoneBytes, jo.Slack = "z1", 1<<20, time.Minute }), func(citronstream.JobResult) {}, nil)
	}
	now := hs.clk.Now()
	for _, sv := range hs.list {
		sv.ObserveLoad(citronstream.ServerLoad{Slots: 1, Pace: 1.2}, now)
	}
	hs.mu.Lock()
	defer hs.mu.Unlock()
	for b.Loop() {
		hs.dispatch()
	}
}
