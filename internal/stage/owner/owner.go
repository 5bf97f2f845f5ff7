// Package owner holds the queue of a service whose upstreams work on batches.
// One entry of a site owns it, so that a batch joins the work of all entries
// and the memory of the upstreams is accounted in one place. Ownership is
// soft: two owners side by side cost efficiency only, as each upstream refuses
// what it has no room for.
package owner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/citronstream/citronstream/internal/stage/order"
	"github.com/citronstream/citronstream/internal/stage/patience"
	"github.com/go-logr/logr"
)

const (
	// maxJobs bounds the jobs that wait.
	maxJobs = 10000
	// zoneCost is the delay that a job accepts to be made in the zone where its
	// inputs lie, as results that cross zones are billed.
	zoneCost = 60 * time.Millisecond
	// crossFree are the bytes for which a job does not wait for its zone.
	crossFree = 64 << 10
	// fullPause is how long an upstream is left alone that refused a batch as
	// full, as another owner's batch runs there.
	fullPause = 100 * time.Millisecond
	// lateFactor times the expected time is how long a batch may take.
	lateFactor = 3.0
	lateExtra  = 300 * time.Millisecond
	// sizeStep is how much larger results are taken to be after one did not
	// find room, up to maxSize; sizeDecay undoes that with each batch. The
	// configuration names their size approximately.
	sizeStep  = 1.02
	sizeDecay = 0.999
	maxSize   = 1.3
	// lateWait is how long a job waits once it can no longer reach its target. One
	// that waits longer mostly has no answer in the end, and holding it is worse
	// for its caller than a refusal.
	lateWait = 2 * time.Second
	// maxRepeats is how often each piece of a job is made again, on average.
	maxRepeats = 2
)

// Batcher runs a batch at an upstream. Refused says that it did not run: with
// an error the upstream was not reached, without one it did not take the batch.
// Any other error says that it may have run.
type Batcher interface {
	Run(ctx context.Context, no *node.Node, items []citronstream.BatchItem) (results []citronstream.ItemResult, refused bool, err error)
	Release(ctx context.Context, no *node.Node, handles []string)
	// Free returns the most bytes that an upstream can have free for results.
	Free(ctx context.Context, no *node.Node) (int, error)
	// Maker returns the address of the upstream that holds a result.
	Maker(handle string) string
}

// Budget bounds the pieces that are sent more than once.
type Budget interface {
	First(service string)
	Take(service string, count int) int
}

// Owner is the queue of one service.
type Owner struct {
	clk     citronstream.Clock
	log     logr.Logger
	service string
	batcher Batcher
	budget  Budget
	ctx     context.Context

	mu       sync.Mutex
	spec     citronstream.BatchSpec
	size     float64 // measured size of a result against the configured one
	jobs     map[citronstream.JobKey]*job
	patience *patience.Patience // of the inputs of this service's jobs
	waiting  []*job             // with pieces that are not in a batch
	servers  map[*node.Node]*server
	list     []*server // in the order of the upstreams' IDs
	spare    []*server // memory of open's result
	calls    sync.WaitGroup
	counts   Counts
	rate     rate
	last     time.Time // when a job came or ended
}

// job is a Job with its state.
type job struct {
	citronstream.Job
	order.Entry
	at      time.Time
	pending []int // places in Pieces that wait
	left    int   // pieces without a result
	handles []string
	repeats int
	unread  int // pieces whose inputs have not been read
	done    func(citronstream.JobResult)
	fetched func()
	ended   bool
}

// server is what the owner knows of an upstream.
type server struct {
	*node.Node
	running int
	until   time.Time // left alone until then
	idle    time.Time // end of its last batch
	used    int       // bytes of results that it holds or makes
	least   int       // results for which it needs room before its next batch
	results map[string]result
	// foreign are bytes of results that this owner does not know of, such as
	// those of an owner before, by the items that found no room.
	foreign   int
	foreignAt time.Time
}

// others returns the bytes of unknown results. They vanish within the life of a result.
func (sv *server) others(now time.Time, life time.Duration) int {
	if sv.foreign == 0 || life <= 0 {
		return 0
	}
	return int(float64(sv.foreign) * max(0, 1-float64(now.Sub(sv.foreignAt))/float64(life)))
}

type result struct {
	bytes int
	until time.Time // the upstream drops it by itself
}

// New returns an owner without upstreams. It ends with ctx.
func New(ctx context.Context, clk citronstream.Clock, log logr.Logger, service string, spec citronstream.BatchSpec, batcher Batcher, budget Budget) *Owner {
	return &Owner{
		clk: clk, log: log, service: service, batcher: batcher, budget: budget, ctx: ctx, spec: spec, size: 1, patience: patience.New(),
		jobs: make(map[citronstream.JobKey]*job), servers: make(map[*node.Node]*server),
	}
}

// Wait returns when all batches have ended.
func (ow *Owner) Wait() { ow.calls.Wait() }

// Len returns the jobs that wait or run.
func (ow *Owner) Len() int {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	return len(ow.jobs)
}

// Configure replaces the specification of the upstreams.
func (ow *Owner) Configure(spec citronstream.BatchSpec) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ow.spec = spec
}

// Replace sets the upstreams that take new work.
func (ow *Owner) Replace(nodes []*node.Node) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	servers := make(map[*node.Node]*server, len(nodes))
	ow.list = ow.list[:0]
	for _, no := range nodes {
		sv := ow.servers[no]
		if sv == nil {
			sv = &server{Node: no, results: make(map[string]result)}
		}
		servers[no] = sv
		ow.list = append(ow.list, sv)
	}
	ow.servers = servers
	ow.dispatch()
}

// Submit queues a job. Done is called once at its end; fetched at most once
// before, when upstreams have read its inputs. Both are called with the owner's
// lock held, and must not call the owner or block.
func (ow *Owner) Submit(jo citronstream.Job, done func(citronstream.JobResult), fetched func()) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	now := ow.clk.Now()
	jb := &job{
		Job: jo, at: now, done: done, fetched: fetched, unread: len(jo.Pieces), left: len(jo.Pieces), handles: make([]string, len(jo.Pieces)),
		Entry: order.Entry{Rank: jo.Rank, Frees: jo.FreesMemory, Start: now.Add(jo.Slack), End: now.Add(jo.Left - jo.LaterStages)},
	}
	jb.Due = jb.Start
	if fresh := now.Add(jo.InputTTL - expected(&ow.spec, ow.spec.Items)); jo.InputTTL > 0 && fresh.Before(jb.Due) {
		jb.Due = fresh
	}
	for place := range jo.Pieces {
		jb.pending = append(jb.pending, place)
	}
	name := citronstream.JobKey{ID: jo.ID, Stage: jo.Stage, Service: jo.Service}
	if old := ow.jobs[name]; old != nil {
		// The entry has lost its link and asks again.
		ow.end(old, citronstream.JobResult{Fault: citronstream.NewFault(citronstream.NotRun, citronstream.CodeCanceled, "the job was submitted again")})
	}
	if len(ow.jobs) >= maxJobs {
		ow.counts.Overloaded++
		done(citronstream.JobResult{Fault: citronstream.NewFault(citronstream.NotRun, citronstream.CodeLimit, "the queue of service %s is full", ow.service)})
		return
	}
	if len(ow.jobs) == 0 && now.Sub(ow.last) > ow.spec.ResultLife {
		ow.takeStock()
	}
	ow.jobs[name], ow.last = jb, now
	ow.budget.First(ow.service)
	ow.waiting = append(ow.waiting, jb)
	ow.dispatch()
}

// takeStock asks the upstreams how much memory they have, as results of an
// owner before this one may take it. The caller holds the lock.
func (ow *Owner) takeStock() {
	for _, sv := range ow.list {
		used := sv.used
		ow.calls.Go(func() {
			free, err := ow.batcher.Free(ow.ctx, sv.Node)
			if err != nil {
				ow.log.Info("memory of an upstream not known", "service", ow.service, "upstream", sv.ID, "reason", err.Error())
				return
			}
			ow.mu.Lock()
			defer ow.mu.Unlock()
			sv.foreign, sv.foreignAt = max(0, ow.spec.ResultBytes-free-used), ow.clk.Now()
		})
	}
}

// Cancel withdraws a job whose request has ended.
func (ow *Owner) Cancel(name citronstream.JobKey) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if jb := ow.jobs[name]; jb != nil {
		ow.end(jb, citronstream.JobResult{Fault: citronstream.NewFault(citronstream.NotRun, citronstream.CodeCanceled, "the request has ended")})
	}
}

// Leave ends the jobs of which nothing was sent, for the next owner.
func (ow *Owner) Leave() {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	for _, jb := range slices.Clone(ow.waiting) {
		if len(jb.pending) == len(jb.Pieces) && jb.repeats == 0 {
			ow.end(jb, citronstream.JobResult{Fault: citronstream.NewFault(citronstream.NotRun, citronstream.CodeLeaving, "the owner of service %s leaves", ow.service)})
		}
	}
}

// Release gives up results, of this owner or an earlier one.
func (ow *Owner) Release(handles []string, at func(handle string) *node.Node) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	byNode := make(map[*node.Node][]string)
	for _, handle := range handles {
		if no := at(handle); no != nil {
			byNode[no] = append(byNode[no], handle)
		}
	}
	for no, list := range byNode {
		ow.release(no, list)
	}
}

// release gives up results of one upstream. Their memory counts as free once
// the upstream has answered, as a batch may overtake the call. The caller holds the lock.
func (ow *Owner) release(no *node.Node, handles []string) {
	ow.calls.Go(func() {
		ow.batcher.Release(ow.ctx, no, handles)
		ow.mu.Lock()
		defer ow.mu.Unlock()
		if sv := ow.servers[no]; sv != nil {
			for _, handle := range handles {
				sv.used -= sv.results[handle].bytes
				delete(sv.results, handle)
			}
		}
		ow.dispatch()
	})
}

// Tick looks at the queue for what time alone has changed.
func (ow *Owner) Tick() {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	now := ow.clk.Now()
	ow.rate.waiting(now, len(ow.waiting) > 0)
	for _, sv := range ow.list {
		for handle, re := range sv.results {
			if now.After(re.until) {
				sv.used -= re.bytes
				delete(sv.results, handle)
			}
		}
	}
	ow.expire(now)
	ow.dispatch()
}

// end ends a job. The caller holds the lock.
func (ow *Owner) end(jb *job, re citronstream.JobResult) {
	if jb.ended {
		return
	}
	jb.ended, ow.last = true, ow.clk.Now()
	delete(ow.jobs, citronstream.JobKey{ID: jb.ID, Stage: jb.Stage, Service: jb.Service})
	ow.waiting = slices.DeleteFunc(ow.waiting, func(other *job) bool { return other == jb })
	if re.Fault != nil || re.InputLost {
		ow.drop(jb)
	}
	jb.done(re)
}

// drop releases the results of a job that will not be used.
func (ow *Owner) drop(jb *job) {
	for _, sv := range ow.list {
		var handles []string
		for _, handle := range jb.handles {
			if _, ok := sv.results[handle]; ok {
				handles = append(handles, handle)
			}
		}
		if len(handles) > 0 {
			ow.release(sv.Node, handles)
		}
	}
}
