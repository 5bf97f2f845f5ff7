package owner

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Load pattern: upstreams of a stage whose speeds differ for good and change within
// tenths of a second, under load. They say their pace with each answer.

const (
	unevenUpstreams = 17
	unevenSpan      = 12 * time.Second
)

var unevenSpec = citronstream.BatchSpec{
	Calls: 1, Items: 10, CallTime: 240 * time.Millisecond, ItemTime: 21 * time.Millisecond, ResultLife: 4 * time.Second,
}

// paces is how long work takes at an upstream relative to the usual time, in each
// millisecond, and the work that is done before it, in ms of the usual pace.
type paces struct {
	usual  float64
	factor []float64
	done   []float64
}

func newPaces(random *rand.Rand, pattern *uneven, i int) *paces {
	pc := &paces{usual: pattern.usual(i)}
	slowUntil, nextSlow := time.Duration(0), time.Duration(0)
	pause := func() time.Duration {
		return time.Duration(random.ExpFloat64() * (1/pattern.share - 1) * float64(pattern.spell))
	}
	if pattern.share > 0 {
		nextSlow = pause()
	}
	done := 0.0
	for at := time.Duration(0); at < 3*unevenSpan; at += time.Millisecond {
		if pattern.share > 0 && at >= nextSlow {
			slowUntil = at + pattern.spell
			nextSlow = slowUntil + pause()
		}
		factor := pc.usual
		if at < slowUntil {
			factor *= pattern.slowed
		}
		pc.factor, pc.done = append(pc.factor, factor), append(pc.done, done)
		done += 1 / factor
	}
	return pc
}

func (pc *paces) at(since time.Duration) float64 {
	return pc.factor[min(len(pc.factor)-1, int(since.Milliseconds()))]
}

// end returns when work that takes normal at the usual pace ends.
func (pc *paces) end(since, normal time.Duration) time.Duration {
	from := min(len(pc.done)-1, int(since.Milliseconds()))
	until, _ := slices.BinarySearch(pc.done, pc.done[from]+float64(normal.Milliseconds()))
	return since + time.Duration(until-from)*time.Millisecond
}

// unevenJob is an arrival of the replayed pattern.
type unevenJob struct {
	at, slack time.Duration
	pieces    int
}

func (uj *unevenJob) due() time.Duration {
	return uj.at + uj.slack + expected(&unevenSpec, unevenSpec.Items)
}

func unevenJobs(random *rand.Rand, rate float64) (list []unevenJob) {
	slacks := []time.Duration{400 * time.Millisecond, time.Second, 2 * time.Second}
	for at := time.Duration(0); at < unevenSpan; {
		uj := unevenJob{at, slacks[random.IntN(len(slacks))], 1 + random.IntN(4)}
		list = append(list, uj)
		at += time.Duration(random.ExpFloat64() * float64(uj.pieces) / rate * float64(time.Second))
	}
	return list
}

// offline returns how many jobs a schedule serves in time that knows all arrivals and
// paces: the first ones due at the upstream that ends first, without the jobs that were
// late in the round before.
func offline(list []unevenJob, all []*paces) (best int) {
	for range 8 {
		var kept []unevenJob
		for i, late := range schedule(list, all) {
			if !late {
				kept = append(kept, list[i])
			}
		}
		best = max(best, len(kept))
		if len(kept) == len(list) {
			break
		}
		list = kept
	}
	return best
}

// schedule plays one round and returns which jobs were late.
func schedule(list []unevenJob, all []*paces) []bool {
	late, left := make([]bool, len(list)), make([]int, len(list))
	free := make([]time.Duration, len(all))
	var queue []int // jobs with pieces that wait, the first due first
	next := 0
	for now := time.Duration(0); next < len(list) || len(queue) > 0; now += time.Millisecond {
		for ; next < len(list) && list[next].at <= now; next++ {
			left[next] = list[next].pieces
			at, _ := slices.BinarySearchFunc(queue, next, func(a, b int) int { return int(list[a].due() - list[b].due()) })
			queue = slices.Insert(queue, at, next)
		}
		if !slices.ContainsFunc(free, func(at time.Duration) bool { return at <= now }) {
			continue
		}
		planned := slices.Clone(free)
		for at := 0; at < len(queue); {
			var batch []int // jobs, one entry for each piece
			first := at
			for taken := 0; at < len(queue) && len(batch) < unevenSpec.Items; at++ {
				taken = min(left[queue[at]], unevenSpec.Items-len(batch))
				batch = append(batch, slices.Repeat(queue[at:at+1], taken)...)
				if taken < left[queue[at]] {
					break
				}
			}
			up, end := 0, time.Duration(math.MaxInt64)
			for i, pc := range all {
				if ends := pc.end(max(now, planned[i]), expected(&unevenSpec, len(batch))); ends < end {
					up, end = i, ends
				}
			}
			begins := planned[up] <= now
			planned[up] = end
			if !begins {
				at = max(at, first+1)
				continue
			}
			free[up] = end
			for _, i := range batch {
				left[i]--
				late[i] = late[i] || end > list[i].due()
			}
			queue = slices.DeleteFunc(queue, func(i int) bool { return left[i] == 0 })
			at = first
		}
	}
	return late
}

// uneven is a pattern of paces.
type uneven struct {
	name   string
	usual  func(i int) float64
	slowed float64
	share  float64       // of the time that an upstream is slowed
	spell  time.Duration // for which it is slowed
	says   func(pc *paces, since time.Duration) float64
}

func truth(pc *paces, since time.Duration) float64 { return pc.at(since) }

func alike(int) float64 { return 1 }

// half has every other upstream at 0.55 of the nominal speed.
func half(i int) float64 { return []float64{1 / 0.55, 1}[i%2] }

const short = 600 * time.Millisecond

var unevenPatterns = []uneven{
	{"rapidly fluctuating speed", alike, 2.5, 1.0 / 6, short, truth},
	{"half of the upstreams slow", half, 1, 0, 0, truth},
	{"half slow, fluctuating", half, 2.5, 1.0 / 6, short, truth},
	{"turning slow for seconds", alike, 6, 0.1, 3 * time.Second, truth},
	{"fluctuating, all say as usual", alike, 2.5, 1.0 / 6, short, func(*paces, time.Duration) float64 { return 1 }},
	{"half slow, slow ones say fast", half, 1, 0, 0, func(pc *paces, _ time.Duration) float64 { return 1 / pc.usual }},
}

// unevenService implements Batcher in simulated time.
type unevenService struct {
	clk     citronstream.Clock
	begin   time.Time
	paces   map[string]*paces
	says    func(pc *paces, since time.Duration) float64 // nil: nothing
	turn    map[string]chan struct{}
	mu      sync.Mutex
	results int
}

func (us *unevenService) answer(nd *node.Node) {
	if us.says != nil {
		nd.ObserveLoad(citronstream.ServerLoad{Slots: 1, Pace: us.says(us.paces[nd.ID], us.clk.Since(us.begin))}, us.clk.Now())
	}
}

func (us *unevenService) Run(ctx context.Context, nd *node.Node, items []citronstream.BatchItem) ([]citronstream.ItemResult, bool, error) {
	turn, since := us.turn[nd.ID], us.clk.Since(us.begin)
	select {
	case <-turn:
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
	took := us.paces[nd.ID].end(since, expected(&unevenSpec, len(items))) - since
	ended := make(chan struct{})
	us.clk.AfterFunc(took, func() {
		turn <- struct{}{}
		close(ended)
	})
	select {
	case <-ended:
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
	us.answer(nd)
	us.mu.Lock()
	defer us.mu.Unlock()
	var results []citronstream.ItemResult
	for range items {
		us.results++
		results = append(results, citronstream.ItemResult{Handle: fmt.Sprintf("%s/%d", nd.ID, us.results)})
	}
	return results, false, nil
}

func (us *unevenService) Working(_ context.Context, nd *node.Node) (bool, error) {
	us.answer(nd)
	return len(us.turn[nd.ID]) == 0, nil
}

// Release releases results of all upstreams, as their memory is not simulated.
func (us *unevenService) Release(_ context.Context, nd *node.Node, _ []string) { us.answer(nd) }

func (us *unevenService) Free(context.Context, *node.Node) (least, most int, err error) {
	return 0, 0, nil
}
func (us *unevenService) ResultAddress(string) string { return "" }

// playUneven plays jobs and returns how many of them were in time. Without says the
// upstreams say nothing, and the rule is the one of before.
func playUneven(t *testing.T, list []unevenJob, all []*paces, says func(pc *paces, since time.Duration) float64) (inTime int) {
	synctest.Test(t, func(t *testing.T) {
		clk := clockwork.NewRealClock() // of the bubble
		us := &unevenService{clk: clk, begin: clk.Now(), says: says, paces: make(map[string]*paces), turn: make(map[string]chan struct{})}
		var nodes []*node.Node
		byID := make(map[string]*node.Node)
		for i, pc := range all {
			nd := node.New(citronstream.Member{ID: fmt.Sprint("u", i), Service: "s"}, node.WithClock(clk))
			us.paces[nd.ID], us.turn[nd.ID] = pc, make(chan struct{}, 1)
			us.turn[nd.ID] <- struct{}{}
			nodes, byID[nd.ID] = append(nodes, nd), nd
		}
		ctx, cancel := context.WithCancel(context.Background())
		ow := New(ctx, clk, logr.Discard(), "s", unevenSpec, us, &budget{left: 1 << 20})
		ow.Replace(nodes)
		ticks := make(chan struct{})
		go func() {
			defer close(ticks)
			tick(ctx, clk, ow)
		}()
		var mu sync.Mutex
		done := 0
		for i, uj := range list {
			clk.Sleep(uj.at - clk.Since(us.begin))
			jo := newJob(fmt.Sprint(i), uj.pieces, func(jo *citronstream.Job) { jo.Slack, jo.RouteRank = uj.slack, int(uj.slack/time.Second) })
			ow.Submit(jo, func(re citronstream.JobResult) {
				mu.Lock()
				defer mu.Unlock()
				done++
				if re.Fault == nil && clk.Since(us.begin) <= uj.due() {
					inTime++
				}
				clk.AfterFunc(100*time.Millisecond, func() { // the next stage has read them
					ow.Release(re.Handles, 100, func(handle string) *node.Node {
						id, _, _ := strings.Cut(handle, "/")
						return byID[id]
					})
				})
			}, func() {})
		}
		clk.Sleep(15 * time.Second) // to the deadline of the last job
		mu.Lock()
		require.Equal(t, len(list), done)
		mu.Unlock()
		cancel()
		ow.Wait()
		<-ticks
	})
	return inTime
}

// Guards against a rule that loses more of what can be served in time than the changes of
// pace within a batch explain, and against one that believes what upstreams say whatever
// their batches take.
func TestUnevenUpstreams(t *testing.T) {
	for _, pattern := range unevenPatterns {
		for _, load := range []float64{0.7, 0.9, 1.1} {
			t.Run(fmt.Sprintf("%s, load %v", pattern.name, load), func(t *testing.T) {
				random := rand.New(rand.NewPCG(1, 0))
				var all []*paces
				rate := 0.0 // in pieces a second
				for i := range unevenUpstreams {
					pc := newPaces(random, &pattern, i)
					all = append(all, pc)
					rate += load * float64(unevenSpec.Items) / expected(&unevenSpec, unevenSpec.Items).Seconds() / pc.usual * (1 - pattern.share + pattern.share/pattern.slowed)
				}
				list := unevenJobs(random, rate)
				before, after, best := playUneven(t, list, all, nil), playUneven(t, list, all, pattern.says), offline(list, all)
				t.Logf("%d jobs, in time: old rule %d, new rule %d, offline schedule %d", len(list), before, after, best)
				assert.GreaterOrEqual(t, float64(after), 0.85*float64(best))
				assert.GreaterOrEqual(t, float64(after), 0.97*float64(before))
			})
		}
	}
}

// Guards against a pace that counts for longer than an upstream keeps it, and against one
// that is believed whatever the batches take.
func TestSaidPace(t *testing.T) {
	hs := newHarness(t, node.New(citronstream.Member{ID: "a", Service: "s"}))
	sv := hs.list[0]
	now := hs.clk.Now()
	assert.Equal(t, 1.0, hs.paceNow(sv, now))
	sv.ObserveLoad(citronstream.ServerLoad{Slots: 1, Pace: 2.5}, now)
	assert.InDelta(t, 2.5, hs.paceNow(sv, now), 1e-9)
	assert.Less(t, hs.paceNow(sv, now.Add(500*time.Millisecond)), 1.3)
	sv.ObserveLoad(citronstream.ServerLoad{Slots: 1}, now.Add(500*time.Millisecond)) // no pace
	assert.Less(t, hs.paceNow(sv, now.Add(500*time.Millisecond)), 1.3)

	var sa said
	for range 20 {
		sa.done(3, 1, sa.forecast(1, 1))
	}
	assert.InDelta(t, 3, sa.forecast(1, 1), 0.05)

	var la lasting
	sa = said{}
	for i := range 100 { // it says 1 or 2.5, and its batches take 1 or 1.4 times as long
		pace, ratio := 1.0, 1.0
		if i%4 == 0 {
			pace, ratio = 2.5, 1.4
		}
		la.done(&sa, ratio, pace)
		sa.done(ratio, pace, sa.forecast(pace, la.value()))
	}
	assert.InDelta(t, 1.4, sa.forecast(2.5, la.value()), 0.25)
}
