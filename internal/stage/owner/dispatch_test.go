package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/stretchr/testify/assert"
)

// Jobs for the upstream's zone come a little ahead of others, and otherwise all
// jobs come in the order of the time they are due.
func TestOrderByZone(t *testing.T) {
	be := newBench(t, upstream("a", "z1"))
	be.submit(work("0", 4, nil))
	for i, due := range []int{40, 0, 90, 20, 130, 55} {
		be.submit(work(fmt.Sprint(due), 1, func(jo *citronstream.Job) {
			jo.Slack = time.Second + time.Duration(due)*time.Millisecond
			jo.Zone = []string{"z2", "z1"}[i%2]
		}))
	}
	be.done(be.batch())
	assert.Equal(t, []string{"0", "20", "55", "40"}, ids(be.batch()))
}

// Results are taken to be larger after one found no room, and of their
// configured size again after many that did.
func TestAssumedSizeShrinks(t *testing.T) {
	be := newBench(t, upstream("a", ""))
	for range 5 {
		be.submit(work("0", 1, nil))
		be.batch().end <- ended{results: []citronstream.ItemResult{{Fault: citronstream.ItemNoMemory}}}
		be.done(be.batch())
	}
	be.mu.Lock()
	grown := be.size
	be.mu.Unlock()
	assert.Greater(t, grown, 1.05)
	for range 120 {
		be.submit(work("0", 1, nil))
		handles := be.done(be.batch())
		be.Release(handles, func(string) *node.Node { return be.list[0].Node })
		be.clk.Advance(spec.ResultLife)
		be.Tick()
	}
	be.mu.Lock()
	defer be.mu.Unlock()
	assert.Equal(t, 1.0, be.size)
}

// BenchmarkSubmit measures what a job costs that comes to a long queue whose
// upstreams are all busy.
func BenchmarkSubmit(b *testing.B) {
	var nodes []*node.Node
	for i := range 17 {
		nodes = append(nodes, upstream(fmt.Sprint("u", i), fmt.Sprint("z", i%4)))
	}
	be := newBench(b, nodes...)
	for i := range 17 + 800 {
		be.Submit(work(fmt.Sprint(i), 4, func(jo *citronstream.Job) { jo.Zone = "z1" }), func(citronstream.JobResult) {}, nil)
	}
	for i := 0; b.Loop(); i++ {
		jo := work(fmt.Sprint("b", i), 4, nil)
		be.Submit(jo, func(citronstream.JobResult) {}, nil)
		be.Cancel(citronstream.JobKey{ID: jo.ID, Service: "s"})
	}
}
