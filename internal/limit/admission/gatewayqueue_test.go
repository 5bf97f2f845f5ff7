package admission

import (
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/limit/workspaceshare"
	"github.com/citronstream/citronstream/internal/stage/order"
)

// sharedQueue is the queue of a stage.
type sharedQueue struct {
	pa     *sharedPattern
	stage  int
	began  time.Time
	jobs   []*sharedJob
	shares *workspaceshare.Shares
	rates  [citronstream.Ranks]float64
	free   []time.Time
	done   []time.Time // of pieces, newest last
	idleAt time.Time   // when nothing waited last
	ends   []sharedEnd
}

type sharedEnd struct {
	at     time.Time
	jb     *sharedJob
	pieces int
}

// rate is the throughput that the owner measures.
func (qu *sharedQueue) rate(now time.Time) float64 {
	for len(qu.done) > 0 && now.Sub(qu.done[0]) > rateWindow {
		qu.done = qu.done[1:]
	}
	ideal := qu.pa.capacity(qu.stage, now.Sub(qu.began))
	if now.Sub(qu.idleAt) < rateWindow || len(qu.done) == 0 {
		return ideal
	}
	return min(ideal, float64(len(qu.done))/rateWindow.Seconds())
}

// load returns the load at this moment.
func (qu *sharedQueue) load(now time.Time) citronstream.QueueLoad {
	load := citronstream.QueueLoad{Rate: qu.rate(now), Arrivals: qu.rates}
	for _, jb := range qu.jobs {
		if jb.Late(now) {
			load.Late += jb.Length
		} else {
			load.Add(jb.RouteRank, jb.Due.Sub(now), jb.Length)
		}
	}
	return load
}

// run starts batches at the upstreams that are free.
func (qu *sharedQueue) run(now time.Time) {
	planned := false
	sp := qu.pa.spec(qu.stage)
	for i := range qu.free {
		if len(qu.jobs) == 0 {
			qu.idleAt = now
			return
		}
		if qu.free[i].After(now) {
			continue
		}
		if !planned {
			order.Plan(qu.jobs, func(jb *sharedJob) *order.Priority { return &jb.Priority }, qu.rate(now), now)
			planned = true
		}
		count, began := 0, len(qu.ends)
		for count < sp.items && len(qu.jobs) > 0 {
			jb := qu.jobs[0]
			run := min(sp.items-count, jb.Length)
			qu.shares.Begin(workspaceshare.Kind{Rank: jb.Rank}, jb.Tag)
			count, jb.Length, jb.running, jb.Begun = count+run, jb.Length-run, jb.running+run, true
			qu.ends = append(qu.ends, sharedEnd{jb: jb, pieces: run})
			if jb.Length == 0 {
				qu.jobs = qu.jobs[1:]
			}
		}
		qu.free[i] = now.Add(time.Duration(float64(sp.batch(count)) * qu.pa.pace(qu.stage, i, now.Sub(qu.began))))
		for j := began; j < len(qu.ends); j++ {
			qu.ends[j].at = qu.free[i]
		}
	}
}
