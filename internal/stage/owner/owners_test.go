package owner

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/citronstream/citronstream/internal/upstream/selfreport"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Load pattern: two owners use the same upstreams at the same moment: an old and a new one
// of a queue, the queue of restricted jobs beside the unrestricted one, owners on both sides
// of a lost link.

// owners is a replayed pattern.
type owners struct {
	name      string
	load      float64 // of what the upstreams do with full batches
	second    float64 // share of the jobs at the second owner
	upstreams int     // that the second owner may use
	queues    bool    // upstreams let batches wait instead of refusing them
	handOver  bool    // the second owner takes all jobs over at handOverAt
	// lost and frozen say that the first owner ends, or doesn't run until frozenUntil, from
	// handOverAt on. Jobs that are there come to the second one as their links time out.
	lost, frozen bool
	// says replaces what upstreams say of their load.
	says func(load citronstream.ServerLoad, since time.Duration) citronstream.ServerLoad
}

const (
	handOverAt  = 4 * time.Second
	linkTimeout = 800 * time.Millisecond
	frozenUntil = 6500 * time.Millisecond
	ownersSeeds = 2 // 4 for the figures of docs/design/stage-owners.md
)

// ownersPlay is what became of the jobs of a pattern.
type ownersPlay struct {
	jobs, inTime, late, failed int
	refused, batches           uint64
	uneven                     float64 // mean of busiest/mean of the batches begun in windows of 0.5 s
	idle                       float64 // share of upstreams that idle while pieces wait
}

// sharedUpstream runs one batch at a time.
type sharedUpstream struct {
	running, waiting int
	begun            int // batches in the present window
	next             []chan struct{}
}

// sharedService has upstreams that several owners use.
type sharedService struct {
	clk       citronstream.Clock
	queues    bool
	mu        sync.Mutex
	upstreams map[string]*sharedUpstream
	results   int
}

func truthful(load citronstream.ServerLoad, _ time.Duration) citronstream.ServerLoad { return load }

// ownerOf implements Batcher for one owner; each has its own record of the upstreams.
type ownerOf struct {
	*sharedService
	says func(load citronstream.ServerLoad, since time.Duration) citronstream.ServerLoad // nil: nothing
	// awake returns when the process of the owner runs; nil if always.
	awake func()
	begin time.Time
}

func (oo *ownerOf) say(nd *node.Node, up *sharedUpstream) {
	if oo.says != nil {
		nd.ObserveLoad(oo.says(citronstream.ServerLoad{Running: up.running, Waiting: up.waiting, Slots: 1}, oo.clk.Since(oo.begin)), oo.clk.Now())
	}
}

func (oo *ownerOf) Run(ctx context.Context, nd *node.Node, items []citronstream.BatchItem) (results []citronstream.ItemResult, refused bool, err error) {
	if oo.awake != nil {
		oo.awake()
		defer oo.awake()
	}
	return oo.run(ctx, nd, items)
}

// run runs a batch, also to its end if its owner ends meanwhile.
func (oo *ownerOf) run(ctx context.Context, nd *node.Node, items []citronstream.BatchItem) ([]citronstream.ItemResult, bool, error) {
	up := oo.upstreams[nd.ID]
	oo.clk.Sleep(time.Millisecond)
	oo.mu.Lock()
	if up.running > 0 && !oo.queues {
		oo.say(nd, up)
		oo.mu.Unlock()
		oo.clk.Sleep(time.Millisecond)
		return nil, true, nil
	}
	if up.running > 0 {
		turn := make(chan struct{})
		up.next = append(up.next, turn)
		up.waiting++
		oo.mu.Unlock()
		<-turn
		oo.mu.Lock()
	}
	up.running = 1
	up.begun++
	oo.mu.Unlock()
	oo.clk.Sleep(expected(&unevenSpec, len(items)))
	oo.mu.Lock()
	defer oo.mu.Unlock()
	up.running = 0
	if len(up.next) > 0 {
		up.running, up.waiting = 1, up.waiting-1 // the next one has its turn
		close(up.next[0])
		up.next = up.next[1:]
	}
	oo.say(nd, up)
	var results []citronstream.ItemResult
	for range items {
		oo.results++
		results = append(results, citronstream.ItemResult{Handle: fmt.Sprintf("%s/%d", nd.ID, oo.results)})
	}
	return results, false, ctx.Err()
}

func (oo *ownerOf) Working(_ context.Context, nd *node.Node) (bool, error) {
	oo.mu.Lock()
	defer oo.mu.Unlock()
	up := oo.upstreams[nd.ID]
	oo.say(nd, up)
	return up.running+up.waiting > 0, nil
}

func (oo *ownerOf) Release(_ context.Context, nd *node.Node, _ []string) {
	oo.mu.Lock()
	defer oo.mu.Unlock()
	oo.say(nd, oo.upstreams[nd.ID])
}

func (oo *ownerOf) Free(context.Context, *node.Node) (least, most int, err error) { return 0, 0, nil }
func (oo *ownerOf) ResultAddress(string) string                                   { return "" }

// shareBudget is a retry budget of a fifth of the jobs and 50.
type shareBudget struct {
	mu   sync.Mutex
	left float64
}

func (sb *shareBudget) First(string) { sb.add(0.2) }

func (sb *shareBudget) add(count float64) {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	sb.left += count
}

func (sb *shareBudget) TakeAll(_ string, count int) bool {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	if sb.left < float64(count) {
		return false
	}
	sb.left -= float64(count)
	return true
}

func (sb *shareBudget) Return(_ string, count int, _ time.Time) { sb.add(float64(count)) }

func playOwners(t *testing.T, pattern owners, seed uint64) (op ownersPlay) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, 0))
		clk := clockwork.NewRealClock() // of the bubble
		begin := clk.Now()
		ss := &sharedService{clk: clk, queues: pattern.queues, upstreams: make(map[string]*sharedUpstream)}
		for i := range unevenUpstreams {
			ss.upstreams[fmt.Sprint("u", i)] = &sharedUpstream{}
		}
		ctx, cancel := context.WithCancel(context.Background())
		var ticks sync.WaitGroup
		bu := &shareBudget{left: 50}
		says := pattern.says
		if says == nil {
			says = truthful
		}
		firstCtx, end := context.WithCancel(ctx)
		defer end()
		awake := func() {
			if since := clk.Since(begin); pattern.frozen && since >= handOverAt && since < frozenUntil {
				clk.Sleep(frozenUntil - since)
			}
		}
		var all [2]*Owner
		var nodes [2]map[string]*node.Node
		for at, count := range []int{unevenUpstreams, pattern.upstreams} {
			nodes[at] = make(map[string]*node.Node)
			var list []*node.Node
			for i := range count {
				nd := node.New(citronstream.Member{ID: fmt.Sprint("u", i), Service: "s"}, node.WithClock(clk))
				list, nodes[at][nd.ID] = append(list, nd), nd
			}
			oo, ownerCtx := &ownerOf{sharedService: ss, says: says, begin: begin}, ctx
			if at == 0 {
				oo.awake, ownerCtx = awake, firstCtx
			}
			all[at] = New(ownerCtx, clk, logr.Discard(), "s", unevenSpec, oo, bu)
			all[at].Replace(list)
			ticks.Go(func() {
				for ownerCtx.Err() == nil {
					if at == 0 {
						awake()
					}
					all[at].Tick()
					clk.Sleep(50 * time.Millisecond)
				}
			})
		}
		var mu sync.Mutex
		windows, samples := 0, 0
		ticks.Go(func() {
			for count := 1; ctx.Err() == nil && clk.Since(begin) < unevenSpan; count++ {
				clk.Sleep(10 * time.Millisecond)
				ss.mu.Lock()
				idle, most, sum := 0, 0, 0
				for _, up := range ss.upstreams {
					if up.running == 0 {
						idle++
					}
					most, sum = max(most, up.begun), sum+up.begun
					if count%50 == 0 {
						up.begun = 0
					}
				}
				ss.mu.Unlock()
				if all[0].State().Pending > 0 || all[1].State().Pending > 0 {
					op.idle += float64(idle) / unevenUpstreams
					samples++
				}
				if count%50 == 0 && sum > 0 {
					op.uneven += float64(most) * unevenUpstreams / float64(sum)
					windows++
				}
			}
		})
		at0 := make(map[string]func()) // moves a job of the first owner to the second one
		move := func() {
			mu.Lock()
			moves := slices.Collect(maps.Values(at0))
			clear(at0)
			mu.Unlock()
			for _, mv := range moves {
				mv()
			}
		}
		list := unevenJobs(random, pattern.load*unevenUpstreams*float64(unevenSpec.Items)/expected(&unevenSpec, unevenSpec.Items).Seconds())
		handedOver := false
		for i, uj := range list {
			clk.Sleep(uj.at - clk.Since(begin))
			moved := pattern.handOver || pattern.lost || pattern.frozen
			owns := 0
			if random.Float64() < pattern.second || moved && uj.at >= handOverAt {
				owns = 1
			}
			if moved && owns == 1 && !handedOver {
				handedOver = true
				switch {
				case pattern.handOver:
					all[0].Leave()
				case pattern.lost:
					end()
				}
				if pattern.lost || pattern.frozen {
					clk.AfterFunc(linkTimeout, move)
				}
			}
			jo := newJob(fmt.Sprint(i), uj.pieces, func(jo *citronstream.Job) { jo.Slack, jo.RouteRank = uj.slack, int(uj.slack/time.Second) })
			settled := false
			var submit func(at int)
			submit = func(at int) {
				passed := clk.Since(begin) - uj.at
				jo := jo
				jo.Slack, jo.Left = jo.Slack-passed, jo.Left-passed
				all[at].Submit(jo, func(re citronstream.JobResult) {
					mu.Lock()
					defer mu.Unlock()
					clk.AfterFunc(100*time.Millisecond, func() {
						all[at].Release(re.Handles, 100, func(handle string) *node.Node {
							id, _, _ := strings.Cut(handle, "/")
							return nodes[at][id]
						})
					})
					if at == 0 && at0[jo.ID] == nil || settled {
						return // nobody waits for it any more
					}
					delete(at0, jo.ID)
					if re.Fault != nil && re.Fault.Code == citronstream.CodeLeaving && at == 0 {
						clk.AfterFunc(0, func() { submit(1) })
						return
					}
					settled = true
					switch {
					case re.Fault != nil:
						op.failed++
					case clk.Since(begin) <= uj.due():
						op.inTime++
					default:
						op.late++
					}
				}, func() {})
			}
			if owns == 0 {
				mu.Lock()
				at0[jo.ID] = func() {
					if bu.TakeAll("s", len(jo.Pieces)) {
						submit(1)
					} else {
						op.failed++
					}
					clk.AfterFunc(frozenUntil-clk.Since(begin), func() { all[0].Cancel(citronstream.JobKey{ID: jo.ID, Service: "s"}, "") })
				}
				mu.Unlock()
			}
			submit(owns)
		}
		clk.Sleep(15 * time.Second)
		mu.Lock()
		op.jobs = len(list)
		require.Equal(t, op.jobs, op.inTime+op.late+op.failed)
		mu.Unlock()
		for _, ow := range all {
			op.refused += ow.Counts().Refused
			op.batches += ow.Counts().Batches
		}
		cancel()
		all[0].Wait()
		all[1].Wait()
		ticks.Wait()
		op.uneven /= float64(max(1, windows))
		op.idle /= float64(max(1, samples))
	})
	return op
}

// ownersPatterns are the replayed patterns without their loads.
var ownersPatterns = []owners{
	{name: "two owners", second: 0.5, upstreams: unevenUpstreams},
	{name: "restricted jobs beside others", second: 0.2, upstreams: 6},
	{name: "handed over", upstreams: unevenUpstreams, handOver: true},
}

// Guards against owners that take upstreams from each other all the time, so that jobs have
// no retry left, or batches hold few pieces: before the rule, two owners at half of the load
// served 0.51 of the jobs in time.
func TestOwnersBesideEachOther(t *testing.T) {
	for _, load := range []float64{0.5, 0.9} {
		var one ownersPlay
		for seed := range uint64(ownersSeeds) {
			one.add(playOwners(t, owners{load: load, upstreams: unevenUpstreams}, 1+seed))
		}
		for _, pattern := range ownersPatterns {
			for _, queues := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, load %v, queues %v", pattern.name, load, queues), func(t *testing.T) {
					pattern.load, pattern.queues = load, queues
					var sum ownersPlay
					for seed := range uint64(ownersSeeds) {
						sum.add(playOwners(t, pattern, 1+seed))
					}
					t.Logf("%+v; one owner: %+v", sum, one)
					assert.Greater(t, float64(sum.inTime), 0.8*float64(one.inTime))
				})
			}
		}
	}
}

// Guards against an owner that is lost with batches at its upstreams, whose successor fails
// the jobs that come to it as their retries are used up by refusals there.
func TestOwnerIsLostWithItsBatches(t *testing.T) { assertTakenOver(t, owners{lost: true}) }

// Guards against an owner that goes on when its process runs again, and takes upstreams from
// the one that has its queue now.
func TestOwnerIsFrozenAndResumes(t *testing.T) { assertTakenOver(t, owners{frozen: true}) }

// assertTakenOver plays a pattern in which the second owner takes over, and checks that few
// jobs beyond those of the time until then are not served in time.
func assertTakenOver(t *testing.T, pattern owners) {
	pattern.load, pattern.upstreams = 0.8, unevenUpstreams
	for _, queues := range []bool{false, true} {
		pattern.queues = queues
		var sum ownersPlay
		for seed := range uint64(ownersSeeds) {
			sum.add(playOwners(t, pattern, 1+seed))
		}
		t.Logf("queues %v: %+v", queues, sum)
		lost := float64(linkTimeout+time.Second) / float64(unevenSpan)
		assert.Greater(t, float64(sum.inTime), (1-lost)*float64(sum.jobs))
	}
}

// Guards against load figures that stop, are all 100 or jump, and keep owners from upstreams
// that are free, or one of two from all of them.
func TestWrongLoads(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	for name, says := range map[string]func(load citronstream.ServerLoad, since time.Duration) citronstream.ServerLoad{
		"stop": func(load citronstream.ServerLoad, since time.Duration) citronstream.ServerLoad {
			if since > handOverAt {
				return citronstream.ServerLoad{}
			}
			return load
		},
		"all say 100": func(citronstream.ServerLoad, time.Duration) citronstream.ServerLoad {
			return citronstream.ServerLoad{Running: 100, Waiting: 100, Slots: 1}
		},
		"jump": func(citronstream.ServerLoad, time.Duration) citronstream.ServerLoad {
			return citronstream.ServerLoad{Running: random.IntN(2), Waiting: random.IntN(20), Slots: 1}
		},
	} {
		t.Run(name, func(t *testing.T) {
			one := playOwners(t, owners{load: 0.8, upstreams: unevenUpstreams, says: says}, 1)
			two := playOwners(t, owners{load: 0.8, second: 0.5, upstreams: unevenUpstreams, says: says}, 1)
			t.Logf("one owner %+v; two %+v", one, two)
			assert.Greater(t, float64(one.inTime), 0.95*float64(one.jobs))
			assert.Greater(t, float64(two.inTime), 0.7*float64(two.jobs))
		})
	}
}

func (op *ownersPlay) add(other ownersPlay) {
	op.jobs += other.jobs
	op.inTime += other.inTime
	op.late += other.late
	op.failed += other.failed
	op.refused += other.refused
	op.batches += other.batches
	op.uneven += other.uneven / ownersSeeds
	op.idle += other.idle / ownersSeeds
}

// Guards against upstreams that are left out although no other owner uses them: because
// their answers count their own batch, now or always, or because they ask for a pause.
func TestNoOtherOwner(t *testing.T) {
	play := func(name string, says func(batch int) citronstream.ServerLoad) {
		t.Run(name, func(t *testing.T) {
			a := upstream("a", "")
			hs := newHarness(t, a)
			for i := range 8 {
				done := hs.submit(newJob(fmt.Sprint(i), 2, func(jo *citronstream.Job) { jo.Bytes = 1 }))
				se := hs.batch()
				hs.clk.Advance(expected(&spec, 2))
				a.ObserveLoad(says(i), hs.clk.Now())
				hs.finish(se)
				hs.result(done)
			}
			assert.Zero(t, hs.Counts().Contested)
		})
	}
	play("counts its own batch", func(int) citronstream.ServerLoad { return citronstream.ServerLoad{Running: 1, Slots: 1} })
	play("counts none", func(int) citronstream.ServerLoad { return citronstream.ServerLoad{Slots: 1} })
	play("counts its own batch at times", func(batch int) citronstream.ServerLoad {
		return citronstream.ServerLoad{Running: batch % 2, Slots: 1}
	})
	t.Run("one slow batch", func(t *testing.T) {
		a := upstream("a", "")
		hs := newHarness(t, a)
		began := hs.clk.Now()
		var contested time.Duration // when the upstream was last taken for shared
		for i := range 100 {
			done := hs.submit(newJob(fmt.Sprint(i), 2, func(jo *citronstream.Job) { jo.Bytes = 1 }))
			hs.Owner.mu.Lock()
			paused := hs.servers[a].pausedUntil.Sub(hs.clk.Now())
			hs.Owner.mu.Unlock()
			hs.clk.Advance(max(0, paused) + 1)
			hs.Tick()
			se, took := hs.batch(), expected(&spec, 2)
			if i == 5 {
				took *= 2
			}
			hs.clk.Advance(took)
			before := hs.Counts().Contested
			a.ObserveLoad(citronstream.ServerLoad{Running: min(i%3, 1), Slots: 1}, hs.clk.Now())
			hs.finish(se)
			hs.result(done)
			if hs.Counts().Contested > before {
				contested = hs.clk.Since(began)
			}
		}
		assert.NotZero(t, contested)
		assert.Less(t, contested, 2*sharedFor)
	})
	t.Run("pause", func(t *testing.T) {
		a, b := upstream("a", ""), upstream("b", "")
		a.Self, b.Self = selfreport.New().Of("a", 1), selfreport.New().Of("b", 1)
		hs := newHarness(t, a, b)
		hs.submit(newJob("1", 1, nil))
		se := hs.batch()
		se.nd.Self.Pause(time.Second, hs.clk.Now())
		se.end <- batchEnd{refused: true}
		assert.NotEqual(t, se.nd.ID, hs.batch().nd.ID)
		assert.Zero(t, hs.Counts().Contested)
	})
}

// Guards against an upstream with batches of another owner that is asked at once again, gets
// a whole batch after it refused one, or a job that was refused before while others may take
// it; and against a job that waits for good as all have refused.
func TestContestedUpstream(t *testing.T) {
	hs := newHarness(t, upstream("a", ""), upstream("b", ""))
	hs.submit(newJob("1", 2, nil))
	refused := hs.batch()
	refused.end <- batchEnd{refused: true}
	other := hs.batch()
	require.NotEqual(t, refused.nd.ID, other.nd.ID)
	hs.submit(newJob("2", 4, nil))
	hs.noBatch()
	hs.clk.Advance(3 * fullBackoff / 2)
	hs.Tick()
	probe := hs.batch()
	assert.Equal(t, refused.nd.ID, probe.nd.ID)
	assert.Equal(t, []string{"2"}, ids(probe))
	probe.end <- batchEnd{refused: true}
	hs.noBatch()
	hs.clk.Advance(3 * fullBackoff)
	hs.Tick()
	hs.noBatch() // both jobs were refused before
	other.end <- batchEnd{refused: true}
	require.Eventually(t, func() bool { return hs.Counts().Contested == 3 }, 5*time.Second, time.Millisecond)
	hs.clk.Advance(3 * fullBackoff)
	hs.Tick()
	assert.Len(t, hs.batch().items, 1)
}
