package owner

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/citronstream/citronstream/internal/limit/admission"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
)

// Load pattern: a burst of an urgent kind through three stages, about twice what the second
// and third one can do, beside a less urgent kind with large results. Memory for the results
// of the second stage holds less than two batches at each upstream.

var (
	pipeSeeds   = flag.Int("pipe.seeds", 4, "seeds of the burst through three stages")
	pipeCompare = flag.Bool("pipe.compare", false, "compare it with schedules that know all arrivals")
)

const (
	pipeSpan     = 16 * time.Second
	pipeBurstAt  = 4 * time.Second
	pipeBurstEnd = 11 * time.Second
	pipeTellLag  = 100 * time.Millisecond
	pipeEngine   = 100 * time.Millisecond // of a request after its stages, to its first event
	pipeRest     = 300 * time.Millisecond // from then to the end
	pipeEarly    = 100 * time.Millisecond
)

// pipeStage is a stage of the replayed site.
type pipeStage struct {
	citronstream.BatchSpec
	upstreams int
}

var pipeStages = []pipeStage{
	{citronstream.BatchSpec{Calls: 1, Items: 8, CallTime: 240 * time.Millisecond, ItemTime: 26 * time.Millisecond, ResultBytes: 9_600_000, ResultLife: 4 * time.Second, LinkRate: 1000}, 18},
	{citronstream.BatchSpec{Calls: 1, Items: 20, CallTime: 240 * time.Millisecond, ItemTime: 10500 * time.Microsecond, ResultBytes: 2_200_000, ResultLife: 4 * time.Second, LinkRate: 1000}, 15},
	{citronstream.BatchSpec{Calls: 1, Items: 26, CallTime: 240 * time.Millisecond, ItemTime: 8 * time.Millisecond, ResultBytes: 280_000, ResultLife: 4 * time.Second, LinkRate: 1000}, 16},
}

// pipeKind is a kind of request: its pieces and the bytes of a result at each stage.
type pipeKind struct {
	rank          int
	pieces, bytes [3]int
	target, left  time.Duration
	rate, burst   float64
}

var pipeKinds = []pipeKind{
	{0, [3]int{1, 4, 6}, [3]int{8_000, 60_000, 6_000}, 1700 * time.Millisecond, 6 * time.Second, 60, 300},
	{2, [3]int{2, 2, 2}, [3]int{800_000, 60_000, 6_000}, 2200 * time.Millisecond, 6 * time.Second, 20, 20},
}

// pipeUpstream is an upstream with memory for results.
type pipeUpstream struct {
	busy  bool
	used  int
	bytes map[string]int
}

// pipeService implements Batcher for one stage.
type pipeService struct {
	clk       citronstream.Clock
	spec      citronstream.BatchSpec
	mu        sync.Mutex
	upstreams map[string]*pipeUpstream
	results   int
	sizes     map[string]int // of the results of a request
	busyTime  time.Duration
	computed  int
}

func (ps *pipeService) Run(ctx context.Context, nd *node.Node, items []citronstream.BatchItem) ([]citronstream.ItemResult, bool, error) {
	ps.clk.Sleep(time.Millisecond)
	ps.mu.Lock()
	up := ps.upstreams[nd.ID]
	if up.busy {
		ps.mu.Unlock()
		return nil, true, nil
	}
	up.busy = true
	var results []citronstream.ItemResult
	for _, item := range items {
		size := ps.sizes[item.RequestID]
		if up.used+size > ps.spec.ResultBytes {
			results = append(results, citronstream.ItemResult{Fault: citronstream.ItemNoMemory})
			continue
		}
		ps.results++
		ps.computed++
		handle := fmt.Sprintf("%s/%d", nd.ID, ps.results)
		up.used += size
		up.bytes[handle] = size
		results = append(results, citronstream.ItemResult{Handle: handle})
	}
	took := expected(&ps.spec, len(items))
	ps.busyTime += took
	ps.mu.Unlock()
	ps.clk.Sleep(took)
	ps.mu.Lock()
	up.busy = false
	ps.mu.Unlock()
	ps.clk.Sleep(time.Millisecond)
	return results, false, ctx.Err()
}

func (ps *pipeService) Release(_ context.Context, nd *node.Node, handles []string) {
	ps.clk.Sleep(time.Millisecond)
	ps.mu.Lock()
	up := ps.upstreams[nd.ID]
	for _, handle := range handles {
		up.used -= up.bytes[handle]
		delete(up.bytes, handle)
	}
	ps.mu.Unlock()
	ps.clk.Sleep(time.Millisecond)
}

func (ps *pipeService) Working(_ context.Context, nd *node.Node) (bool, error) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.upstreams[nd.ID].busy, nil
}

func (ps *pipeService) Free(_ context.Context, nd *node.Node) (least, most int, err error) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	free := ps.spec.ResultBytes - ps.upstreams[nd.ID].used
	return free, free, nil
}
func (ps *pipeService) ResultAddress(string) string { return "" }

// pipeRequest is an arrival.
type pipeRequest struct {
	id   string
	at   time.Duration
	kind int
}

func pipeArrivals(seed uint64) (list []pipeRequest) {
	random := rand.New(rand.NewPCG(seed, 1))
	for at := time.Duration(0); at < pipeSpan; at += time.Millisecond {
		for kind, ki := range pipeKinds {
			rate := ki.rate
			if at >= pipeBurstAt && at < pipeBurstEnd {
				rate = ki.burst
			}
			if random.Float64() < rate/1000 {
				list = append(list, pipeRequest{fmt.Sprint(len(list)), at, kind})
			}
		}
	}
	return list
}

// pipePlay is what became of the requests, by kind.
type pipePlay struct {
	asked, inTime, late, refused, returned [2]int
	wasted                                 [3]int // pieces of requests that were not answered
	batches, items, noMemory               [3]uint64
	blocked, busy                          [3]float64 // in the burst: share of upstreams that idle though work waits, and that work
	used                                   [3]float64 // share of memory for results, in the burst
}

type pipe struct {
	clk    citronstream.Clock
	begin  time.Time
	ows    [3]*Owner
	pss    [3]*pipeService
	nodes  [3]map[string]*node.Node
	mu     sync.Mutex
	told   [3]citronstream.QueueLoad
	random *rand.Rand
	only   func(rq *pipeRequest) bool // in place of admission
	pp     *pipePlay
}

func (pi *pipe) estimate(ki *pipeKind, target time.Time, from int) (needs time.Duration, later, unwaited [3]time.Duration) {
	var waits [3]time.Duration
	pi.mu.Lock()
	defer pi.mu.Unlock()
	unloaded := pipeEngine
	for i := range 3 {
		unloaded += pipeBatchTime(ki, i)
	}
	slack := target.Sub(pi.clk.Now()) - unloaded
	tail := pipeEngine
	for i := 2; i >= from; i-- {
		later[i] = tail
		ql := pi.told[i]
		waits[i] = ql.Wait(slack, ki.rank)
		tail += waits[i] + pipeBatchTime(ki, i)
		if i+1 < 3 {
			unwaited[i] = unwaited[i+1] + pipeBatchTime(ki, i+1)
		} else {
			unwaited[i] = pipeEngine
		}
	}
	return tail, later, unwaited
}

func pipeBatchTime(ki *pipeKind, stage int) time.Duration {
	return expected(&pipeStages[stage].BatchSpec, min(ki.pieces[stage], pipeStages[stage].Items))
}

func pipeMargin(stage int) (margin time.Duration) {
	for i := stage; i < 3; i++ {
		margin += expected(&pipeStages[i].BatchSpec, pipeStages[i].Items) / 2
	}
	return margin
}

// admit returns the time to come back of a refused request, or 0.
func (pi *pipe) admit(rq *pipeRequest, target, end time.Time) time.Duration {
	ki := &pipeKinds[rq.kind]
	if pi.only != nil {
		if pi.only(rq) {
			return 0
		}
		return time.Hour
	}
	needs, _, _ := pi.estimate(ki, target, 0)
	now := pi.clk.Now()
	wait := time.Duration(0)
	pi.mu.Lock()
	defer pi.mu.Unlock()
	for i := range 3 {
		wait = max(wait, pi.told[i].WaitNew(target.Sub(now)-needs, ki.rank))
	}
	de := admission.New(admission.Request{Needs: needs, Rest: pipeRest, Wait: wait, Target: target.Sub(now), Left: end.Sub(now)}, pi.random.Float64())
	if de.Admit {
		return 0
	}
	return de.RetryAfter
}

func (pi *pipe) release(stage int, handles []string, bytes int) {
	pi.ows[stage].Release(handles, bytes, func(handle string) *node.Node {
		id, _, _ := strings.Cut(handle, "/")
		return pi.nodes[stage][id]
	})
}

// run plays one attempt of a request.
func (pi *pipe) run(rq *pipeRequest, again bool) {
	ki := &pipeKinds[rq.kind]
	first := pi.begin.Add(rq.at)
	target, end := first.Add(ki.target), first.Add(ki.left)
	refuse := func(after time.Duration) {
		if after == 0 {
			after = 500 * time.Millisecond
		}
		if !again && after <= end.Sub(pi.clk.Now())/3 {
			pi.mu.Lock()
			pi.pp.returned[rq.kind]++
			pi.mu.Unlock()
			pi.clk.Sleep(after)
			pi.run(rq, true)
			return
		}
		pi.mu.Lock()
		pi.pp.refused[rq.kind]++
		pi.mu.Unlock()
	}
	if after := pi.admit(rq, target, end); after > 0 {
		refuse(after)
		return
	}
	var handles [3][]string
	var ready [3]time.Time
	id := rq.id
	if again {
		id += "r"
	}
	for i := 0; i < 3; i++ {
		_, later, unwaited := pi.estimate(ki, target, i)
		now := pi.clk.Now()
		rest := pipeBatchTime(ki, i) + later[i]
		margin := pipeMargin(i)
		jo := citronstream.Job{
			ID: id, Stage: i, Service: "s", Bytes: ki.bytes[i], Rank: ki.rank, RouteRank: ki.rank, Returned: again,
			Left: end.Sub(now) - pipeRest, LaterStages: rest, Slack: target.Sub(now) - pipeBatchTime(ki, i) - unwaited[i] - margin, Margin: margin, Early: pipeEarly,
		}
		for piece := range ki.pieces[i] {
			jo.Pieces = append(jo.Pieces, piece)
		}
		if i > 0 {
			jo.Inputs, jo.InputBytes = handles[i-1], ki.pieces[i-1]*ki.bytes[i-1]
			jo.InputTTL = max(pipeStages[i-1].ResultLife-now.Sub(ready[i-1])-200*time.Millisecond, time.Millisecond)
			jo.FreesMemory = jo.InputBytes > ki.pieces[i]*ki.bytes[i]
		}
		pi.pss[i].mu.Lock()
		pi.pss[i].sizes[id] = ki.bytes[i]
		pi.pss[i].mu.Unlock()
		done := make(chan citronstream.JobResult, 1)
		var once sync.Once
		taken := func() {
			if i > 0 {
				once.Do(func() { pi.release(i-1, handles[i-1], ki.bytes[i-1]) })
			}
		}
		pi.ows[i].Submit(jo, func(re citronstream.JobResult) { done <- re }, func() { pi.clk.AfterFunc(time.Millisecond, taken) })
		re := <-done
		pi.clk.Sleep(time.Millisecond)
		taken()
		if re.Fault != nil || re.InputLost {
			pi.mu.Lock()
			for before := range i {
				pi.pp.wasted[before] += ki.pieces[before]
			}
			pi.mu.Unlock()
			after := time.Duration(0)
			if re.Fault != nil {
				after = re.Fault.RetryAfter
			}
			refuse(after)
			return
		}
		handles[i], ready[i] = re.Handles, pi.clk.Now()
	}
	pi.clk.AfterFunc(80*time.Millisecond, func() { pi.release(2, handles[2], ki.bytes[2]) })
	pi.clk.Sleep(pipeEngine)
	pi.mu.Lock()
	defer pi.mu.Unlock()
	if !pi.clk.Now().After(target) {
		pi.pp.inTime[rq.kind]++
	} else {
		pi.pp.late[rq.kind]++
	}
}

func playPipe(t *testing.T, list []pipeRequest, only func(rq *pipeRequest) bool) (pp pipePlay) {
	synctest.Test(t, func(t *testing.T) {
		clk := clockwork.NewRealClock() // of the bubble
		pi := &pipe{clk: clk, begin: clk.Now(), random: rand.New(rand.NewPCG(9, 9)), only: only, pp: &pp}
		ctx, cancel := context.WithCancel(context.Background())
		var ticks sync.WaitGroup
		for i, st := range pipeStages {
			pi.pss[i] = &pipeService{clk: clk, spec: st.BatchSpec, upstreams: make(map[string]*pipeUpstream), sizes: make(map[string]int)}
			pi.nodes[i] = make(map[string]*node.Node)
			var nodes []*node.Node
			for at := range st.upstreams {
				nd := node.New(citronstream.Member{ID: fmt.Sprint("u", at), Service: "s"}, node.WithClock(clk))
				nodes, pi.nodes[i][nd.ID], pi.pss[i].upstreams[nd.ID] = append(nodes, nd), nd, &pipeUpstream{bytes: make(map[string]int)}
			}
			pi.ows[i] = New(ctx, clk, logr.Discard(), "s", st.BatchSpec, pi.pss[i], &shareBudget{left: 50})
			pi.ows[i].Replace(nodes)
			ticks.Go(func() {
				ticker := clk.NewTicker(20 * time.Millisecond)
				defer ticker.Stop()
				for {
					select {
					case <-ctx.Done():
						return
					case <-ticker.Chan():
						pi.ows[i].Tick()
					}
				}
			})
		}
		ticks.Go(func() {
			samples := 0
			for ctx.Err() == nil {
				pi.mu.Lock()
				for i, ow := range pi.ows {
					pi.told[i] = ow.Load()
				}
				if since := clk.Since(pi.begin); since >= pipeBurstAt+time.Second && since < pipeBurstEnd {
					samples++
					for i, ow := range pi.ows {
						st := ow.State()
						busy := float64(st.Busy) / float64(st.Upstreams)
						pp.busy[i] += busy
						pp.used[i] += st.Used
						if st.Pending > pipeStages[i].Items/2 {
							pp.blocked[i] += 1 - busy
						}
					}
				}
				pi.mu.Unlock()
				clk.Sleep(pipeTellLag)
			}
			for i := range 3 {
				pp.busy[i] /= float64(max(1, samples))
				pp.blocked[i] /= float64(max(1, samples))
				pp.used[i] /= float64(max(1, samples))
			}
		})
		var requests sync.WaitGroup
		for i := range list {
			clk.Sleep(list[i].at - clk.Since(pi.begin))
			pi.mu.Lock()
			pp.asked[list[i].kind]++
			pi.mu.Unlock()
			requests.Go(func() { pi.run(&list[i], false) })
		}
		requests.Wait()
		for i, ow := range pi.ows {
			co := ow.Counts()
			pp.batches[i], pp.items[i], pp.noMemory[i] = co.Batches, co.Items, co.NoMemory
		}
		clk.Sleep(5 * time.Second)
		cancel()
		for _, ow := range pi.ows {
			ow.Wait()
		}
		ticks.Wait()
	})
	return pp
}

// offlinePipe returns the best of some schedules that know all arrivals: they leave out an
// even part of the requests of the burst before their first stage.
func offlinePipe(t *testing.T, list []pipeRequest) (best pipePlay) {
	for keep := 0.3; keep <= 1.001; keep += 0.1 {
		admitted, sum := make(map[string]bool), 0.0
		for _, rq := range list {
			if rq.kind == 0 && rq.at >= pipeBurstAt && rq.at < pipeBurstEnd {
				if sum += keep; sum < 1 {
					continue
				}
				sum--
			}
			admitted[rq.id] = true
		}
		pp := playPipe(t, list, func(rq *pipeRequest) bool { return admitted[rq.id] })
		if pp.inTime[0]+pp.inTime[1] > best.inTime[0]+best.inTime[1] {
			best = pp
		}
	}
	return best
}

// add adds the figures of one of count replays.
func (pp *pipePlay) add(other pipePlay, count int) {
	for i := range 2 {
		pp.asked[i] += other.asked[i]
		pp.inTime[i] += other.inTime[i]
		pp.late[i] += other.late[i]
		pp.refused[i] += other.refused[i]
		pp.returned[i] += other.returned[i]
	}
	for i := range 3 {
		pp.wasted[i] += other.wasted[i]
		pp.batches[i] += other.batches[i]
		pp.items[i] += other.items[i]
		pp.noMemory[i] += other.noMemory[i]
		pp.busy[i] += other.busy[i] / float64(count)
		pp.blocked[i] += other.blocked[i] / float64(count)
		pp.used[i] += other.used[i] / float64(count)
	}
}

func (pp *pipePlay) String() string {
	fill := func(stage int) float64 { return float64(pp.items[stage]) / float64(max(1, pp.batches[stage])) }
	return fmt.Sprintf("asked %v, in time %v, late %v, refused %v, returned %v, wasted %v, fill %.1f %.1f %.1f, busy %.2f, blocked %.2f, memory %.2f, no memory %v",
		pp.asked, pp.inTime, pp.late, pp.refused, pp.returned, pp.wasted, fill(0), fill(1), fill(2), pp.busy, pp.blocked, pp.used, pp.noMemory)
}

// Guards against an overload in which all requests are a little late: because the waits of
// later stages make jobs late before their stage, and jobs that are late and free memory run
// before those that are in time. With that, 0.20, 0.30, 0.12 and 0.19 of the urgent requests
// were in time.
func TestBurstThroughStages(t *testing.T) {
	for _, pattern := range []struct {
		memory [2]int // of the second and third stage
		least  float64
	}{
		{[2]int{2_200_000, 280_000}, 0.3},
		{[2]int{1_100_000, 280_000}, 0.34},
		{[2]int{2_200_000, 140_000}, 0.22},
		{[2]int{500_000, 280_000}, 0.15},
	} {
		t.Run(fmt.Sprint(pattern.memory), func(t *testing.T) {
			defer func(before []pipeStage) { pipeStages = before }(pipeStages)
			pipeStages = slices.Clone(pipeStages)
			pipeStages[1].ResultBytes, pipeStages[2].ResultBytes = pattern.memory[0], pattern.memory[1]
			var now, offline pipePlay
			for seed := range *pipeSeeds {
				list := pipeArrivals(uint64(seed + 1))
				now.add(playPipe(t, list, nil), *pipeSeeds)
				if *pipeCompare {
					offline.add(offlinePipe(t, list), *pipeSeeds)
				}
			}
			t.Logf("%v; offline: %v", &now, &offline)
			assert.Greater(t, float64(now.inTime[0]), pattern.least*float64(now.asked[0]))
			assert.Greater(t, float64(now.inTime[1]), 0.9*float64(now.asked[1]))
		})
	}
}
