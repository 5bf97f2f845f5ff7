package owner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// sent is a batch that the owner has sent and that waits for its end.
type sent struct {
	no    *node.Node
	items []citronstream.BatchItem
	end   chan ended
}

type ended struct {
	results []citronstream.ItemResult
	refused bool
	err     error
}

// fake implements Batcher.
type fake struct {
	batches  chan sent
	mu       sync.Mutex
	released []string
	hold     chan struct{} // holds releases while it is open
	free     atomic.Int64  // what the upstreams report; negative for an error
}

func (fa *fake) Run(ctx context.Context, no *node.Node, items []citronstream.BatchItem) ([]citronstream.ItemResult, bool, error) {
	se := sent{no, items, make(chan ended, 1)}
	fa.batches <- se
	select {
	case en := <-se.end:
		return en.results, en.refused, en.err
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
}

func (fa *fake) Release(_ context.Context, _ *node.Node, handles []string) {
	if fa.hold != nil {
		<-fa.hold
	}
	fa.mu.Lock()
	defer fa.mu.Unlock()
	fa.released = append(fa.released, handles...)
}

func (fa *fake) Free(context.Context, *node.Node) (int, error) {
	free := int(fa.free.Load())
	if free < 0 {
		return 0, errors.New("no report")
	}
	return free, nil
}

func (fa *fake) Maker(string) string { return "" }

func (fa *fake) releases() []string {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	return append([]string(nil), fa.released...)
}

type budget struct{ left int }

func (bu *budget) First(string) {}

func (bu *budget) Take(_ string, count int) int {
	got := min(count, bu.left)
	bu.left -= got
	return got
}

// real is the clock of waits for goroutines; it decides nothing.
var real = clockwork.NewRealClock()

// bench is an owner with its surroundings.
type bench struct {
	*Owner
	t    testing.TB
	clk  *clockwork.FakeClock
	fa   *fake
	bu   *budget
	next int
	// fetched are the IDs of jobs whose inputs have been read; mu of the owner guards it.
	fetched []string
}

var spec = citronstream.BatchSpec{
	Calls: 1, Items: 4, CallTime: 200 * time.Millisecond, ItemTime: 10 * time.Millisecond,
	ResultBytes: 800, ResultLife: 4 * time.Second,
}

func newBench(t testing.TB, nodes ...*node.Node) *bench {
	ctx, cancel := context.WithCancel(context.Background())
	be := &bench{t: t, clk: clockwork.NewFakeClock(), fa: &fake{batches: make(chan sent, 64)}, bu: &budget{left: 100}}
	be.fa.free.Store(-1)
	be.Owner = New(ctx, be.clk, logr.Discard(), "s", spec, be.fa, be.bu)
	be.Replace(nodes)
	t.Cleanup(func() { cancel(); be.Wait() })
	return be
}

func upstream(id, zone string) *node.Node {
	return node.New(citronstream.Member{ID: id, Zone: zone, Service: "s"})
}

func work(id string, pieces int, change func(jo *citronstream.Job)) citronstream.Job {
	jo := citronstream.Job{ID: id, Service: "s", Bytes: 100, Left: 10 * time.Second, Slack: time.Second}
	for i := range pieces {
		jo.Pieces = append(jo.Pieces, i)
	}
	if change != nil {
		change(&jo)
	}
	return jo
}

func (be *bench) submit(jo citronstream.Job) chan citronstream.JobResult {
	result := make(chan citronstream.JobResult, 1)
	be.Submit(jo, func(re citronstream.JobResult) { result <- re }, func() { be.fetched = append(be.fetched, jo.ID) })
	return result
}

// batch returns the next batch that was sent.
func (be *bench) batch() sent {
	select {
	case se := <-be.fa.batches:
		return se
	case <-real.After(5 * time.Second):
		require.Fail(be.t, "no batch was sent")
		return sent{}
	}
}

func (be *bench) none() {
	select {
	case se := <-be.fa.batches:
		assert.Fail(be.t, "a batch was sent", "%v", se.items)
	case <-real.After(20 * time.Millisecond):
	}
}

// done ends a batch with results.
func (be *bench) done(se sent) []string {
	var en ended
	var handles []string
	for range se.items {
		be.next++
		handle := fmt.Sprintf("%s/%d", se.no.ID, be.next)
		handles = append(handles, handle)
		en.results = append(en.results, citronstream.ItemResult{Handle: handle})
	}
	se.end <- en
	return handles
}

func (be *bench) result(from chan citronstream.JobResult) citronstream.JobResult {
	select {
	case re := <-from:
		return re
	case <-real.After(5 * time.Second):
		require.Fail(be.t, "the job has not ended")
		return citronstream.JobResult{}
	}
}

func ids(se sent) (list []string) {
	for _, it := range se.items {
		list = append(list, it.RequestID)
	}
	return list
}

// The pieces of several requests join in one call, since a call takes long by itself.
func TestBatchJoinsRequests(t *testing.T) {
	be := newBench(t, upstream("a", ""))
	first := be.submit(work("1", 1, nil))
	one := be.batch()
	second, third := be.submit(work("2", 1, nil)), be.submit(work("3", 2, nil))
	be.none() // one call at a time
	be.done(one)
	two := be.batch()
	assert.Equal(t, []string{"2", "3", "3"}, ids(two))
	handles := be.done(two)
	assert.Len(t, be.result(first).Handles, 1)
	assert.Equal(t, handles[:1], be.result(second).Handles)
	assert.Equal(t, handles[1:], be.result(third).Handles)
}

// A job that can't reach its target waits behind those that can; one that
// frees memory does not, as others wait for that memory.
func TestOrder(t *testing.T) {
	be := newBench(t, upstream("a", ""))
	be.submit(work("0", 4, nil))
	be.submit(work("late", 2, func(jo *citronstream.Job) { jo.Slack = -time.Second }))
	be.submit(work("long", 2, func(jo *citronstream.Job) { jo.Slack = 2 * time.Second }))
	be.submit(work("short", 2, nil))
	be.submit(work("frees", 2, func(jo *citronstream.Job) { jo.Slack = -time.Second; jo.FreesMemory = true }))
	be.done(be.batch())
	assert.Equal(t, []string{"frees", "frees", "short", "short"}, ids(be.batch()))
}

// Results lie in the upstream's memory until they are released and the
// upstream has answered: a batch may overtake the release.
func TestMemory(t *testing.T) {
	no := upstream("a", "")
	be := newBench(t, no)
	be.fa.hold = make(chan struct{})
	var handles []string
	for _, id := range []string{"1", "2"} {
		result := be.submit(work(id, 4, nil))
		handles = append(handles, be.done(be.batch())...)
		be.result(result)
	}
	be.submit(work("3", 2, nil))
	be.none()
	be.Release(handles[:4], func(string) *node.Node { return no })
	be.none()
	close(be.fa.hold)
	assert.Equal(t, []string{"3", "3"}, ids(be.batch()))
}

// An owner that begins asks for the memory that results of the owner before it
// take. They vanish within the life of a result.
func TestMemoryOfAnEarlierOwner(t *testing.T) {
	no := upstream("a", "")
	be := newBench(t, no)
	be.fa.free.Store(int64(spec.ResultBytes - 600))
	first := be.submit(work("1", 1, nil))
	be.done(be.batch())
	be.result(first)
	assert.Eventually(t, func() bool {
		be.mu.Lock()
		defer be.mu.Unlock()
		return be.servers[no].foreign == 600
	}, 5*time.Second, time.Millisecond)
	be.submit(work("2", 3, nil))
	assert.Len(t, be.batch().items, 1, "the results of before and that of the first job leave room for one")
}

// A result that nobody releases is dropped by its maker after its life.
func TestResultLife(t *testing.T) {
	be := newBench(t, upstream("a", ""))
	for _, id := range []string{"1", "2"} {
		result := be.submit(work(id, 4, nil))
		be.done(be.batch())
		be.result(result)
	}
	be.submit(work("3", 1, func(jo *citronstream.Job) { jo.Slack = time.Minute; jo.Left = time.Hour }))
	be.none()
	be.clk.Advance(spec.ResultLife + time.Millisecond)
	be.Tick()
	assert.Equal(t, []string{"3"}, ids(be.batch()))
}

// A broken batch is sent again within the budget, and not beyond it.
func TestBrokenBatch(t *testing.T) {
	be := newBench(t, upstream("a", ""), upstream("b", ""))
	be.bu.left = 2
	result := be.submit(work("1", 2, nil))
	one := be.batch()
	one.end <- ended{err: errors.New("broken")}
	two := be.batch()
	assert.NotEqual(t, one.no.ID, two.no.ID, "the upstream that broke is passed over")
	two.end <- ended{err: errors.New("broken")}
	re := be.result(result)
	require.NotNil(t, re.Fault)
	assert.Equal(t, citronstream.NotRun, re.Fault.Verdict)
}

// A batch that reached no upstream costs no repeat.
func TestUnreachedUpstream(t *testing.T) {
	one, two := upstream("a", ""), upstream("b", "")
	be := newBench(t, one, two)
	be.bu.left = 0
	result := be.submit(work("1", 2, nil))
	first := be.batch()
	first.no.Broke(be.clk.Now())
	first.end <- ended{refused: true, err: errors.New("no route to host")}
	second := be.batch()
	assert.NotEqual(t, first.no.ID, second.no.ID)
	be.done(second)
	assert.Nil(t, be.result(result).Fault)
}

// Pieces without room are sent again elsewhere, those that were made are kept.
func TestNoRoom(t *testing.T) {
	be := newBench(t, upstream("a", ""))
	result := be.submit(work("1", 2, nil))
	be.batch().end <- ended{results: []citronstream.ItemResult{{Handle: "h0"}, {Fault: citronstream.ItemNoMemory}}}
	two := be.batch()
	assert.Equal(t, 1, two.items[0].Piece)
	two.end <- ended{results: []citronstream.ItemResult{{Handle: "h1"}}}
	assert.Equal(t, []string{"h0", "h1"}, be.result(result).Handles)
}

// A lost input ends the job, and what it has made is released.
func TestInputGone(t *testing.T) {
	be := newBench(t, upstream("a", ""))
	result := be.submit(work("1", 2, nil))
	be.batch().end <- ended{results: []citronstream.ItemResult{{Handle: "h0"}, {Fault: citronstream.ItemInputLost}}}
	assert.True(t, be.result(result).InputLost)
	assert.Eventually(t, func() bool { return len(be.fa.releases()) == 1 }, 5*time.Second, time.Millisecond)
}

// A job whose inputs have expired is not sent: the call would be in vain.
func TestStaleInputs(t *testing.T) {
	be := newBench(t, upstream("a", ""))
	be.submit(work("0", 4, nil))
	result := be.submit(work("1", 1, func(jo *citronstream.Job) { jo.InputTTL = time.Second; jo.Slack = time.Minute }))
	be.clk.Advance(2 * time.Second)
	be.Tick()
	assert.True(t, be.result(result).InputLost)
}

// A job whose inputs are about to expire comes before those that are due
// earlier for their target only; a late one whose inputs have expired is
// refused, as to make them again would be in vain.
func TestInputsExpire(t *testing.T) {
	be := newBench(t, upstream("a", ""))
	be.submit(work("0", 4, nil))
	late := be.submit(work("late", 4, func(jo *citronstream.Job) { jo.Slack = -time.Millisecond; jo.InputTTL = time.Second }))
	be.submit(work("soon", 4, func(jo *citronstream.Job) { jo.Slack = 3 * time.Second }))
	be.submit(work("fresh", 4, func(jo *citronstream.Job) { jo.Slack = time.Minute; jo.InputTTL = 2 * time.Second }))
	be.done(be.batch())
	assert.Equal(t, "fresh", be.batch().items[0].RequestID)
	be.clk.Advance(1100 * time.Millisecond)
	be.Tick()
	re := be.result(late)
	assert.False(t, re.InputLost)
	assert.Equal(t, citronstream.CodeOverloaded, re.Fault.Code)
}

// reading is a job of the second stage.
func reading(id string, pieces int) citronstream.Job {
	return work(id, pieces, func(jo *citronstream.Job) { jo.Inputs, jo.InputBytes = []string{"h"}, 1000000 })
}

func (be *bench) read() []string {
	be.mu.Lock()
	defer be.mu.Unlock()
	return append([]string(nil), be.fetched...)
}

// Inputs are no longer needed once the upstreams of all pieces had time to
// read them, well before the end of the work.
func TestInputsAreRead(t *testing.T) {
	be := newBench(t, upstream("a", ""))
	sp := spec
	sp.LinkRate = 1000
	be.Configure(sp)
	first := be.submit(reading("1", 6))
	one := be.batch()
	require.Len(t, one.items, 4)
	fetch := be.patience.Time(4000000, sp.LinkRate)
	require.Positive(t, fetch)
	require.NoError(t, be.clk.BlockUntilContext(t.Context(), 2))
	be.clk.Advance(fetch)
	be.done(one)
	two := be.batch()
	assert.Empty(t, be.read(), "two pieces wait")
	require.NoError(t, be.clk.BlockUntilContext(t.Context(), 2))
	be.clk.Advance(fetch)
	assert.Eventually(t, func() bool { return len(be.read()) == 1 }, 5*time.Second, time.Millisecond)
	two.end <- ended{err: errors.New("reset")}
	assert.True(t, be.result(first).InputLost, "the inputs were given up")
}

// Inputs that were given up too early are kept longer from then on.
func TestInputsAreKeptLonger(t *testing.T) {
	be := newBench(t, upstream("a", ""))
	sp := spec
	sp.LinkRate = 1000
	be.Configure(sp)
	first := be.submit(reading("1", 1))
	one := be.batch()
	fetch := be.patience.Time(1000000, sp.LinkRate)
	require.NoError(t, be.clk.BlockUntilContext(t.Context(), 2))
	be.clk.Advance(fetch)
	assert.Eventually(t, func() bool { return len(be.read()) == 1 }, 5*time.Second, time.Millisecond)
	one.end <- ended{results: []citronstream.ItemResult{{Fault: citronstream.ItemInputLost}}}
	assert.True(t, be.result(first).InputLost)
	be.submit(reading("2", 1))
	be.batch()
	require.NoError(t, be.clk.BlockUntilContext(t.Context(), 2))
	be.clk.Advance(fetch)
	real.Sleep(20 * time.Millisecond)
	assert.Len(t, be.read(), 1)
	be.clk.Advance(fetch)
	assert.Eventually(t, func() bool { return len(be.read()) == 2 }, 5*time.Second, time.Millisecond)
}

// The end of a request withdraws its job; what is made then is released.
func TestCancel(t *testing.T) {
	be := newBench(t, upstream("a", ""))
	result := be.submit(work("1", 1, nil))
	one := be.batch()
	waits := be.submit(work("2", 1, nil))
	be.Cancel(citronstream.JobKey{ID: "1", Service: "s"})
	be.Cancel(citronstream.JobKey{ID: "2", Service: "s"})
	assert.Equal(t, citronstream.CodeCanceled, be.result(result).Fault.Code)
	assert.Equal(t, citronstream.CodeCanceled, be.result(waits).Fault.Code)
	handles := be.done(one)
	assert.Eventually(t, func() bool { return assert.ObjectsAreEqual(handles, be.fa.releases()) }, 5*time.Second, time.Millisecond)
	be.none()
}

// A late job is ended rather than held to its deadline, and one past it too.
func TestLateJobsEnd(t *testing.T) {
	be := newBench(t, upstream("a", ""))
	be.submit(work("0", 4, nil))
	late := be.submit(work("1", 1, func(jo *citronstream.Job) { jo.Slack = -time.Millisecond }))
	past := be.submit(work("2", 1, func(jo *citronstream.Job) {
		jo.Slack = time.Hour
		jo.Left = time.Second
		jo.LaterStages = 500 * time.Millisecond
	}))
	be.clk.Advance(600 * time.Millisecond)
	be.Tick()
	assert.Equal(t, citronstream.CodeDeadline, be.result(past).Fault.Code)
	assert.Empty(t, late)
	be.clk.Advance(lateWait)
	be.Tick()
	fa := be.result(late).Fault
	assert.Equal(t, citronstream.CodeOverloaded, fa.Code)
	assert.Equal(t, citronstream.NotRun, fa.Verdict)
}

// An owner that leaves hands over what it has not sent, and finishes the rest.
func TestLeave(t *testing.T) {
	be := newBench(t, upstream("a", ""))
	runs := be.submit(work("1", 1, nil))
	one := be.batch()
	waits := be.submit(work("2", 1, nil))
	be.Leave()
	assert.Equal(t, citronstream.CodeLeaving, be.result(waits).Fault.Code)
	be.done(one)
	assert.Nil(t, be.result(runs).Fault)
}

// An upstream that left the list gets no new batch.
func TestRemovedUpstream(t *testing.T) {
	no := upstream("a", "")
	be := newBench(t, no)
	be.Replace(nil)
	be.submit(work("1", 1, nil))
	be.none()
	be.Replace([]*node.Node{no})
	be.batch()
}

// Results are made in the zone where they are needed when an upstream there is free.
func TestZone(t *testing.T) {
	be := newBench(t, upstream("a", "z1"), upstream("b", "z2"))
	be.submit(work("1", 1, func(jo *citronstream.Job) { jo.Zone = "z2" }))
	assert.Equal(t, "b", be.batch().no.ID)
	be.submit(work("2", 1, func(jo *citronstream.Job) { jo.Zone = "z2" }))
	assert.Equal(t, "a", be.batch().no.ID, "a free upstream elsewhere is better than a wait")
}

// The load told to other entries has the pieces by the time until they must start.
func TestLoad(t *testing.T) {
	be := newBench(t, upstream("a", ""))
	be.submit(work("0", 4, nil))
	be.submit(work("1", 2, func(jo *citronstream.Job) { jo.Slack = 300 * time.Millisecond }))
	be.submit(work("2", 3, func(jo *citronstream.Job) { jo.Slack = 3 * time.Second }))
	be.submit(work("3", 1, func(jo *citronstream.Job) { jo.Slack = -time.Second }))
	ql := be.Load()
	assert.Equal(t, [6]int{0, 2, 0, 0, 3, 0}, ql.Pending)
	assert.Equal(t, 1, ql.Late)
	assert.InDelta(t, 4/0.24, ql.Rate, 0.01)
	assert.Zero(t, ql.Wait(100*time.Millisecond))
	assert.InDelta(t, 2/ql.Rate, ql.Wait(time.Second).Seconds(), 0.001)
	assert.InDelta(t, 6/ql.Rate, ql.Wait(-1).Seconds(), 0.001)
}
