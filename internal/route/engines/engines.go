// Package engines chooses a model engine for a request: the one that has the
// shared part of its prompt cached, unless that engine is much more loaded than
// another one.
package engines

import (
	"cmp"
	"container/list"
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
)

const (
	// assumedReadRate is the prefill rate of an engine until it was measured, in
	// prompt tokens per millisecond. minSampleTokens is the least number of tokens
	// whose reading measures it. Most prompts wait for others, so the rate follows
	// faster samples by rateUp and slower ones by rateDown.
	assumedReadRate = 40.0
	minSampleTokens = 2000
	rateUp          = 0.2
	rateDown        = 0.02
	// runningDelay is the delay in ms that each running request adds to a first event:
	// each makes a step of the engine longer, and prompts are read between steps.
	runningDelay = 0.5
	// delayWeight weighs a delay with which a request still reaches its target:
	// it only delays other requests. Missing the target costs lateCost, in ms, more
	// than reading a long prompt again. Loads are known with some delay, so that
	// within lateRamp before the target a miss is likely already.
	delayWeight = 0.3
	lateCost    = 5000.0
	lateRamp    = 250.0
	// rereadFactor weighs the time to read a shared part again. A second copy
	// also takes the memory of another engine and is billed.
	rereadFactor = 10.0
	// crossZoneDelay is the delay in ms that a request accepts for each megabyte of
	// inputs that it saves from crossing zones.
	crossZoneDelay = 60.0
	// failureDelay is the delay in ms that stands for a failed request.
	failureDelay = 2000.0
	// partTTL is how long a shared part is assumed to stay in an engine's cache.
	partTTL = 30 * time.Second
	// resendAfter is the time after which a part still in use is sent to the peers again.
	resendAfter = 10 * time.Second
	maxParts    = 65536
	// maxUnsent bounds the parts in one message to the peers.
	maxUnsent = 1024
	// peerLoadTTL is how long a peer's load counts.
	peerLoadTTL = 3 * time.Second
	// largeRead is the time to read a prompt from which on the peers are told of it
	// at once: with many entries they tell their loads less often than that.
	largeRead = 50 * time.Millisecond
)

// Request holds the properties of a request that the choice depends on.
type Request struct {
	Tokens int // of the prompt
	// Shared are the parts of the prompt that other requests share, in order.
	Shared []citronstream.PromptPart
	// Inputs are the bytes of results to fetch, by zone.
	Inputs map[string]int
	// Slack is the longest delay of the first event with which the request
	// reaches its target. At 0 or less, the request is late and any delay counts
	// in full.
	Slack   time.Duration
	Exclude map[string]bool // IDs of upstreams that are not to be used
	// Apart says that the request may crash its engine: it goes to an engine without
	// another such request, whatever that engine has cached.
	Apart bool
	// MaxStarts is how many requests an engine should get from all gateways within a second
	// while others have free capacity; 0 means any number.
	MaxStarts int

	bounded bool // MaxStarts holds, see setBound
	picked  time.Time
	unread  int  // tokens that the picked engine has to read
	known   bool // the picked engine is known to have the shared parts
}

type load struct {
	running       int
	prefillTokens int
	apart         int // requests with Apart and without a first event
}

// peerLoad is a peer's load on one engine.
type peerLoad struct {
	citronstream.EngineLoad
	at time.Time
}

// partLocation is the engine that read a shared part last.
type partLocation struct {
	citronstream.CachedPart
	lastUse time.Time // last known use
	sent    time.Time // last sent to or received from a peer
}

// Picker chooses engines. Its methods are called concurrently.
type Picker struct {
	clk citronstream.Clock

	mu       sync.Mutex
	ownLoads map[string]*load
	// peers has the loads of peers by engine, so that a choice among many engines
	// does not look at all peers for each.
	peers map[string]map[string]peerLoad
	// ownStarts has the times of the requests of this process within startWindow by engine,
	// of services whose engines have a MaxStarts.
	ownStarts map[string][]time.Time
	urgent    chan struct{}
	parts     map[uint64]*list.Element
	lru       *list.List // of *partLocation, the most recently used first
	readRate  float64    // prompt tokens per ms
	// shares has the tokens of the prompts with a part that other sessions share, and
	// shareTokens those of all prompts, since about shareWindow.
	shares      map[uint64]float64
	shareTokens float64
	sharesFrom  time.Time // when they were halved last
	unsent      []citronstream.CachedPart
	changed     bool
}

// New returns a picker without loads.
func New(clk citronstream.Clock) *Picker {
	return &Picker{
		clk: clk, ownLoads: make(map[string]*load), peers: make(map[string]map[string]peerLoad), ownStarts: make(map[string][]time.Time), urgent: make(chan struct{}, 1),
		parts: make(map[uint64]*list.Element), lru: list.New(), readRate: assumedReadRate,
		shares: make(map[uint64]float64), sharesFrom: clk.Now(),
	}
}

// Urgent receives a value when the peers should be told the load at once.
func (pi *Picker) Urgent() <-chan struct{} { return pi.urgent }

// Pick chooses an engine and adds the request to its load. It returns nil if
// none can be used. The caller removes the load with FirstEvent and End.
func (pi *Picker) Pick(nodes []*node.Node, rq *Request) *node.Node {
	pi.mu.Lock()
	defer pi.mu.Unlock()
	best, unread := pi.choose(nodes, rq)
	if best == nil {
		return nil
	}
	pi.add(best, rq, unread)
	return best
}

// add adds a request to the load of the engine that was chosen for it.
func (pi *Picker) add(best *node.Node, rq *Request, unread int) {
	rq.picked, rq.unread, rq.known = pi.clk.Now(), unread, unread < rq.Tokens
	ld := pi.ownLoad(best.ID)
	ld.running++
	ld.prefillTokens += unread
	pi.changed = true
	if rq.MaxStarts > 0 {
		pi.started(best.ID, rq.picked)
	}
	if rq.Apart {
		ld.apart++
		return
	}
	pi.countShares(rq)
	if count := len(rq.Shared); count > 0 {
		pi.recordRead(citronstream.CachedPart{Part: rq.Shared[count-1].ID, Engine: best.ID, StartedMs: best.StartedMs})
	}
	if float64(unread) > pi.readRate*float64(largeRead.Milliseconds()) {
		select {
		case pi.urgent <- struct{}{}:
		default:
		}
	}
}

// Prefer returns the engine that Pick would choose, without adding to its load.
func (pi *Picker) Prefer(nodes []*node.Node, rq Request) *node.Node {
	pi.mu.Lock()
	defer pi.mu.Unlock()
	best, _ := pi.choose(nodes, &rq)
	return best
}

// ReadTime returns how long an idle engine takes to read a prompt, without the
// shared parts if an engine is known to have them.
func (pi *Picker) ReadTime(nodes []*node.Node, rq Request) time.Duration {
	pi.mu.Lock()
	defer pi.mu.Unlock()
	unread := rq.Tokens
	if len(rq.Shared) > 0 {
		if pi.location(nodes, rq.Shared, pi.clk.Now()) != "" {
			unread -= rq.sharedTokens()
		}
	}
	return time.Duration(float64(max(0, unread)) / pi.readRate * float64(time.Millisecond))
}

// option is an engine that can be chosen.
type option struct {
	node   *node.Node
	unread int // tokens of the prompt that it would have to read
	cost   cost
}

// choice is the result of comparing engines.
type choice struct {
	best   *node.Node // nil if none can be used
	unread int        // tokens that the best one would have to read
	home   string     // see homeEngine
	known  bool
}

// choose returns the best engine and the number of tokens that it would have to read.
func (pi *Picker) choose(nodes []*node.Node, rq *Request) (*node.Node, int) {
	now := pi.clk.Now()
	pi.setBound(nodes, rq, now)
	if rq.Apart {
		return pi.chooseApart(nodes, rq, now), rq.Tokens
	}
	ch := pi.compare(nodes, rq, now, func(option) {})
	return ch.best, ch.unread
}

// compare compares the engines that can be used and calls a function for each.
func (pi *Picker) compare(nodes []*node.Node, rq *Request, now time.Time, each func(op option)) (ch choice) {
	if len(rq.Shared) > 0 {
		ch.home, ch.known = pi.homeEngine(nodes, rq, now)
	}
	least := math.Inf(1)
	for _, nd := range nodes {
		if rq.Exclude[nd.ID] || nd.Avoided(now) {
			continue
		}
		op := option{node: nd, unread: rq.Tokens}
		if ch.known && nd.ID == ch.home {
			op.unread = max(0, op.unread-rq.sharedTokens())
		}
		op.cost = pi.costOf(nd, rq, op.unread, ch.home, now)
		each(op)
		if sum := op.cost.sum(); sum < least {
			ch.best, ch.unread, least = nd, op.unread, sum
		}
	}
	return ch
}

// chooseApart returns the better of two random engines, of those without another
// request that may crash its engine if there are any. All entries send such requests
// at the same time, when an engine has crashed, and must not choose the same.
func (pi *Picker) chooseApart(nodes []*node.Node, rq *Request, now time.Time) *node.Node {
	var free, usable []*node.Node
	for _, nd := range nodes {
		if rq.Exclude[nd.ID] || nd.Avoided(now) {
			continue
		}
		usable = append(usable, nd)
		if ld := pi.ownLoads[nd.ID]; ld == nil || ld.apart == 0 {
			free = append(free, nd)
		}
	}
	if len(free) > 0 {
		usable = free
	}
	if len(usable) == 0 {
		return nil
	}
	one, other := usable[rand.IntN(len(usable))], usable[rand.IntN(len(usable))]
	if pi.cost(other, rq, rq.Tokens, "", now) < pi.cost(one, rq, rq.Tokens, "", now) {
		return other
	}
	return one
}

// sharedTokens returns the number of tokens in the shared parts.
func (rq *Request) sharedTokens() (sum int) {
	for _, part := range rq.Shared {
		sum += part.Tokens
	}
	return sum
}

// homeEngine returns the engine that holds the shared parts: the one that any
// entry last used for the last of them, else the best of some engines by hash, which
// are the same at all entries. Known says that it has read the shared parts.
func (pi *Picker) homeEngine(nodes []*node.Node, rq *Request, now time.Time) (home string, known bool) {
	if loc := pi.location(nodes, rq.Shared, now); loc != "" {
		return loc, true
	}
	least := math.Inf(1)
	for _, nd := range pi.homes(nodes, rq.Shared) {
		if rq.Exclude[nd.ID] || nd.Avoided(now) {
			continue
		}
		if cost := pi.cost(nd, rq, rq.Tokens, "", now); cost < least {
			home, least = nd.ID, cost
		}
	}
	return home, false
}

// location returns the engine that any entry last used for the last shared part, if it
// still runs.
func (pi *Picker) location(nodes []*node.Node, shared []citronstream.PromptPart, now time.Time) string {
	el := pi.parts[shared[len(shared)-1].ID]
	if el == nil {
		return ""
	}
	loc := el.Value.(*partLocation)
	if now.Sub(loc.lastUse) < partTTL && slices.ContainsFunc(nodes, func(nd *node.Node) bool { return nd.ID == loc.Engine && nd.StartedMs == loc.StartedMs }) {
		return loc.Engine
	}
	return ""
}

// homes returns the engines among which the first request with some shared parts is
// placed, the first by hash first. Requests with equal first parts go to few engines,
// because each of these engines has to read the first part once.
func (pi *Picker) homes(nodes []*node.Node, shared []citronstream.PromptPart) []*node.Node {
	for i, part := range shared {
		count := homeChoices
		if i < len(shared)-1 {
			count = pi.spread(part.ID, len(nodes))
		}
		nodes = topByHash(nodes, part.ID, count)
	}
	return nodes
}

// topByHash returns the engines with the highest scores for a part (rendezvous hashing).
func topByHash(nodes []*node.Node, id uint64, count int) []*node.Node {
	type scored struct {
		node  *node.Node
		score uint64
	}
	list := make([]scored, len(nodes))
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], id)
	for i, nd := range nodes {
		list[i] = scored{nd, xxhash.Sum64(append(key[:], nd.ID...))}
	}
	slices.SortFunc(list, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	best := make([]*node.Node, 0, count)
	for _, sc := range list[:min(count, len(list))] {
		best = append(best, sc.node)
	}
	return best
}

// recordRead records that an engine reads a part, and queues that for the peers.
func (pi *Picker) recordRead(part citronstream.CachedPart) {
	now := pi.clk.Now()
	loc, changed := pi.setLocation(part, now)
	if (changed || now.Sub(loc.sent) > resendAfter) && len(pi.unsent) < maxUnsent {
		loc.sent = now
		pi.unsent, pi.changed = append(pi.unsent, part), true
	}
}

// setLocation sets the engine of a part and reports whether it changed.
func (pi *Picker) setLocation(part citronstream.CachedPart, now time.Time) (*partLocation, bool) {
	if el := pi.parts[part.Part]; el != nil {
		loc := el.Value.(*partLocation)
		changed := loc.CachedPart != part
		loc.CachedPart, loc.lastUse = part, now
		pi.lru.MoveToFront(el)
		return loc, changed
	}
	if len(pi.parts) >= maxParts {
		oldest := pi.lru.Back()
		delete(pi.parts, oldest.Value.(*partLocation).Part)
		pi.lru.Remove(oldest)
	}
	loc := &partLocation{CachedPart: part, lastUse: now}
	pi.parts[part.Part] = pi.lru.PushFront(loc)
	return loc, true
}

func (pi *Picker) ownLoad(id string) *load {
	ld := pi.ownLoads[id]
	if ld == nil {
		ld = &load{}
		pi.ownLoads[id] = ld
	}
	return ld
}

// Running returns the number of requests that this process and its peers have at an engine.
func (pi *Picker) Running(nd *node.Node) int {
	pi.mu.Lock()
	defer pi.mu.Unlock()
	running, _ := pi.totalLoad(nd.ID, pi.clk.Now())
	return running
}

// LoadRatio returns the requests at the busiest engine divided by the mean of all, as far
// as this process knows, 0 without requests.
func (pi *Picker) LoadRatio(nodes []*node.Node) float64 {
	pi.mu.Lock()
	defer pi.mu.Unlock()
	now, most, sum := pi.clk.Now(), 0, 0
	for _, nd := range nodes {
		running, _ := pi.totalLoad(nd.ID, now)
		most, sum = max(most, running), sum+running
	}
	if sum == 0 {
		return 0
	}
	return float64(most) * float64(len(nodes)) / float64(sum)
}

// totalLoad returns the requests at an engine and the tokens that it has to read.
// What peers told is older: the engine has read on since, and its rate is shared
// by the prompts of all.
func (pi *Picker) totalLoad(id string, now time.Time) (running int, prefill float64) {
	if ld := pi.ownLoads[id]; ld != nil {
		running, prefill = ld.running, float64(ld.prefillTokens)
	}
	all := prefill
	for _, pe := range pi.peers[id] {
		if now.Sub(pe.at) < peerLoadTTL {
			running += pe.Running
			all += float64(pe.PrefillTokens)
		}
	}
	for _, pe := range pi.peers[id] {
		if age := now.Sub(pe.at); age < peerLoadTTL && pe.PrefillTokens > 0 {
			told := float64(pe.PrefillTokens)
			prefill += max(0, told-told/all*pi.readRate*float64(age.Milliseconds()))
		}
	}
	return running, prefill
}

// unread removes a request from the load that only requests without a first event are.
func (ld *load) unread(rq Request) {
	ld.prefillTokens = max(0, ld.prefillTokens-rq.unread)
	if rq.Apart {
		ld.apart--
	}
}

// FirstEvent records the first event of a request, which means that its prompt was read.
func (pi *Picker) FirstEvent(nd *node.Node, rq Request) {
	pi.mu.Lock()
	defer pi.mu.Unlock()
	ld := pi.ownLoad(nd.ID)
	ld.unread(rq)
	pi.changed = true
	if took := pi.clk.Since(rq.picked); rq.known && rq.unread >= minSampleTokens && took > 0 {
		sample, weight := float64(rq.unread)/float64(took.Milliseconds()+1), rateDown
		if sample > pi.readRate {
			weight = rateUp
		}
		pi.readRate += weight * (sample - pi.readRate)
	}
}

// End removes a request from the load. Begun says that FirstEvent was called for it.
func (pi *Picker) End(nd *node.Node, rq Request, begun bool) {
	pi.mu.Lock()
	defer pi.mu.Unlock()
	ld := pi.ownLoad(nd.ID)
	ld.running--
	if !begun {
		ld.unread(rq)
	}
	if ld.running <= 0 {
		delete(pi.ownLoads, nd.ID)
	}
	pi.changed = true
}

// UpdateLoad applies a peer's message: its load on the engines and the parts it sent there.
func (pi *Picker) UpdateLoad(peer string, pl citronstream.EntryLoad) {
	pi.mu.Lock()
	defer pi.mu.Unlock()
	now := pi.clk.Now()
	pi.removePeer(peer)
	for id, el := range pl.Engines {
		if pi.peers[id] == nil {
			pi.peers[id] = make(map[string]peerLoad)
		}
		pi.peers[id][peer] = peerLoad{el, now}
	}
	for _, part := range pl.Cached {
		loc, _ := pi.setLocation(part, now)
		loc.sent = now
	}
}

// removePeer forgets the loads of a peer, which are replaced.
func (pi *Picker) removePeer(peer string) {
	for id, loads := range pi.peers {
		if delete(loads, peer); len(loads) == 0 {
			delete(pi.peers, id)
		}
	}
}

// ChangedLoad returns the message for the peers, with the load of this process, and
// whether it has changed since the last call.
func (pi *Picker) ChangedLoad() (citronstream.EntryLoad, bool) {
	pi.mu.Lock()
	defer pi.mu.Unlock()
	changed := pi.changed
	pi.changed = false
	pi.dropExpired()
	pl := citronstream.EntryLoad{Engines: make(map[string]citronstream.EngineLoad, len(pi.ownLoads)), Cached: pi.unsent}
	pi.unsent = nil
	for id, ld := range pi.ownLoads {
		pl.Engines[id] = citronstream.EngineLoad{Running: ld.running, PrefillTokens: ld.prefillTokens}
	}
	pi.addStarts(pl.Engines)
	return pl, changed
}

// dropExpired forgets the loads of peers that have been silent for long.
func (pi *Picker) dropExpired() {
	now := pi.clk.Now()
	for id, loads := range pi.peers {
		for peer, ld := range loads {
			if now.Sub(ld.at) >= peerLoadTTL {
				delete(loads, peer)
			}
		}
		if len(loads) == 0 {
			delete(pi.peers, id)
		}
	}
}
