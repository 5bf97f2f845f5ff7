// Package engines chooses a model engine for a request: the one that has the
// shared part of its prompt cached, unless that engine is much more loaded than
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
	// readRate is the assumed prefill rate of an engine, in prompt tokens per
	// millisecond.
	readRate = 40.0
	// runCost is the delay in ms that each running request adds to a first event:
	// each makes a step of the engine longer, and prompts are read between steps.
	runCost = 0.5
	// delayWeight weighs a delay with which a request still reaches its target:
	// it only delays other requests. lateWeight weighs the delay beyond that.
	delayWeight = 0.3
	lateWeight  = 3.0
	// warmFactor weighs the time to read a shared part again. A second copy
	// also takes the memory of another engine and is billed.
	warmFactor = 10.0
	// narrow divides the number of engines to give the number among which
	// requests with an equal part are distributed.
	narrow = 3
	// crossCost is the delay in ms that a request accepts for each megabyte of
	// inputs that it saves from crossing zones.
	crossCost = 60.0
	// failCost is the delay in ms that stands for a failed request.
	failCost = 2000.0
	// memoryLife is how long a shared part is assumed to stay in an engine's cache.
	memoryLife = 30 * time.Second
	// tellAfter is the time after which a part still in use is sent to the peers again.
	tellAfter = 10 * time.Second
	maxShared = 65536
	// maxNews bounds the parts in one message to the peers.
	maxNews = 1024
	// peerLife is how long a peer's load counts. Peers send a change within 100 ms.
	peerLife = 3 * time.Second
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
}

type load struct {
	running int
	unread  int
}

type peerLoad struct {
	at    time.Time
	loads map[string]citronstream.EngineLoad
}

// partLocation is the engine that read a shared part last.
type memory struct {
	citronstream.PartAt
	at   time.Time // last known use
	told time.Time // last sent to or received from a peer
}

// Picker chooses engines. Its methods are called concurrently.
type Picker struct {
	clk citronstream.Clock

	mu    sync.Mutex
	own   map[string]*load
	peers map[string]peerLoad
	byID  map[uint64]*list.Element
	order *list.List // of *partLocation, the most recently used first
	rate  float64    // prompt tokens per ms
	news  []citronstream.PartAt
	dirty bool
}

// New returns a picker without loads.
func New(clk citronstream.Clock) *Picker {
	return &Picker{
		clk: clk, own: make(map[string]*load), peers: make(map[string]peerLoad),
		byID: make(map[uint64]*list.Element), order: list.New(), rate: readRate,
	}
}

// Pick chooses an engine and adds the request to its load. It returns nil if
// none can be used. The caller removes the load with First and End.
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
		pi.read(citronstream.PartAt{Part: rq.Shared[count-1].ID, Engine: best.ID, Born: best.Born})
	}
	return best
}

// Prefer returns the engine that Pick would choose, without adding to its load.
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

// cost returns the weighted delay of the first event, in ms, plus penalties for
// a cold cache, inputs in other zones and failures.
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

// tokens returns the number of tokens in the shared parts.
func (rq *Request) tokens() (sum int) {
	for _, part := range rq.Shared {
		sum += part.Tokens
	}
	return sum
}

// home returns the engine that holds the shared parts: the one that any entry
// last used for the last of them, else one chosen by hash, which is the same at
// all entries. Requests with equal first parts go to few engines, because each
// of these engines has to read the first part once.
func (pi *Picker) home(nodes []*node.Node, shared []citronstream.PromptPart, now time.Time) string {
	if el := pi.byID[shared[len(shared)-1].ID]; el != nil {
		me := el.Value.(*memory)
		if now.Sub(me.at) < memoryLife && slices.ContainsFunc(nodes, func(no *node.Node) bool { return no.ID == me.Engine && no.Born == me.Born }) {
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

// read records that an engine reads a part, and queues that for the peers.
func (pi *Picker) read(part citronstream.PartAt) {
	now := pi.clk.Now()
	me, changed := pi.remember(part, now)
	if (changed || now.Sub(me.told) > tellAfter) && len(pi.news) < maxNews {
		me.told = now
		pi.news, pi.dirty = append(pi.news, part), true
	}
}

// remember sets the engine of a part and reports whether it changed.
func (pi *Picker) remember(part citronstream.PartAt, now time.Time) (*memory, bool) {
	if el := pi.byID[part.Part]; el != nil {
		me := el.Value.(*memory)
		changed := me.PartAt != part
		me.PartAt, me.at = part, now
		pi.order.MoveToFront(el)
		return me, changed
	}
	if len(pi.byID) >= maxShared {
		oldest := pi.order.Back()
		delete(pi.byID, oldest.Value.(*memory).Part)
		pi.order.Remove(oldest)
	}
	me := &memory{PartAt: part, at: now}
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

// Running returns the number of requests that this process and its peers have at an engine.
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
			running, unread = running+pe.loads[id].Running, unread+pe.loads[id].Unread
		}
	}
	return running, unread
}

// First records the first event of a request, which means that its prompt was read.
func (pi *Picker) First(no *node.Node, rq Request) {
	pi.mu.Lock()
	defer pi.mu.Unlock()
	ld := pi.load(no.ID)
	ld.unread = max(0, ld.unread-rq.Tokens)
	pi.dirty = true
}

// End removes a request from the load. Begun says that First was called for it.
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

// Hear applies a peer's message: its load on the engines and the parts it sent there.
func (pi *Picker) Hear(peer string, pl citronstream.Places) {
	pi.mu.Lock()
	defer pi.mu.Unlock()
	now := pi.clk.Now()
	pi.peers[peer] = peerLoad{at: now, loads: pl.Engines}
	for _, part := range pl.Read {
		me, _ := pi.remember(part, now)
		me.told = now
	}
}

// Forget removes the load of a peer, for example when its link is lost.
func (pi *Picker) Forget(peer string) {
	pi.mu.Lock()
	defer pi.mu.Unlock()
	delete(pi.peers, peer)
}

// News returns the message for the peers, with the load of this process, and
// whether it has changed since the last call.
func (pi *Picker) News() (citronstream.Places, bool) {
	pi.mu.Lock()
	defer pi.mu.Unlock()
	changed := pi.dirty
	pi.dirty = false
	pl := citronstream.Places{Engines: make(map[string]citronstream.EngineLoad, len(pi.own)), Read: pi.news}
	pi.news = nil
	for id, ld := range pi.own {
		pl.Engines[id] = citronstream.EngineLoad{Running: ld.running, Unread: ld.unread}
	}
	return pl, changed
}
