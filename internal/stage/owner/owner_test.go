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

// sentBatch is a batch that the owner has sent and that has not ended.
type sentBatch struct {
	nd    *node.Node
	items []citronstream.BatchItem
	end   chan batchEnd
}

type batchEnd struct {
	results []citronstream.ItemResult
	refused bool
	err     error
}

// fakeBatcher implements Batcher.
type fakeBatcher struct {
	rounding int // of the free memory that upstreams report
	batches  chan sentBatch
	mu       sync.Mutex
	released []string
	hold     chan struct{} // blocks releases until it is closed
	free     atomic.Int64  // free bytes that the upstreams report; negative for an error
	working  atomic.Int64  // whether they report that they work, see the constants
}

// Values of fakeBatcher.working.
const (
	saysNothing int64 = iota
	saysWorking
	saysIdle
)

func (fa *fakeBatcher) Run(ctx context.Context, nd *node.Node, items []citronstream.BatchItem) ([]citronstream.ItemResult, bool, error) {
	se := sentBatch{nd, items, make(chan batchEnd, 1)}
	fa.batches <- se
	select {
	case en := <-se.end:
		return en.results, en.refused, en.err
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
}

func (fa *fakeBatcher) Release(_ context.Context, _ *node.Node, handles []string) {
	if fa.hold != nil {
		<-fa.hold
	}
	fa.mu.Lock()
	defer fa.mu.Unlock()
	fa.released = append(fa.released, handles...)
}

func (fa *fakeBatcher) Free(context.Context, *node.Node) (least, most int, err error) {
	free := int(fa.free.Load())
	if free < 0 {
		return 0, 0, errors.New("no report")
	}
	return free - fa.rounding, free, nil
}

func (fa *fakeBatcher) Working(context.Context, *node.Node) (bool, error) {
	switch fa.working.Load() {
	case saysWorking:
		return true, nil
	case saysIdle:
		return false, nil
	}
	return false, errors.New("no report")
}

func (fa *fakeBatcher) ResultAddress(string) string { return "" }

func (fa *fakeBatcher) releases() []string {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	return append([]string(nil), fa.released...)
}

type budget struct{ left int }

func (bu *budget) First(string) {}

func (bu *budget) TakeAll(_ string, count int) bool {
	if count > bu.left {
		return false
	}
	bu.left -= count
	return true
}

func (bu *budget) Return(_ string, count int, _ time.Time) { bu.left += count }

// realClock bounds waits for goroutines; no result depends on it.
var realClock = clockwork.NewRealClock()

// harness is an owner with a fake clock, Batcher and Budget.
type harness struct {
	*Owner
	t    testing.TB
	clk  *clockwork.FakeClock
	fa   *fakeBatcher
	bu   *budget
	next int
	// fetched has the IDs of jobs whose inputs have been read; guarded by the
	// owner's mu.
	fetched []string
}

var spec = citronstream.BatchSpec{
	Calls: 1, Items: 4, CallTime: 200 * time.Millisecond, ItemTime: 10 * time.Millisecond,
	ResultBytes: 800, ResultLife: 4 * time.Second,
}

func newHarness(t testing.TB, nodes ...*node.Node) *harness {
	ctx, cancel := context.WithCancel(context.Background())
	hs := &harness{t: t, clk: clockwork.NewFakeClock(), fa: &fakeBatcher{batches: make(chan sentBatch, 64)}, bu: &budget{left: 100}}
	hs.fa.free.Store(-1)
	hs.Owner = New(ctx, hs.clk, logr.Discard(), "s", spec, hs.fa, hs.bu)
	hs.Replace(nodes)
	t.Cleanup(func() { cancel(); hs.Wait() })
	return hs
}

func upstream(id, zone string) *node.Node {
	return node.New(citronstream.Member{ID: id, Zone: zone, Service: "s"})
}

func newJob(id string, pieces int, change func(jo *citronstream.Job)) citronstream.Job {
	jo := citronstream.Job{ID: id, Service: "s", Bytes: 100, Left: 10 * time.Second, Slack: time.Second}
	for i := range pieces {
		jo.Pieces = append(jo.Pieces, i)
	}
	if change != nil {
		change(&jo)
	}
	return jo
}

func (hs *harness) submit(jo citronstream.Job) chan citronstream.JobResult {
	result := make(chan citronstream.JobResult, 1)
	hs.Submit(jo, func(re citronstream.JobResult) { result <- re }, func() { hs.fetched = append(hs.fetched, jo.ID) })
	return result
}

// batch returns the next batch sent.
func (hs *harness) batch() sentBatch {
	select {
	case se := <-hs.fa.batches:
		return se
	case <-realClock.After(5 * time.Second):
		require.Fail(hs.t, "no batch was sent")
		return sentBatch{}
	}
}

func (hs *harness) noBatch() {
	select {
	case se := <-hs.fa.batches:
		assert.Fail(hs.t, "a batch was sent", "%v", se.items)
	case <-realClock.After(20 * time.Millisecond):
	}
}

// finish ends a batch with results.
func (hs *harness) finish(se sentBatch) []string {
	var en batchEnd
	var handles []string
	for range se.items {
		hs.next++
		handle := fmt.Sprintf("%s/%d", se.nd.ID, hs.next)
		handles = append(handles, handle)
		en.results = append(en.results, citronstream.ItemResult{Handle: handle})
	}
	se.end <- en
	return handles
}

func (hs *harness) result(from chan citronstream.JobResult) citronstream.JobResult {
	select {
	case re := <-from:
		return re
	case <-realClock.After(5 * time.Second):
		require.Fail(hs.t, "the job has not ended")
		return citronstream.JobResult{}
	}
}

func ids(se sentBatch) (list []string) {
	for _, item := range se.items {
		list = append(list, item.RequestID)
	}
	return list
}

// Guards against a batch that is sent by what was known before a pause of the process.
func TestNoBatchWhileHeld(t *testing.T) {
	hs := newHarness(t, upstream("a", ""))
	hs.held = func() bool { return true }
	hs.submit(newJob("1", 1, nil))
	hs.Tick()
	hs.noBatch()
	hs.Replace([]*node.Node{upstream("b", "")}) // the other one has begun to leave
	hs.held = func() bool { return false }
	hs.Tick()
	se := hs.batch()
	assert.Equal(t, "b", se.nd.ID)
	hs.finish(se)
}

// The pieces of several requests are joined in one call, since each call has a
// high fixed cost.
func TestBatchJoinsRequests(t *testing.T) {
	hs := newHarness(t, upstream("a", ""))
	first := hs.submit(newJob("1", 1, nil))
	one := hs.batch()
	second, third := hs.submit(newJob("2", 1, nil)), hs.submit(newJob("3", 2, nil))
	hs.noBatch() // one call at a time
	hs.finish(one)
	two := hs.batch()
	assert.Equal(t, []string{"2", "3", "3"}, ids(two))
	handles := hs.finish(two)
	assert.Len(t, hs.result(first).Handles, 1)
	assert.Equal(t, handles[:1], hs.result(second).Handles)
	assert.Equal(t, handles[1:], hs.result(third).Handles)
}

// A job that can't reach its target waits behind those that can. One that frees
// memory waits behind these only, and not behind others that can't.
func TestOrder(t *testing.T) {
	hs := newHarness(t, upstream("a", ""))
	sp := spec
	sp.ResultBytes = 1200
	hs.Configure(sp)
	hs.submit(newJob("0", 4, nil))
	hs.submit(newJob("late", 2, func(jo *citronstream.Job) { jo.Slack = -time.Second }))
	hs.submit(newJob("long", 2, func(jo *citronstream.Job) { jo.Slack = 2 * time.Second }))
	hs.submit(newJob("short", 2, nil))
	hs.submit(newJob("frees", 2, func(jo *citronstream.Job) { jo.Slack = -time.Second; jo.FreesMemory = true }))
	hs.finish(hs.batch())
	second := hs.batch()
	assert.Equal(t, []string{"short", "short", "long", "long"}, ids(second))
	hs.finish(second)
	assert.Equal(t, []string{"frees", "frees", "late", "late"}, ids(hs.batch()))
}

// Results occupy the upstream's memory until they are released and the upstream
// has answered, as a batch may overtake the release.
func TestMemory(t *testing.T) {
	nd := upstream("a", "")
	hs := newHarness(t, nd)
	hs.fa.hold = make(chan struct{})
	var handles []string
	for _, id := range []string{"1", "2"} {
		result := hs.submit(newJob(id, 4, nil))
		handles = append(handles, hs.finish(hs.batch())...)
		hs.result(result)
	}
	hs.submit(newJob("3", 2, nil))
	hs.noBatch()
	hs.Release(handles[:4], 0, func(string) *node.Node { return nd })
	hs.noBatch()
	close(hs.fa.hold)
	assert.Equal(t, []string{"3", "3"}, ids(hs.batch()))
}

// A new owner asks for the memory that results of the earlier owner occupy. They
// expire within the lifetime of a result.
func TestMemoryOfAnEarlierOwner(t *testing.T) {
	nd := upstream("a", "")
	hs := newHarness(t, nd)
	hs.fa.free.Store(int64(spec.ResultBytes - 600))
	first := hs.submit(newJob("1", 1, nil))
	hs.finish(hs.batch())
	hs.result(first)
	assert.Eventually(t, func() bool {
		hs.mu.Lock()
		defer hs.mu.Unlock()
		return hs.servers[nd].unknownBytes == 600
	}, 5*time.Second, time.Millisecond)
	hs.submit(newJob("2", 2, nil))
	hs.noBatch() // results of the earlier owner and of the first job leave room for one
	hs.submit(newJob("3", 1, nil))
	assert.Len(t, hs.batch().items, 1)
}

// Guards against a report of rounded memory that makes an owner forget the results
// that found no room: what it does not tell apart stays as it was.
func TestFreeMemoryIsRounded(t *testing.T) {
	nd := upstream("a", "")
	hs := newHarness(t, nd)
	hs.fa.free.Store(int64(spec.ResultBytes))
	hs.fa.rounding = spec.ResultBytes
	first := hs.submit(newJob("1", 4, nil))
	sent := hs.batch()
	sent.end <- batchEnd{results: []citronstream.ItemResult{{Handle: "x"}, {Handle: "y"}, {Fault: citronstream.ItemNoMemory}, {Fault: citronstream.ItemNoMemory}}}
	hs.unknown(nd, func(bytes int) bool { return bytes == 200 })
	hs.finish(hs.batch())
	hs.result(first)
	sent = func() sentBatch { hs.submit(newJob("2", 1, nil)); return hs.batch() }()
	hs.submit(newJob("3", 1, nil))
	hs.clk.Advance(memoryPoll)
	hs.Tick()
	hs.unknown(nd, func(bytes int) bool { return bytes > 100 && bytes < 200 })
	hs.finish(sent)
	hs.finish(hs.batch())
}

// Load pattern: memory is short. A job whose results can't all be kept does not begin,
// as its first results would hold memory that the others wait for; one that has
// begun is done first, with whatever room there is.
func TestJobsBeginWhole(t *testing.T) {
	hs := newHarness(t, upstream("a", ""))
	for _, pieces := range []int{4, 2} {
		result := hs.submit(newJob("1", pieces, nil))
		hs.finish(hs.batch())
		hs.result(result)
	}
	hs.submit(newJob("3", 3, nil)) // there is room for 2
	hs.noBatch()
	hs.submit(newJob("4", 1, nil))
	assert.Equal(t, []string{"4"}, ids(hs.batch()))
}

// Results of an earlier owner that their entries release make room at once, and
// those that find no room beside them are no larger than assumed.
func TestReleasesOfAnEarlierOwner(t *testing.T) {
	nd := upstream("a", "")
	hs := newHarness(t, nd)
	hs.fa.free.Store(int64(spec.ResultBytes - 600))
	first := hs.submit(newJob("1", 1, nil))
	sent := hs.batch()
	hs.unknown(nd, func(bytes int) bool { return bytes == 600 })
	sent.end <- batchEnd{results: []citronstream.ItemResult{{Fault: citronstream.ItemNoMemory}}}
	hs.finish(hs.batch())
	hs.result(first)
	hs.Release([]string{"x", "y"}, 400, func(string) *node.Node { return nd })
	hs.unknown(nd, func(bytes int) bool { return bytes < 600 })
	hs.mu.Lock()
	defer hs.mu.Unlock()
	assert.Equal(t, 1.0, hs.sizeFactor)
}

// unknown waits until the memory of unknown results at an upstream is as wanted.
func (hs *harness) unknown(nd *node.Node, wanted func(bytes int) bool) {
	hs.t.Helper()
	assert.Eventually(hs.t, func() bool {
		hs.mu.Lock()
		defer hs.mu.Unlock()
		return wanted(hs.servers[nd].unknownBytes)
	}, 5*time.Second, time.Millisecond)
}

// A result that is not released is dropped by its upstream after its lifetime.
func TestResultLife(t *testing.T) {
	hs := newHarness(t, upstream("a", ""))
	for _, id := range []string{"1", "2"} {
		result := hs.submit(newJob(id, 4, nil))
		hs.finish(hs.batch())
		hs.result(result)
	}
	hs.submit(newJob("3", 1, func(jo *citronstream.Job) { jo.Slack = time.Minute; jo.Left = time.Hour }))
	hs.noBatch()
	hs.clk.Advance(spec.ResultLife + time.Millisecond)
	hs.Tick()
	assert.Equal(t, []string{"3"}, ids(hs.batch()))
}

// A failed batch is sent again within the budget, and not beyond it.
func TestBrokenBatch(t *testing.T) {
	hs := newHarness(t, upstream("a", ""), upstream("b", ""))
	hs.bu.left = 2
	result := hs.submit(newJob("1", 2, nil))
	one := hs.batch()
	one.end <- batchEnd{err: errors.New("broken")}
	two := hs.batch()
	assert.NotEqual(t, one.nd.ID, two.nd.ID, "the upstream that failed is avoided")
	two.end <- batchEnd{err: errors.New("broken")}
	re := hs.result(result)
	require.NotNil(t, re.Fault)
	assert.Equal(t, citronstream.NotRun, re.Fault.Verdict)
}

// Guards against repeats that are taken for a job which needs more of them than are left
// and fails: another job could use them.
func TestTooFewRepeatsAreLeftToOthers(t *testing.T) {
	hs := newHarness(t, upstream("a", ""), upstream("b", ""), upstream("c", ""))
	hs.bu.left = 2
	large := hs.submit(newJob("1", 3, nil))
	se := hs.batch()
	se.end <- batchEnd{err: errors.New("broken")}
	require.NotNil(t, hs.result(large).Fault)
	small := hs.submit(newJob("2", 2, nil))
	se = hs.batch()
	se.end <- batchEnd{err: errors.New("broken")}
	hs.finish(hs.batch())
	assert.Nil(t, hs.result(small).Fault)
}

// A batch that reached no upstream does not count as a repeat.
func TestUnreachedUpstream(t *testing.T) {
	one, two := upstream("a", ""), upstream("b", "")
	hs := newHarness(t, one, two)
	hs.bu.left = 0
	result := hs.submit(newJob("1", 2, nil))
	first := hs.batch()
	first.nd.ConnectionBroke(hs.clk.Now())
	first.end <- batchEnd{refused: true, err: errors.New("no route to host")}
	second := hs.batch()
	assert.NotEqual(t, first.nd.ID, second.nd.ID)
	hs.finish(second)
	assert.Nil(t, hs.result(result).Fault)
}

// Pieces that found no memory are sent again; results that were computed are
// kept.
func TestNoRoom(t *testing.T) {
	hs := newHarness(t, upstream("a", ""))
	result := hs.submit(newJob("1", 2, nil))
	hs.batch().end <- batchEnd{results: []citronstream.ItemResult{{Handle: "h0"}, {Fault: citronstream.ItemNoMemory}}}
	two := hs.batch()
	assert.Equal(t, 1, two.items[0].Piece)
	two.end <- batchEnd{results: []citronstream.ItemResult{{Handle: "h1"}}}
	assert.Equal(t, []string{"h0", "h1"}, hs.result(result).Handles)
}

// A lost input ends the job, and its results so far are released.
func TestInputGone(t *testing.T) {
	hs := newHarness(t, upstream("a", ""))
	result := hs.submit(newJob("1", 2, nil))
	hs.batch().end <- batchEnd{results: []citronstream.ItemResult{{Handle: "h0"}, {Fault: citronstream.ItemInputLost}}}
	assert.True(t, hs.result(result).InputLost)
	assert.Eventually(t, func() bool { return len(hs.fa.releases()) == 1 }, 5*time.Second, time.Millisecond)
}

// A job whose inputs have expired is not sent, as its batch could not read them.
func TestStaleInputs(t *testing.T) {
	hs := newHarness(t, upstream("a", ""))
	hs.submit(newJob("0", 4, nil))
	result := hs.submit(newJob("1", 1, func(jo *citronstream.Job) { jo.InputTTL = time.Second; jo.Slack = time.Minute }))
	hs.clk.Advance(2 * time.Second)
	hs.Tick()
	assert.True(t, hs.result(result).InputLost)
}

// A job whose inputs are about to expire comes before jobs with an earlier
// target. A late job whose inputs have expired is refused, as recomputing them
// can't help it reach its target.
func TestInputsExpire(t *testing.T) {
	hs := newHarness(t, upstream("a", ""))
	hs.submit(newJob("0", 4, nil))
	late := hs.submit(newJob("late", 4, func(jo *citronstream.Job) { jo.Slack = -time.Millisecond; jo.InputTTL = time.Second }))
	hs.submit(newJob("soon", 4, func(jo *citronstream.Job) { jo.Slack = 3 * time.Second }))
	hs.submit(newJob("fresh", 4, func(jo *citronstream.Job) { jo.Slack = time.Minute; jo.InputTTL = 2 * time.Second }))
	hs.finish(hs.batch())
	assert.Equal(t, "fresh", hs.batch().items[0].RequestID)
	hs.clk.Advance(1100 * time.Millisecond)
	hs.Tick()
	re := hs.result(late)
	assert.False(t, re.InputLost)
	assert.Equal(t, citronstream.CodeOverloaded, re.Fault.Code)
}

// inputJob returns a job that reads inputs.
func inputJob(id string, pieces int) citronstream.Job {
	return newJob(id, pieces, func(jo *citronstream.Job) { jo.Inputs, jo.InputBytes = []string{"h"}, 1000000 })
}

func (hs *harness) fetchedIDs() []string {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	return append([]string(nil), hs.fetched...)
}

// Inputs are reported as read once the upstreams of all pieces had time to read
// them, well before the end of the job.
func TestInputsAreRead(t *testing.T) {
	hs := newHarness(t, upstream("a", ""))
	sp := spec
	sp.LinkRate = 1000
	hs.Configure(sp)
	first := hs.submit(inputJob("1", 6))
	one := hs.batch()
	require.Len(t, one.items, 4)
	fetch := hs.fetchTimes.Time(4000000, sp.LinkRate)
	require.Positive(t, fetch)
	require.NoError(t, hs.clk.BlockUntilContext(t.Context(), 2))
	hs.clk.Advance(fetch)
	hs.finish(one)
	two := hs.batch()
	assert.Empty(t, hs.fetchedIDs(), "two pieces wait")
	require.NoError(t, hs.clk.BlockUntilContext(t.Context(), 2))
	hs.clk.Advance(fetch)
	assert.Eventually(t, func() bool { return len(hs.fetchedIDs()) == 1 }, 5*time.Second, time.Millisecond)
	two.end <- batchEnd{err: errors.New("reset")}
	assert.True(t, hs.result(first).InputLost, "the inputs were released")
}

// After inputs were released too early, later ones are kept longer.
func TestInputsAreKeptLonger(t *testing.T) {
	hs := newHarness(t, upstream("a", ""))
	sp := spec
	sp.LinkRate = 1000
	hs.Configure(sp)
	first := hs.submit(inputJob("1", 1))
	one := hs.batch()
	fetch := hs.fetchTimes.Time(1000000, sp.LinkRate)
	require.NoError(t, hs.clk.BlockUntilContext(t.Context(), 2))
	hs.clk.Advance(fetch)
	assert.Eventually(t, func() bool { return len(hs.fetchedIDs()) == 1 }, 5*time.Second, time.Millisecond)
	one.end <- batchEnd{results: []citronstream.ItemResult{{Fault: citronstream.ItemInputLost}}}
	assert.True(t, hs.result(first).InputLost)
	hs.submit(inputJob("2", 1))
	hs.batch()
	require.NoError(t, hs.clk.BlockUntilContext(t.Context(), 2))
	hs.clk.Advance(fetch)
	realClock.Sleep(20 * time.Millisecond)
	assert.Len(t, hs.fetchedIDs(), 1)
	hs.clk.Advance(fetch)
	assert.Eventually(t, func() bool { return len(hs.fetchedIDs()) == 2 }, 5*time.Second, time.Millisecond)
}

// The end of a request cancels its job; results that arrive later are released.
func TestCancel(t *testing.T) {
	hs := newHarness(t, upstream("a", ""))
	result := hs.submit(newJob("1", 1, nil))
	one := hs.batch()
	waits := hs.submit(newJob("2", 1, nil))
	hs.Cancel(citronstream.JobKey{ID: "1", Service: "s"}, "")
	hs.Cancel(citronstream.JobKey{ID: "2", Service: "s"}, "")
	assert.Equal(t, citronstream.CodeCanceled, hs.result(result).Fault.Code)
	assert.Equal(t, citronstream.CodeCanceled, hs.result(waits).Fault.Code)
	handles := hs.finish(one)
	assert.Eventually(t, func() bool { return assert.ObjectsAreEqual(handles, hs.fa.releases()) }, 5*time.Second, time.Millisecond)
	hs.noBatch()
}

// Load pattern: callers that were refused in a burst come back after it, too late for
// their target. They are served as soon as there is room, not refused again on arrival.
func TestLateOnArrival(t *testing.T) {
	hs := newHarness(t, upstream("a", ""))
	hs.submit(newJob("1", 4, nil))
	first := hs.batch()
	late := hs.submit(newJob("2", 1, func(jo *citronstream.Job) { jo.Slack = -time.Minute }))
	hs.clk.Advance(minWait)
	hs.Tick()
	hs.finish(first)
	sent := hs.batch()
	assert.Equal(t, []string{"2"}, ids(sent))
	again := hs.submit(newJob("3", 1, func(jo *citronstream.Job) { jo.Slack = -time.Minute }))
	hs.clk.Advance(minWait + time.Millisecond)
	hs.Tick()
	assert.Equal(t, citronstream.CodeOverloaded, hs.result(again).Fault.Code, "no room within a batch")
	for range 3 {
		hs.submit(newJob("4", 4, nil))
	}
	last := hs.submit(newJob("5", 1, func(jo *citronstream.Job) { jo.Slack = -time.Minute }))
	hs.Tick()
	assert.Equal(t, citronstream.CodeOverloaded, hs.result(last).Fault.Code, "others wait for more than a batch")
	hs.finish(sent)
	assert.Nil(t, hs.result(late).Fault)
}

// A late job ends after maxLateWait rather than at its deadline; one past its
// deadline ends too.
func TestLateJobsEnd(t *testing.T) {
	hs := newHarness(t, upstream("a", ""))
	hs.submit(newJob("0", 4, nil))
	late := hs.submit(newJob("1", 1, func(jo *citronstream.Job) { jo.Slack = -time.Millisecond }))
	past := hs.submit(newJob("2", 1, func(jo *citronstream.Job) {
		jo.Slack = time.Hour
		jo.Left = time.Second
		jo.LaterStages = 500 * time.Millisecond
	}))
	hs.clk.Advance(600 * time.Millisecond)
	hs.Tick()
	assert.Equal(t, citronstream.CodeDeadline, hs.result(past).Fault.Code)
	assert.Empty(t, late)
	hs.clk.Advance(maxLateWait)
	hs.Tick()
	fa := hs.result(late).Fault
	assert.Equal(t, citronstream.CodeOverloaded, fa.Code)
	assert.Equal(t, citronstream.NotRun, fa.Verdict)
}

// An owner that leaves ends the jobs that it has not sent, and finishes the
// others.
func TestLeave(t *testing.T) {
	hs := newHarness(t, upstream("a", ""))
	runs := hs.submit(newJob("1", 1, nil))
	one := hs.batch()
	waits := hs.submit(newJob("2", 1, nil))
	hs.Leave()
	assert.Equal(t, citronstream.CodeLeaving, hs.result(waits).Fault.Code)
	hs.finish(one)
	assert.Nil(t, hs.result(runs).Fault)
}

// An owner that has ended begins no call: the process that stops waits for its calls
// while requests still submit jobs, as their links to other owners are lost.
func TestSubmitAfterTheEnd(t *testing.T) {
	hs := newHarness(t, upstream("a", ""))
	hs.Wait()
	assert.Equal(t, citronstream.CodeLeaving, hs.result(hs.submit(newJob("1", 1, nil))).Fault.Code)
	hs.noBatch()
}

// An upstream that is no longer listed gets no new batch.
func TestRemovedUpstream(t *testing.T) {
	nd := upstream("a", "")
	hs := newHarness(t, nd)
	hs.Replace(nil)
	hs.submit(newJob("1", 1, nil))
	hs.noBatch()
	hs.Replace([]*node.Node{nd})
	hs.batch()
}

// Results are computed in the zone where they are needed if an upstream there is
// free.
func TestZone(t *testing.T) {
	hs := newHarness(t, upstream("a", "z1"), upstream("b", "z2"))
	hs.submit(newJob("1", 1, func(jo *citronstream.Job) { jo.Zone = "z2" }))
	assert.Equal(t, "b", hs.batch().nd.ID)
	hs.submit(newJob("2", 1, func(jo *citronstream.Job) { jo.Zone = "z2" }))
	assert.Equal(t, "a", hs.batch().nd.ID, "a free upstream in another zone is preferred to a wait")
}

// The load reported to other entries has the pieces by the time until they must
// start.
func TestLoad(t *testing.T) {
	hs := newHarness(t, upstream("a", ""))
	hs.submit(newJob("0", 4, nil))
	hs.submit(newJob("1", 2, func(jo *citronstream.Job) { jo.Slack = 300 * time.Millisecond }))
	hs.submit(newJob("2", 3, func(jo *citronstream.Job) { jo.Slack = 3 * time.Second }))
	hs.submit(newJob("3", 1, func(jo *citronstream.Job) { jo.Slack = -time.Second }))
	ql := hs.Load()
	assert.Equal(t, [6]int{0, 2, 0, 0, 3, 0}, ql.Waiting[0])
	assert.Equal(t, 1, ql.Late)
	assert.InDelta(t, 4/0.24, ql.Rate, 0.01)
	assert.Zero(t, ql.Wait(100*time.Millisecond, 0))
	assert.InDelta(t, 2/ql.Rate, ql.Wait(time.Second, 0).Seconds(), 0.001)
	assert.InDelta(t, 6/ql.Rate, ql.Wait(-1, 0).Seconds(), 0.001)
}

// Arrivals are told by the rank of their routes, those below the last one together,
// and are forgotten.
func TestArrivals(t *testing.T) {
	var ar arrivals
	now := time.Unix(1000, 0)
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		ar.add(now, 0, 3)
		ar.add(now, 7, 1)
	}
	rates := ar.value(now)
	assert.InDelta(t, 30, rates[0], 3)
	assert.Zero(t, rates[1])
	assert.InDelta(t, 10, rates[citronstream.Ranks-1], 1)
	assert.InDelta(t, 0, ar.value(now.Add(10 * arrivalsMemory))[0], 0.1)
}
