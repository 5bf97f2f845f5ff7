package owner

import (
	"context"
	"fmt"
	"math/rand/v2"
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

// A batch at an upstream that turned slow is waited for while the upstream says that it
// works on it. Guards against sound batches that are cut, whose upstream finishes them
// all the same, and begun again elsewhere.
func TestSlowBatchIsWaitedFor(t *testing.T) {
	hs := newHarness(t, upstream("a", ""))
	hs.fa.working.Store(saysWorking)
	done := hs.submit(newJob("1", 1, nil))
	se := hs.batch()
	hs.advance(720 * time.Millisecond) // the first check
	for range 4 {                      // 2.3 s in all; before, the batch was cut after 930 ms
		hs.advance(checkInterval)
	}
	handles := hs.finish(se)
	assert.Equal(t, handles, hs.result(done).Handles)
	assert.Equal(t, uint64(1), hs.Counts().Batches)
}

// A batch that its upstream does not work on is sent again without waiting for longer.
func TestLostAnswerIsNotWaitedFor(t *testing.T) {
	hs := newHarness(t, upstream("a", ""), upstream("b", ""))
	hs.fa.working.Store(saysIdle)
	hs.submit(newJob("1", 1, nil))
	first := hs.batch()
	hs.advance(720 * time.Millisecond) // the first check
	hs.advance(answerGrace)
	assert.NotEqual(t, first.nd.ID, hs.batch().nd.ID)
}

// advance moves the clock once the only batch is being watched.
func (hs *harness) advance(by time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	require.NoError(hs.t, hs.clk.BlockUntilContext(ctx, 1))
	hs.clk.Advance(by)
}

func TestPace(t *testing.T) {
	now := clockwork.NewFakeClock().Now()
	assertPace := func(want float64, pa *pace, at time.Time) {
		t.Helper()
		assert.InDelta(t, want, pa.value(at), 0.01)
	}
	var pa pace
	assertPace(1, &pa, now)
	pa.done(1.2, now)
	assertPace(1.2, &pa, now)
	pa.overdue(4, now)
	assertPace(4, &pa, now)
	pa.overdue(3, now)
	assertPace(4, &pa, now) // the batch may have begun late
	pa.done(1, now)
	assertPace(2.5, &pa, now)
	assertPace(1, &pa, now.Add(10*paceFade)) // unused, it is tried again
}

// slowUpstream runs one batch at a time, as the users' stage services do: a batch that
// has begun goes on when its caller closes, others wait for it.
type slowUpstream struct {
	turn  chan struct{} // held while a batch runs
	begin time.Time
	x     float64 // how many times as long batches take that begin from slowFrom to slowUntil
}

// hangs is the x of an upstream that works on its batches until their caller closes.
const hangs = 1e6

const (
	slowFrom  = 2 * time.Second
	slowUntil = 7500 * time.Millisecond
	playFor   = 9 * time.Second
)

// slowService implements Batcher in simulated time.
type slowService struct {
	clk       citronstream.Clock
	spec      citronstream.BatchSpec
	upstreams map[string]*slowUpstream
	mu        sync.Mutex
	results   int
	computed  int // pieces, also those of batches whose caller had closed
}

func (ss *slowService) Run(ctx context.Context, nd *node.Node, items []citronstream.BatchItem) ([]citronstream.ItemResult, bool, error) {
	up := ss.upstreams[nd.ID]
	select {
	case <-up.turn:
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
	took := expected(&ss.spec, len(items))
	if since := ss.clk.Since(up.begin); since >= slowFrom && since < slowUntil {
		took = time.Duration(up.x * float64(took))
	}
	if took > playFor {
		<-ctx.Done()
		up.turn <- struct{}{}
		return nil, false, ctx.Err()
	}
	ended := make(chan struct{})
	ss.clk.AfterFunc(took, func() {
		ss.mu.Lock()
		ss.computed += len(items)
		ss.mu.Unlock()
		up.turn <- struct{}{}
		close(ended)
	})
	select {
	case <-ended:
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
	ss.mu.Lock()
	defer ss.mu.Unlock()
	var results []citronstream.ItemResult
	for range items {
		ss.results++
		results = append(results, citronstream.ItemResult{Handle: fmt.Sprint(ss.results)})
	}
	return results, false, nil
}

func (ss *slowService) Working(_ context.Context, nd *node.Node) (bool, error) {
	return len(ss.upstreams[nd.ID].turn) == 0, nil
}
func (ss *slowService) Release(context.Context, *node.Node, []string) {}
func (ss *slowService) Free(context.Context, *node.Node) (least, most int, err error) {
	return 0, 0, nil
}
func (ss *slowService) ResultAddress(string) string { return "" }

const slowUpstreams = 42 // upstreams of the simulated service

// newSlowService returns the service and its upstreams. Of these the first are slow by x
// for a while, or absent.
func newSlowService(clk citronstream.Clock, slow int, x float64, absent bool) (*slowService, []*node.Node) {
	ss := &slowService{clk: clk, upstreams: make(map[string]*slowUpstream), spec: citronstream.BatchSpec{
		Calls: 1, Items: 10, CallTime: 240 * time.Millisecond, ItemTime: 21 * time.Millisecond, ResultLife: 4 * time.Second,
	}}
	var nodes []*node.Node
	for i := range slowUpstreams {
		up := &slowUpstream{turn: make(chan struct{}, 1), begin: clk.Now(), x: 1}
		up.turn <- struct{}{}
		if i < slow {
			up.x = x
		}
		if i >= slow || !absent {
			nd := upstream(fmt.Sprint("u", i), "")
			ss.upstreams[nd.ID] = up
			nodes = append(nodes, nd)
		}
	}
	return ss, nodes
}

// tick updates the owner until ctx ends.
func tick(ctx context.Context, clk citronstream.Clock, ow *Owner) {
	ticker := clk.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			ow.Tick()
		}
	}
}

// playSlow plays jobs against 42 upstreams, of which some are slow for a while, or not
// there at all, and returns how many jobs came, ended late, and how many pieces were
// computed for nothing. The jobs ask for this share of what the sound upstreams can do.
func playSlow(t *testing.T, seed uint64, slow int, x, load float64, absent bool) (asked, late, wasted int) {
	synctest.Test(t, func(t *testing.T) {
		clk := clockwork.NewRealClock() // of the bubble
		ss, nodes := newSlowService(clk, slow, x, absent)
		batches := ss.spec
		ctx, cancel := context.WithCancel(context.Background())
		ow := New(ctx, clk, logr.Discard(), "s", batches, ss, &budget{left: 1 << 20})
		ow.Replace(nodes)
		ticks := make(chan struct{})
		go func() {
			defer close(ticks)
			tick(ctx, clk, ow)
		}()
		random := rand.New(rand.NewPCG(seed, 0))
		rate := load * float64((slowUpstreams-slow)*batches.Items) / expected(&batches, batches.Items).Seconds()
		slacks := []time.Duration{400 * time.Millisecond, time.Second, 2 * time.Second} // the three kinds of the users' largest site
		var mu sync.Mutex
		pieces, done := 0, 0
		for began := clk.Now(); clk.Since(began) < playFor; {
			count, slack := 1+random.IntN(4), slacks[random.IntN(len(slacks))]
			jo := newJob(fmt.Sprint(asked), count, func(jo *citronstream.Job) { jo.Slack, jo.RouteRank = slack, int(slack/time.Second) })
			due := clk.Now().Add(slack + expected(&batches, batches.Items))
			asked, pieces = asked+1, pieces+count
			ow.Submit(jo, func(re citronstream.JobResult) {
				mu.Lock()
				defer mu.Unlock()
				done++
				if re.Fault != nil || clk.Now().After(due) {
					late++
				}
			}, func() {})
			clk.Sleep(time.Duration(random.ExpFloat64() * float64(count) / rate * float64(time.Second)))
		}
		clk.Sleep(15 * time.Second) // to the deadline of the last job
		mu.Lock()
		require.Equal(t, asked, done)
		mu.Unlock()
		cancel()
		ow.Wait()
		<-ticks
		wasted = ss.computed - pieces
	})
	return asked, late, wasted
}

// Load pattern: under load, three in ten upstreams of a service take four times as long
// for some seconds. Late are at most the batches that an upstream has when it turns slow;
// the rest is served as if these were not there. Nothing is computed for nothing.
func TestSlowUpstreamsUnderLoad(t *testing.T) {
	const slow, items = 13, 10
	for _, seed := range []uint64{1, 2, 3} {
		for _, load := range []float64{0.7, 0.9, 1.3} {
			t.Run(fmt.Sprintf("seed %d, load %v", seed, load), func(t *testing.T) {
				asked, without, _ := playSlow(t, seed, slow, 4, load, true)
				_, late, wasted := playSlow(t, seed, slow, 4, load, false)
				t.Logf("%d jobs, late %d, without the slow upstreams %d; %d pieces computed for nothing", asked, late, without, wasted)
				assert.LessOrEqual(t, late, without+slow*items)
				assert.Zero(t, wasted)
			})
		}
	}
}

// Load pattern: the same upstreams say that they work, and never answer. That is known
// later than before, but fewer batches go to them.
func TestHangingUpstreamsUnderLoad(t *testing.T) {
	const slow, items = 13, 10
	for _, seed := range []uint64{1, 2, 3} {
		for _, load := range []float64{0.7, 0.9, 1.3} {
			t.Run(fmt.Sprintf("seed %d, load %v", seed, load), func(t *testing.T) {
				asked, without, _ := playSlow(t, seed, slow, hangs, load, true)
				_, late, _ := playSlow(t, seed, slow, hangs, load, false)
				t.Logf("%d jobs, late %d, without the hanging upstreams %d", asked, late, without)
				assert.LessOrEqual(t, late, without+slow*items)
			})
		}
	}
}
