package admission

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/limit/servicefloor"
	"github.com/citronstream/citronstream/internal/limit/workspaceshare"
	"github.com/citronstream/citronstream/internal/stage/order"
	"github.com/jonboulle/clockwork"
)

// Load pattern: many gateways that decide on the backlog of three stages by loads that are up
// to 200 ms old. Arrivals come in waves by zone, out of phase, and in groups of three at one
// gateway; refused clients repeat once, if Retry-After is at most a third of their time left.
const (
	sharedGateways = 25
	sharedZones    = 3
	sharedStep     = 5 * time.Millisecond
	sharedSpan     = 30 * time.Second
	sharedTail     = 8 * time.Second // in which the last requests end
	sharedTell     = 200 * time.Millisecond
	sharedWave     = 15 * time.Second
	// sharedReach is how long after a refusal an immediate retry arrives.
	sharedReach = 20 * time.Millisecond
	// rateWindow is the time over which the owner measures the throughput.
	rateWindow = 1750 * time.Millisecond
	// queueLateWait is how long a late job stays in its queue (maxLateWait of stage/owner), at
	// least minQueueWait.
	queueLateWait = 2 * time.Second
	minQueueWait  = 500 * time.Millisecond
)

// sharedSpec describes the upstreams of a stage.
type sharedSpec struct {
	servers, items int
	item           time.Duration
}

const sharedCall = 240 * time.Millisecond

var sharedSpecs = [...]sharedSpec{{18, 8, 14 * time.Millisecond}, {15, 20, 14 * time.Millisecond}, {16, 26, 10 * time.Millisecond}}

const stageCount = len(sharedSpecs)

func (sp *sharedSpec) full() time.Duration { return sharedCall + time.Duration(sp.items)*sp.item }

func (sp *sharedSpec) batch(pieces int) time.Duration {
	return sharedCall + time.Duration(min(pieces, sp.items))*sp.item
}

// stageKind is a kind of request with some pieces in each stage.
type stageKind struct {
	kindOf
	pieces [stageCount]int
}

// sharedPattern is a replayed load.
type sharedPattern struct {
	kinds []stageKind
	// hot says that what a burst adds comes from workspace 0, of 16.
	hot bool
	// retries is how often a client repeats at once, whatever Retry-After says; 0 for one
	// that does as told.
	retries int
	// surge multiplies the arrivals of zone 0 between 8 s and 15 s.
	surge float64
	// outage says that no gateway lives between 8 s and 10 s; the clients come at its end.
	outage bool
	// speed is the factor by which the batches of an upstream take longer; nil for 1.
	speed func(stage, server int, at time.Duration) float64
	// usual is the mean of speed, which the offline schedule counts with; 0 for 1.
	usual float64
	// least is the least part of the offline schedule that is served.
	least float64
	// items is how many pieces a batch of the second stage may have, as memory bounds it;
	// 0 for all.
	items int
	// leaves is the part of the clients that disconnect half a second after they came.
	leaves float64
}

func (pa *sharedPattern) spec(stage int) sharedSpec {
	sp := sharedSpecs[stage]
	if stage == 1 && pa.items > 0 {
		sp.items = pa.items
	}
	return sp
}

// capacity is the throughput of the upstreams of a stage in pieces a second.
func (pa *sharedPattern) capacity(stage int, at time.Duration) (sum float64) {
	sp := pa.spec(stage)
	for i := range sp.servers {
		sum += float64(sp.items) / (sp.full().Seconds() * pa.pace(stage, i, at))
	}
	return sum
}

func (pa *sharedPattern) pace(stage, server int, at time.Duration) float64 {
	if pa.speed == nil {
		return 1
	}
	return pa.speed(stage, server, at)
}

// sharedCaller is a client's request.
type sharedCaller struct {
	stageKind
	workspace, zone int
	at              time.Time // of this attempt
	first           time.Time
	tries           int
	asTold          bool
	promised        bool // it has a place
	raised          bool
	leavesAt        time.Time // zero if it stays
}

func (sc *sharedCaller) queueRank() int {
	if sc.raised {
		return 0
	}
	return sc.rank
}

// unloaded is the time from the start of a stage to the end of the request if nothing waits.
func (sc *sharedCaller) unloaded(pa *sharedPattern, stage int) time.Duration {
	sum := sc.rest()
	for i := stage; i < stageCount; i++ {
		sp := pa.spec(i)
		sum += sp.batch(sc.pieces[i])
	}
	return sum
}

// sharedJob is the work of one stage of an admitted request.
type sharedJob struct {
	order.Priority
	*sharedCaller
	stage   int
	queued  time.Time
	running int
}

// sharedView is what a gateway knows of the queues.
type sharedView struct {
	loads [stageCount]citronstream.QueueLoad
	at    time.Time
	// admitted has the pieces that the gateway has admitted, by the time until which they
	// are expected in the queue.
	admitted [stageCount][]sharedOwn
}

type sharedOwn struct {
	admitted, reaches time.Time
	rank, pieces      int
	slack             time.Duration
}

// sharedOutcome counts what became of the requests.
type sharedOutcome struct {
	asked, inTime, late, refused, again, dropped [citronstream.Ranks]int
	hot, others                                  [2]int // asked, in time; of workspace 0 and the others
	refusedAfter                                 time.Duration
	returned, returnedServed                     int
	wasted                                       int // pieces computed for requests that were dropped later
	offline                                      int
}

func (so *sharedOutcome) add(ot *sharedOutcome) {
	for i := range so.asked {
		so.asked[i] += ot.asked[i]
		so.inTime[i] += ot.inTime[i]
		so.late[i] += ot.late[i]
		so.refused[i] += ot.refused[i]
		so.again[i] += ot.again[i]
		so.dropped[i] += ot.dropped[i]
	}
	for i := range so.hot {
		so.hot[i] += ot.hot[i]
		so.others[i] += ot.others[i]
	}
	so.refusedAfter += ot.refusedAfter
	so.returned += ot.returned
	so.returnedServed += ot.returnedServed
	so.wasted += ot.wasted
	so.offline += ot.offline
}

func sumOf(counts [citronstream.Ranks]int) (sum int) {
	for _, count := range counts {
		sum += count
	}
	return sum
}

// served is the part of the requests of a rank that was served in time.
func (so *sharedOutcome) served(rank int) float64 {
	return float64(so.inTime[rank]) / float64(max(1, so.asked[rank]))
}

func ratio(counts [2]int) float64 { return float64(counts[1]) / float64(max(1, counts[0])) }

func (so *sharedOutcome) share() float64 { return float64(sumOf(so.inTime)) / float64(so.offline) }

func (so *sharedOutcome) String() string {
	ended := max(1, sumOf(so.refused)+sumOf(so.dropped))
	return fmt.Sprintf("in time %d of %d (%.3f of %d offline) %v of %v, late %d %v, refused %d (again %d), after a wait %d, mean %v until refused, returned %d served %d, wasted %d, hot %.2f others %.2f",
		sumOf(so.inTime), sumOf(so.asked), so.share(), so.offline, so.inTime[:3], so.asked[:3], sumOf(so.late), so.late[:3], sumOf(so.refused), sumOf(so.again), sumOf(so.dropped),
		(so.refusedAfter / time.Duration(ended)).Round(time.Millisecond), so.returned, so.returnedServed, so.wasted, ratio(so.hot), ratio(so.others))
}

// sharedRule decides on a request by what its gateway knows.
type sharedRule struct {
	name string
	load func(si *sharedSite, vi *sharedView, stage int) citronstream.QueueLoad
	// reserve returns when a refused client should return; nil for the time of New.
	reserve func(si *sharedSite, sc *sharedCaller, loads *[stageCount]citronstream.QueueLoad) time.Duration
	// margin returns by how much the latest start of a job is earlier; nil for all of it.
	margin func(slack, margin time.Duration) time.Duration
	shares bool // workspaces have shares of the queues
	// coming counts the pieces that were admitted and have not reached their queue.
	coming func(si *sharedSite, vi *sharedView, stage int) []sharedOwn
	// late is the longest wait with which a request is admitted that misses its target; 0
	// for that of New.
	late time.Duration
}

// sharedSite is the replayed site.
type sharedSite struct {
	sharedPattern
	ru       sharedRule
	clk      *clockwork.FakeClock
	began    time.Time
	draw     *rand.Rand // of the decisions
	floor    *servicefloor.Floor
	arrivals []sharedCaller // by time
	back     []sharedCaller
	queues   [stageCount]*sharedQueue
	views    [sharedGateways]sharedView
	out      sharedOutcome
	// promises are the pieces of a stage for which a place is kept, and when.
	promises [stageCount][]sharedPromise
}

type sharedPromise struct {
	at           time.Time
	rank, pieces int
}

func replayShared(pa *sharedPattern, seed uint64, ru sharedRule) *sharedOutcome {
	clk := clockwork.NewFakeClock()
	si := &sharedSite{sharedPattern: *pa, ru: ru, clk: clk, began: clk.Now(), draw: rand.New(rand.NewPCG(seed, 8)), floor: servicefloor.New(clk)}
	for i := range si.queues {
		si.queues[i] = &sharedQueue{pa: &si.sharedPattern, stage: i, began: si.began, shares: workspaceshare.New(), free: make([]time.Time, pa.spec(i).servers), idleAt: si.began}
	}
	si.arrivals = arrivalsOf(pa, seed, si.began)
	si.out.offline = offline(pa, si.arrivals, si.began)
	for told := si.began; clk.Since(si.began) < sharedSpan+sharedTail; clk.Advance(sharedStep) {
		now := clk.Now()
		for len(si.arrivals) > 0 && !si.arrivals[0].at.After(now) {
			sc := si.arrivals[0]
			si.arrivals = si.arrivals[1:]
			si.ask(sc)
		}
		for len(si.back) > 0 && !si.back[0].at.After(now) {
			sc := si.back[0]
			si.back = si.back[1:]
			si.ask(sc)
		}
		for _, qu := range si.queues {
			si.end(qu)
			qu.run(now)
		}
		if clk.Since(told) >= sharedTell {
			told = now
			si.tell()
		}
	}
	return &si.out
}

// tell tells all gateways the loads.
func (si *sharedSite) tell() {
	now := si.clk.Now()
	var loads [stageCount]citronstream.QueueLoad
	for i, qu := range si.queues {
		loads[i] = qu.load(now)
	}
	for i := range si.views {
		vi := &si.views[i]
		vi.loads, vi.at = loads, now
		for stage := range vi.admitted {
			vi.admitted[stage] = slices.DeleteFunc(vi.admitted[stage], func(so sharedOwn) bool { return !so.reaches.After(now) })
		}
	}
}

func (si *sharedSite) ask(sc sharedCaller) {
	now := si.clk.Now()
	if sc.tries == 0 && sc.leavesAt.IsZero() {
		si.out.asked[sc.rank]++
		if sc.workspace == 0 {
			si.out.hot[0]++
		} else if sc.burst > 0 {
			si.out.others[0]++
		}
	}
	if sc.tries > 0 {
		si.out.returned++
	}
	if !sc.leavesAt.IsZero() && !now.Before(sc.leavesAt) {
		return
	}
	sc.raised = si.floor.Below(fmt.Sprint(sc.rank))
	vi := &si.views[sc.zone+sharedZones*si.draw.IntN((sharedGateways-sc.zone+sharedZones-1)/sharedZones)]
	target, left := sc.first.Add(sc.target).Sub(now), sc.first.Add(sc.left).Sub(now)
	needs := sc.unloaded(&si.sharedPattern, 0)
	slack, rank := target-needs, sc.queueRank()
	var loads [stageCount]citronstream.QueueLoad
	reach := time.Duration(0)
	var reachOf [stageCount]time.Duration
	for i := range loads {
		loads[i] = si.ru.load(si, vi, i)
		si.promises[i] = slices.DeleteFunc(si.promises[i], func(pr sharedPromise) bool { return pr.at.Before(now) })
		for _, pr := range si.promises[i] {
			loads[i].Add(pr.rank, pr.at.Sub(now), pr.pieces)
		}
		if si.ru.coming != nil {
			for _, so := range si.ru.coming(si, vi, i) {
				loads[i].Add(so.rank, so.slack-now.Sub(so.admitted), so.pieces)
			}
			reachOf[i] = reach
		}
		if sc.pieces[i] > 0 {
			wait := max(0, loads[i].WaitNew(slack, rank)-reachOf[i])
			needs += wait
			sp := si.spec(i)
			reach += wait + sp.batch(sc.pieces[i])
		}
	}
	rq := Request{Needs: needs, Target: target, Left: left}
	for i := range loads {
		if sc.pieces[i] > 0 {
			rq.Wait = max(rq.Wait, loads[i].WaitNew(target-needs, rank)-reachOf[i])
		}
	}
	if si.ru.late > 0 && rq.Needs > rq.Target && rq.Wait >= si.ru.late {
		rq.Wait = max(rq.Wait, maxLateWait)
	}
	if de := New(rq, si.draw.Float64()); !de.Admit && !(sc.asTold && sc.promised) {
		after := de.RetryAfter
		if si.ru.reserve != nil {
			after = si.ru.reserve(si, &sc, &loads)
		}
		si.refuse(sc, after)
		return
	}
	reaches := now
	for i := range loads {
		vi.admitted[i] = append(vi.admitted[i], sharedOwn{now, reaches, rank, sc.pieces[i], slack})
		sp := si.spec(i)
		reaches = reaches.Add(sp.batch(sc.pieces[i]))
	}
	si.join(&sc, 0)
}

// join adds the work of the next stage with pieces to its queue, or ends the request.
func (si *sharedSite) join(sc *sharedCaller, stage int) {
	now := si.clk.Now()
	for stage < stageCount && sc.pieces[stage] == 0 {
		stage++
	}
	if stage == stageCount {
		si.finish(sc)
		return
	}
	target, rank := sc.first.Add(sc.target).Sub(now), sc.queueRank()
	rest := sc.unloaded(&si.sharedPattern, stage)
	slack, margin := target-rest, time.Duration(0)
	for i := stage; i < stageCount; i++ {
		sp := si.spec(i)
		margin += sp.full() / 2
		if i > stage && sc.pieces[i] > 0 {
			load := si.queues[i].load(now)
			rest += load.Wait(slack, rank)
		}
	}
	lastMargin := margin
	if si.ru.margin != nil {
		lastMargin = si.ru.margin(target-rest, margin)
	}
	start, last := now.Add(target-rest-margin), now.Add(target-rest-lastMargin)
	qu := si.queues[stage]
	qu.rates[min(rank, citronstream.Ranks-1)] += float64(sc.pieces[stage])
	tag := 0
	if si.ru.shares {
		tag = qu.shares.Queue(workspaceshare.Kind{Rank: rank}, fmt.Sprint(sc.workspace), sc.pieces[stage])
	}
	qu.jobs = append(qu.jobs, &sharedJob{Priority: order.Priority{
		Rank: rank, RouteRank: rank, Returned: sc.asTold, Start: start, Last: last, Due: start, End: now.Add(sc.first.Add(sc.left).Sub(now) - rest), Length: sc.pieces[stage], Tag: tag,
	}, sharedCaller: sc, stage: stage, queued: now})
}

func (si *sharedSite) refuse(sc sharedCaller, after time.Duration) {
	si.floor.Observe(fmt.Sprint(sc.rank), false)
	now := si.clk.Now()
	left := sc.first.Add(sc.left).Sub(now)
	tries := max(1, si.retries)
	switch {
	case sc.tries < tries && si.retries > 0:
		sc.at, sc.asTold = now.Add(sharedReach), false
	case sc.tries < tries && after <= left/3:
		sc.at, sc.asTold = now.Add(after), true
	default:
		if sc.leavesAt.IsZero() {
			si.out.refused[sc.rank]++
			si.out.refusedAfter += now.Sub(sc.first)
			if sc.tries > 0 {
				si.out.again[sc.rank]++
			}
		}
		return
	}
	sc.tries++
	at, _ := slices.BinarySearchFunc(si.back, sc, func(a, b sharedCaller) int { return cmp.Or(a.at.Compare(b.at), -1) })
	si.back = slices.Insert(si.back, at, sc)
}

// end ends the batches that are done and the jobs that expire.
func (si *sharedSite) end(qu *sharedQueue) {
	now := si.clk.Now()
	for i := range qu.rates {
		qu.rates[i] *= 1 - sharedStep.Seconds()
	}
	qu.ends = slices.DeleteFunc(qu.ends, func(en sharedEnd) bool {
		if en.at.After(now) {
			return false
		}
		for range en.pieces {
			qu.done = append(qu.done, en.at)
		}
		if en.jb.running -= en.pieces; en.jb.running == 0 && en.jb.Length == 0 {
			si.join(en.jb.sharedCaller, en.jb.stage+1)
		}
		return true
	})
	qu.jobs = slices.DeleteFunc(qu.jobs, func(jb *sharedJob) bool {
		if !jb.leavesAt.IsZero() && !now.Before(jb.leavesAt) {
			return true
		}
		gone := !jb.Begun && (now.Sub(jb.Last) > queueLateWait && now.Sub(jb.queued) > minQueueWait || now.After(jb.End))
		if gone {
			qu.shares.Drop(workspaceshare.Kind{Rank: jb.Rank}, fmt.Sprint(jb.workspace), jb.Length)
		}
		if gone && jb.leavesAt.IsZero() {
			si.floor.Observe(fmt.Sprint(jb.rank), false)
			si.out.dropped[jb.rank]++
			si.out.refusedAfter += now.Sub(jb.first)
			for _, pieces := range jb.pieces[:jb.stage] {
				si.out.wasted += pieces
			}
		}
		return gone
	})
}

// finish counts a request whose stages are done.
func (si *sharedSite) finish(sc *sharedCaller) {
	now := si.clk.Now()
	if !sc.leavesAt.IsZero() {
		return
	}
	si.floor.Observe(fmt.Sprint(sc.rank), true)
	if now.Add(sc.rest()).After(sc.first.Add(sc.target)) {
		si.out.late[sc.rank]++
		return
	}
	si.out.inTime[sc.rank]++
	if sc.tries > 0 {
		si.out.returnedServed++
	}
	if sc.workspace == 0 {
		si.out.hot[1]++
	} else if sc.burst > 0 {
		si.out.others[1]++
	}
}
