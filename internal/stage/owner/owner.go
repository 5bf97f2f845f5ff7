// Package owner implements the queue of a service whose upstreams run batches.
// One entry of a site owns the queue, so that a batch combines work of all
// entries and the upstreams' memory is accounted for in one place. Ownership is
// not exclusive: two owners at the same time only cost efficiency, as each
// upstream refuses a batch for which it has no memory.
package owner

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/citronstream/citronstream/internal/limit/workspaceshare"
	"github.com/citronstream/citronstream/internal/stage/fetchtime"
	"github.com/citronstream/citronstream/internal/stage/order"
	"github.com/go-logr/logr"
)

const (
	// maxJobs is the largest number of queued and running jobs.
	maxJobs = 10000
	// zoneDelay is the delay that is accepted to run a job in the zone that
	// holds its inputs, as traffic between zones is billed.
	zoneDelay = 60 * time.Millisecond
	// freeCrossBytes is the size below which a job does not wait for an upstream
	// in its zone.
	freeCrossBytes = 64 << 10
	// After checkFactor times the expected time of a batch plus timeoutExtra its upstream is
	// asked, each checkInterval, whether it works on it. The batch is overdue, and is sent
	// elsewhere too, after timeoutFactor times that time if the upstream does not say so, after
	// workingFactor times if it does.
	checkFactor   = 2.0
	timeoutFactor = 3.0
	workingFactor = 10.0
	timeoutExtra  = 300 * time.Millisecond
	checkInterval = 400 * time.Millisecond
	// answerGrace is how long the answer of a batch may be on its way when the upstream
	// says that it works on nothing.
	answerGrace = 200 * time.Millisecond
	// sizeGrowth is the factor by which results are assumed to be larger after
	// one found no memory, up to maxSizeFactor; sizeDecay reverses this with
	// each batch. The configuration gives their size only approximately.
	sizeGrowth    = 1.02
	sizeDecay     = 0.999
	maxSizeFactor = 1.3
	// maxLateWait is how long a job stays queued once it can no longer reach its
	// target. Jobs that wait longer mostly expire, which is worse for the caller than
	// an early refusal. One that was as late when it came, as the caller of a refused
	// request came back, waits for minWait, about a batch, if it may run within it.
	maxLateWait = 2 * time.Second
	minWait     = 500 * time.Millisecond
	// memoryPoll is how often an upstream is asked for its free memory while results
	// that the owner has no record of take some.
	memoryPoll = 400 * time.Millisecond
	// maxRepeats is how often each piece of a job is sent again, on average.
	maxRepeats = 2
)

// Batcher runs a batch at an upstream. Refused means that it did not run: with
// an error the upstream was not reached, without one it refused the batch. After
// any other error it may have run.
type Batcher interface {
	Run(ctx context.Context, nd *node.Node, items []citronstream.BatchItem) (results []citronstream.ItemResult, refused bool, err error)
	Release(ctx context.Context, nd *node.Node, handles []string)
	// Free returns the least and the most bytes that an upstream has free for results.
	Free(ctx context.Context, nd *node.Node) (least, most int, err error)
	// Working reports whether an upstream runs a batch, or has some that wait.
	Working(ctx context.Context, nd *node.Node) (bool, error)
	// ResultAddress returns the address of the upstream that holds a result.
	ResultAddress(handle string) string
}

// Budget bounds the pieces that are sent more than once.
type Budget interface {
	First(service string)
	// TakeAll reserves count repeated sends, or none, and reports whether it did.
	TakeAll(service string, count int) bool
	// Return releases reserved sends that were not made.
	Return(service string, count int, taken time.Time)
}

// Owner is the queue of one service.
type Owner struct {
	clk     citronstream.Clock
	log     logr.Logger
	service string
	batcher Batcher
	budget  Budget
	ctx     context.Context

	mu         sync.Mutex
	spec       citronstream.BatchSpec
	sizeFactor float64 // assumed size of a result relative to the configured one
	jobs       map[citronstream.JobKey]*job
	fetchTimes *fetchtime.Estimator // of the inputs of this service's jobs
	waiting    []*job               // with pieces that are not in a batch
	servers    map[*node.Node]*server
	list       []*server // in the order of the upstreams' IDs
	openBuf    []*server // reused for the result of openServers
	calls      sync.WaitGroup
	closed     bool // no call may begin any more
	counts     Counts
	rate       rate
	arrivals   arrivals
	selfLoad   int       // batches that answers to batches count beside those of other owners
	sharedAt   time.Time // when another owner was last known to use the upstreams
	paused     bool      // all upstreams are in a pause, as logged last
	lasting    lasting
	shares     *workspaceshare.Shares
	lastActive time.Time // when a job was last submitted or ended
	held       func() bool
	leaves     func(zo *zone, jb *job, now time.Time) bool // leavesZone; replays compare others
}

// Option configures an Owner.
type Option func(*Owner)

// WithHeld sets a function that reports whether the upstreams may be out of date, as the
// process was paused; no batch begins then. It is called with the owner's lock held.
func WithHeld(held func() bool) Option { return func(ow *Owner) { ow.held = held } }

// job is a Job and its state.
type job struct {
	citronstream.Job
	order.Priority
	at         time.Time
	pending    []int // indexes in Pieces that wait
	remaining  int   // pieces without a result
	zoneAhead  int   // pieces that wait for its zone before it, see zones
	handles    []string
	calls      []*call // that run pieces of it
	repeats    int
	repeatAt   []time.Time // when the last repeat of each piece was reserved
	inputsGone bool        // the inputs were released, or an upstream did not find them
	done       func(citronstream.JobResult)
	fetched    func()
	ended      bool
}

// server is the state that the owner keeps of an upstream.
type server struct {
	*node.Node
	running     int
	batches     []*call // that have a place there
	pace        pace
	said        said
	expects     float64       // pace of a batch that begins now, see backlog
	says        bool          // it has said its pace just now
	pausedUntil time.Time     // gets no batch until then
	idleSince   time.Time     // end of its last batch
	backoff     time.Duration // last pause because of another owner, see contested
	refused     bool          // it refused the last batch as full
	backAt      time.Time     // when it was last to get work again after a pause or a failure
	used        int           // bytes of results that it holds or computes
	minRoom     int           // results that must fit before it gets its next batch
	results     map[string]result
	// unknownBytes are taken by results that this owner has no record of, such
	// as those of an earlier owner. They are estimated from the pieces that
	// found no memory.
	unknownBytes int
	unknownAt    time.Time
	askedAt      time.Time // when it was last asked for its free memory
	// foreignUntil is when the results of an earlier owner have expired.
	foreignUntil time.Time
}

type result struct {
	bytes int
	until time.Time // the upstream drops it by itself
}

// New returns an owner without upstreams. It ends with ctx.
func New(ctx context.Context, clk citronstream.Clock, log logr.Logger, service string, spec citronstream.BatchSpec, batcher Batcher, budget Budget, opts ...Option) *Owner {
	ow := &Owner{
		clk: clk, log: log, service: service, batcher: batcher, budget: budget, ctx: ctx, spec: spec, sizeFactor: 1, selfLoad: math.MaxInt, fetchTimes: fetchtime.New(),
		jobs: make(map[citronstream.JobKey]*job), servers: make(map[*node.Node]*server),
		shares: workspaceshare.New(), held: func() bool { return false },
	}
	ow.leaves = ow.leavesZone
	for _, opt := range opts {
		opt(ow)
	}
	return ow
}

// Wait refuses further jobs and waits until all batches have ended.
func (ow *Owner) Wait() {
	ow.mu.Lock()
	ow.closed = true
	ow.mu.Unlock()
	ow.calls.Wait()
}

// Len returns the number of queued and running jobs.
func (ow *Owner) Len() int {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	return len(ow.jobs)
}

// Configure replaces the batch specification.
func (ow *Owner) Configure(spec citronstream.BatchSpec) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ow.spec = spec
}

// Replace sets the upstreams that get new batches.
func (ow *Owner) Replace(nodes []*node.Node) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	servers := make(map[*node.Node]*server, len(nodes))
	ow.list = ow.list[:0]
	for _, nd := range nodes {
		sv := ow.servers[nd]
		if sv == nil {
			sv = &server{Node: nd, results: make(map[string]result)}
		}
		servers[nd] = sv
		ow.list = append(ow.list, sv)
	}
	ow.servers = servers
	ow.dispatch()
}

// Submit queues a job. Done is called once, at its end; fetched at most once
// before, when upstreams have read its inputs. Both are called with the owner's
// lock held and must not call the owner or block.
func (ow *Owner) Submit(jo citronstream.Job, done func(citronstream.JobResult), fetched func()) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	now := ow.clk.Now()
	jb := &job{
		Job: jo, at: now, done: done, fetched: fetched, remaining: len(jo.Pieces), handles: make([]string, len(jo.Pieces)), repeatAt: make([]time.Time, len(jo.Pieces)),
		Priority: order.Priority{Rank: jo.Rank, RouteRank: jo.RouteRank, Returned: jo.Returned, FreesMemory: jo.FreesMemory, Start: now.Add(jo.Slack - jo.Early), Last: now.Add(jo.Slack), End: now.Add(jo.Left - jo.LaterStages)},
	}
	jb.Due = jb.Start
	if expiry := now.Add(jo.InputTTL - expected(&ow.spec, ow.spec.Items)); jo.InputTTL > 0 && expiry.Before(jb.Due) {
		jb.Due = expiry
	}
	for index := range jo.Pieces {
		jb.pending = append(jb.pending, index)
	}
	key := citronstream.JobKey{ID: jo.ID, Stage: jo.Stage, Service: jo.Service}
	if old := ow.jobs[key]; old != nil {
		// The entry lost its link and has submitted the job again.
		ow.endJob(old, citronstream.JobResult{Fault: citronstream.NewFault(citronstream.NotRun, citronstream.CodeCanceled, "the job was submitted again")})
	}
	if ow.closed {
		done(citronstream.JobResult{Fault: citronstream.NewFault(citronstream.NotRun, citronstream.CodeLeaving, "the owner of service %s has ended", ow.service)})
		return
	}
	if len(ow.jobs) >= maxJobs {
		ow.counts.Overloaded++
		done(citronstream.JobResult{Fault: citronstream.NewFault(citronstream.NotRun, citronstream.CodeLimit, "the queue of service %s is full", ow.service)})
		return
	}
	if len(ow.jobs) == 0 && now.Sub(ow.lastActive) > ow.spec.ResultLife {
		ow.queryFreeMemory(now)
	}
	ow.jobs[key], ow.lastActive = jb, now
	ow.arrivals.add(now, jo.RouteRank, len(jo.Pieces))
	ow.budget.First(ow.service)
	ow.queueShare(jb)
	ow.waiting = append(ow.waiting, jb)
	ow.dispatch()
}

// Cancel removes a job whose request has ended, if it is this submission of it; an
// empty attempt means any.
func (ow *Owner) Cancel(key citronstream.JobKey, attempt string) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if jb := ow.jobs[key]; jb != nil && (attempt == "" || jb.Attempt == attempt) {
		ow.endJob(jb, citronstream.JobResult{Fault: citronstream.NewFault(citronstream.NotRun, citronstream.CodeCanceled, "the request has ended")})
	}
}

// Leave ends the jobs of which nothing was sent, so that their entries submit
// them to the next owner.
func (ow *Owner) Leave() {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	for _, jb := range slices.Clone(ow.waiting) {
		if len(jb.pending) == len(jb.Pieces) && jb.repeats == 0 {
			ow.endJob(jb, citronstream.JobResult{Fault: citronstream.NewFault(citronstream.NotRun, citronstream.CodeLeaving, "the owner of service %s is shutting down", ow.service)})
		}
	}
}

// Tick updates the queue for the passage of time: it forgets expired results and
// ends expired jobs.
func (ow *Owner) Tick() {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	now := ow.clk.Now()
	ow.rate.sample(now, len(ow.waiting) > 0, ow.settledRate(now))
	for _, sv := range ow.list {
		for handle, re := range sv.results {
			if now.After(re.until) {
				sv.used -= re.bytes
				delete(sv.results, handle)
			}
		}
	}
	ow.pollMemory(now)
	ow.refusePaused(now)
	ow.expire(now)
	ow.dispatch()
	ow.rescue(now)
}

// endJob ends a job. The caller holds the lock.
func (ow *Owner) endJob(jb *job, re citronstream.JobResult) {
	if jb.ended {
		return
	}
	jb.ended, ow.lastActive = true, ow.clk.Now()
	delete(ow.jobs, citronstream.JobKey{ID: jb.ID, Stage: jb.Stage, Service: jb.Service})
	ow.dropShare(jb)
	ow.withdraw(jb, jb.pending)
	ow.letGo(jb)
	if re.Fault != nil || re.InputLost {
		ow.releaseResults(jb)
	}
	jb.done(re)
}
