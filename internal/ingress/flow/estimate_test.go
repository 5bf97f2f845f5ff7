package flow

import (
	"sync"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/view"
	"github.com/stretchr/testify/assert"
)

// Stages that run side by side submit their jobs at the same time. Guards, under the race
// detector, against estimates that one reads while another one sets them.
func TestJobsOfTwoStages(t *testing.T) {
	rt := stalledRequest(t)
	rt.CallerRequest = &citronstream.CallerRequest{}
	rt.target = rt.end
	sg := &stages{rt: rt, list: []*stage{{number: 0}, {number: 1}}}
	var group sync.WaitGroup
	for _, st := range sg.list {
		group.Go(func() {
			for range 1000 {
				jo := sg.newJob(st, nil, nil)
				assert.Equal(t, time.Duration(0), jo.LaterStages-rt.fl.latencies.expected("r", 0))
			}
		})
	}
	group.Wait()
}

// Guards against a first stage that leaves its zone for small results that each piece of
// the next one fetches: the job of that one stays with them or fetches them all.
func TestCrossZoneBytes(t *testing.T) {
	rt := stalledRequest(t)
	rt.CallerRequest = &citronstream.CallerRequest{Pieces: []int{3, 4, 1}}
	rt.target = rt.end
	rt.route = &citronstream.Route{Stages: []citronstream.RouteStage{
		{Service: "a", Bytes: 10000}, {Service: "b", After: []int{0}, Bytes: 1000}, {Service: "c", Bytes: 500},
	}}
	rt.routes = &view.Routes{Routing: &citronstream.Routing{}}
	sg := newStages(rt)
	indexes := make([][]int, len(sg.list))
	for i, st := range sg.list {
		indexes[i] = allIndexes(st)
		st.pieces, st.spec.After = 0, nil // there are no queues and no zones of inputs here
	}
	for i, want := range []int{3 * 10000 * 4, 4 * 1000, 500} {
		assert.Equal(t, want, sg.newJob(sg.list[i], indexes[i], nil).CrossZoneBytes, i)
	}
}

// Guards against jobs of requests with a near target that the margin for delays makes late
// when they come, so that they run behind all less urgent ones.
func TestMarginOfANearTarget(t *testing.T) {
	rt := stalledRequest(t)
	rt.CallerRequest = &citronstream.CallerRequest{}
	batch := &citronstream.BatchSpec{Items: 8, CallTime: 240 * time.Millisecond, ItemTime: 14 * time.Millisecond}
	sg := &stages{rt: rt, list: []*stage{{batch: batch}}} // no pieces: there are no queues here
	margin := (batch.CallTime + 8*batch.ItemTime) / 2
	job := func(slack time.Duration) citronstream.Job {
		rt.target = rt.fl.clk.Now().Add(slack + rt.fl.latencies.expected("r", 0))
		return sg.newJob(sg.list[0], nil, nil)
	}
	near, far, late := job(margin/2), job(10*margin), job(-margin)
	assert.Positive(t, near.Slack)
	assert.Equal(t, near.Slack+near.Margin, 10*near.Slack)
	assert.Equal(t, margin, far.Margin)
	assert.Zero(t, late.Margin)
	for _, jo := range []citronstream.Job{near, far, late} {
		assert.Equal(t, margin+deviationMargin*rt.fl.latencies.deviation("r"), jo.Margin+jo.Early, "the start that is aimed at")
	}
}
