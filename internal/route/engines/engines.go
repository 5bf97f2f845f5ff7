// Package engines chooses a model engine for a request: where the shared part
// of its prompt was read before, unless that engine has much more to do than
// another one.
package engines

import (
	"cmp"
	"container/list"
	"encoding/binary"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
)

const (
	// readRate is the prompt tokens that an engine is taken to read in a
	// millisecond until its answers have told.
	readRate = 40.0
	// runCost is the delay that each running request adds to a first event:
	// a step of the engine takes longer with each, and prompts are read between steps.
	runCost = 0.5
	// delayWeight weighs a delay with which a request still reaches its target: it
	// only takes the time of others. lateWeight weighs what is beyond that.
	delayWeight = 0.3
	lateWeight  = 3.0
	// warmFactor weighs the time to read a shared part again. A second copy
	// also takes memory of another engine and is billed.
	warmFactor = 10.0
	// narrow is the part of the engines, one in so many, among which requests
	// with an equal part have their homes.
	narrow = 3
	// crossCost is the delay in ms that a request accepts per megabyte of inputs
	// that need not cross zones.
	crossCost = 60.0
	// failCost is the delay that stands for a failed request.
	failCost = 2000.0
	// memoryLife is how long a shared part is taken to stay in an engine's memory.
	memoryLife = 30 * time.Second
	// tellAfter is the age after which peers are told again that a part is used.
	tellAfter = 10 * time.Second
	maxShared = 65536
	// maxNews bounds the parts that are told to the peers at once.
	maxNews = 1024
	// peerLife is how long a peer's load counts. Peers send a change within 100 ms.
	peerLife = 3 * time.Second
)

// Request is what the choice depends on.
type Request struct {
	Tokens int // of the prompt
	// Shared are the parts of the prompt that other requests share, in order.
	Shared []citronstream.PromptPart
	// Inputs are the bytes of results to fetch, by zone.
	Inputs map[string]int
	// Slack is the longest delay of the first event with which the request
	// reaches its target; 0 and less when it can't, and each delay counts in full.
	Slack   time.Duration
	Exclude map[string]bool // IDs of upstreams that are not to be used
}

type load struct {
	running int
	unread  int
}

type peerLoad struct {
	at    time.Time
	loads map[string]citronstream.EngineLoad
}

// memory says which engine read a shared part last.
type memory struct {
	citronstream.CachedPart
	at   time.Time // last use that is known
	told time.Time // when peers were told, or told this process
}

// Picker chooses engines. Its methods are called concurrently.
type Picker struct {
	clk citronstream.Clock

	mu    sync.Mutex
	own   map[string]*load
	peers map[string]peerLoad
	byID  map[uint64]*list.Element
	order *list.List // of *memory, the newest first
	rate  float64    // prompt tokens read in a ms
	news  []citronstream.CachedPart
	dirty bool
}

// New returns a picker that knows no loads.
func New(clk citronstream.Clock) *Picker {
	return &Picker{
		clk: clk, own: make(map[string]*load), peers: make(map[string]peerLoad),
		byID: make(map[uint64]*list.Element), order: list.New(), rate: readRate,
	}
}

// Pick chooses one of the engines and counts the request there. It returns nil
// if none can be used. The caller ends the count with First and End.
func (pi *Picker) Pick(nodes []*node.Node, rq Request) *node.Node {
	pi.mu.Lock()
	defer pi.mu.Unlock()
	best := pi.choose(nodes, rq)
	if best == nil {
		return nil
	}
	ld := pi.load(best.ID)
	ld.running++
	ld.unread += rq.Tokens
	pi.dirty = true
	if count := len(rq.Shared); count > 0 {
		pi.read(citronstream.CachedPart{Part: rq.Shared[count-1].ID, Engine: best.ID, StartedMs: best.StartedMs})
	}
	return best
}

// Prefer returns the engine that Pick would choose, without counting.
func (pi *Picker) Prefer(nodes []*node.Node, rq Request) *node.Node {
	pi.mu.Lock()
	defer pi.mu.Unlock()
	return pi.choose(nodes, rq)
}

func (pi *Picker) choose(nodes []*node.Node, rq Request) *node.Node {
	now := pi.clk.Now()
	home := ""
	if len(rq.Shared) > 0 {
		home = pi.home(nodes, rq.Shared, now)
	}
	var best *node.Node
	least := math.Inf(1)
	for _, no := range nodes {
		if rq.Exclude[no.ID] || no.Avoided(now) {
			continue
		}
		if cost := pi.cost(no, rq, home, now); cost < least {
			best, least = no, cost
		}
	}
	return best
}

// cost is the weighted delay of the first event, in ms, with what a choice costs besides.
func (pi *Picker) cost(no *node.Node, rq Request, home string, now time.Time) float64 {
	running, unread := pi.total(no.ID, now)
	delay := float64(unread+rq.Tokens)/pi.rate*no.Slowness() + float64(running)*runCost
	cost := delay
	if slack := float64(rq.Slack.Milliseconds()); slack > 0 {
		cost = delayWeight*delay + lateWeight*max(0, delay-slack)
	}
	if home != "" && no.ID != home {
		cost += float64(rq.tokens()) / pi.rate * warmFactor
	}
	for zone, bytes := range rq.Inputs {
		if zone != no.Zone {
			cost += float64(bytes) / 1e6 * crossCost
		}
	}
	return cost + no.Failures()*failCost
}

// tokens returns the size of the shared parts.
func (rq *Request) tokens() (sum int) {
	for _, part := range rq.Shared {
		sum += part.Tokens
	}
	return sum
}

// home returns the engine that holds the shared parts: the one that read the
// last of them last, for any entry, else the one that all entries agree on. Requests with
// equal first parts have their homes among few engines, as each of these
// engines reads the first part once.
func (pi *Picker) home(nodes []*node.Node, shared []citronstream.PromptPart, now time.Time) string {
	if el := pi.byID[shared[len(shared)-1].ID]; el != nil {
		me := el.Value.(*memory)
		if now.Sub(me.at) < memoryLife && slices.ContainsFunc(nodes, func(no *node.Node) bool { return no.ID == me.Engine && no.StartedMs == me.StartedMs }) {
			return me.Engine
		}
	}
	for i, part := range shared {
		count := 1
		if i < len(shared)-1 {
			count = (len(nodes) + narrow - 1) / narrow
		}
		nodes = nearest(nodes, part.ID, count)
	}
	if len(nodes) == 0 {
		return ""
	}
	return nodes[0].ID
}

// nearest returns the engines with the highest scores for a part (rendezvous hashing).
func nearest(nodes []*node.Node, id uint64, count int) []*node.Node {
	type scored struct {
		no    *node.Node
		score uint64
	}
	list := make([]scored, len(nodes))
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], id)
	for i, no := range nodes {
		list[i] = scored{no, xxhash.Sum64(append(key[:], no.ID...))}
	}
	slices.SortFunc(list, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	best := make([]*node.Node, 0, count)
	for _, sc := range list[:min(count, len(list))] {
		best = append(best, sc.no)
	}
	return best
}

// read notes that a request brings a part to an engine, for the peers too.
func (pi *Picker) read(part citronstream.CachedPart) {
	now := pi.clk.Now()
	me, changed := pi.remember(part, now)
	if (changed || now.Sub(me.told) > tellAfter) && len(pi.news) < maxNews {
		me.told = now
		pi.news, pi.dirty = append(pi.news, part), true
	}
}

// remember notes where a part was read, and reports whether that is new.
func (pi *Picker) remember(part citronstream.CachedPart, now time.Time) (*memory, bool) {
	if el := pi.byID[part.Part]; el != nil {
		me := el.Value.(*memory)
		changed := me.CachedPart != part
		me.CachedPart, me.at = part, now
		pi.order.MoveToFront(el)
		return me, changed
	}
	if len(pi.byID) >= maxShared {
		oldest := pi.order.Back()
		delete(pi.byID, oldest.Value.(*memory).Part)
		pi.order.Remove(oldest)
	}
	me := &memory{CachedPart: part, at: now}
	pi.byID[part.Part] = pi.order.PushFront(me)
	return me, true
}

func (pi *Picker) load(id string) *load {
	ld := pi.own[id]
	if ld == nil {
		ld = &load{}
		pi.own[id] = ld
	}
	return ld
}

// Running returns the requests that this process and its peers have at an engine.
func (pi *Picker) Running(no *node.Node) int {
	pi.mu.Lock()
	defer pi.mu.Unlock()
	running, _ := pi.total(no.ID, pi.clk.Now())
	return running
}

func (pi *Picker) total(id string, now time.Time) (running, unread int) {
	if ld := pi.own[id]; ld != nil {
		running, unread = ld.running, ld.unread
	}
	for _, pe := range pi.peers {
		if now.Sub(pe.at) < peerLife {
			running, unread = running+pe.loads[id].Running, unread+pe.loads[id].PrefillTokens
		}
	}
	return running, unread
}

// First notes the first event of a request with the time since it was sent.
func (pi *Picker) First(no *node.Node, rq Request) {
	pi.mu.Lock()
	defer pi.mu.Unlock()
	ld := pi.load(no.ID)
	ld.unread = max(0, ld.unread-rq.Tokens)
	pi.dirty = true
}

// End ends the count of a request. Begun says that First was called for it.
func (pi *Picker) End(no *node.Node, rq Request, begun bool) {
	pi.mu.Lock()
	defer pi.mu.Unlock()
	ld := pi.load(no.ID)
	ld.running--
	if !begun {
		ld.unread = max(0, ld.unread-rq.Tokens)
	}
	if ld.running <= 0 {
		delete(pi.own, no.ID)
	}
	pi.dirty = true
}

// Hear takes the load that a peer has put on the engines.
func (pi *Picker) Hear(peer string, pl citronstream.EntryLoad) {
	pi.mu.Lock()
	defer pi.mu.Unlock()
	now := pi.clk.Now()
	pi.peers[peer] = peerLoad{at: now, loads: pl.Engines}
	for _, part := range pl.Cached {
		me, _ := pi.remember(part, now)
		me.told = now
	}
}

// Forget drops what a peer has told, as when its link is lost.
func (pi *Picker) Forget(peer string) {
	pi.mu.Lock()
	defer pi.mu.Unlock()
	delete(pi.peers, peer)
}

// News returns the load of this process, and whether it has changed since the last call.
func (pi *Picker) News() (citronstream.EntryLoad, bool) {
	pi.mu.Lock()
	defer pi.mu.Unlock()
	changed := pi.dirty
	pi.dirty = false
	pl := citronstream.EntryLoad{Engines: make(map[string]citronstream.EngineLoad, len(pi.own)), Cached: pi.news}
	pi.news = nil
	for id, ld := range pi.own {
		pl.Engines[id] = citronstream.EngineLoad{Running: ld.running, PrefillTokens: ld.unread}
	}
	return pl, changed
}
