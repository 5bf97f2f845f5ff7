// Package mesh links the entries of a site with each other.
package mesh

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/kernel/acceptor"
	"github.com/citronstream/citronstream/internal/limit/connlimit"
	"github.com/citronstream/citronstream/internal/peer/dialer"
	"github.com/citronstream/citronstream/internal/peer/link"
	"github.com/citronstream/citronstream/internal/peer/nbconn"
	"github.com/go-logr/logr"
)

const (
	// maxPeers bounds the entries that a process links to.
	maxPeers = 1024
	// maxIncoming bounds the links that peers open, unless Limit sets another number: a peer
	// that lost its link may open a second one.
	maxIncoming = 2 * maxPeers
	// removeAfter is how long an entry may be unreachable before it is removed.
	removeAfter = 2 * time.Minute
	// Times after which an idle link is pinged. A link with calls in flight is
	// pinged earlier; a silent peer must be noticed within contact times of 3 s in
	// small sites and 5 s in large ones.
	minIdlePing = time.Second
	maxIdlePing = 3 * time.Second
	pingPerPeer = 25 * time.Millisecond
)

// Handler handles a message from a peer. It must not block.
type Handler func(from string, li *link.Link, re *link.Request)

// Mesh keeps a link to each other entry.
type Mesh struct {
	clk          citronstream.Clock
	began        time.Time
	log          logr.Logger
	eng          *nbconn.Engine
	self         func() citronstream.PeerInfo
	handler      Handler
	onPeerUpdate func(pe *Peer, li *link.Link)
	conns        *connlimit.Limit // of links that peers open
	onLimit      func(limit string)

	ctx        context.Context
	ln         *acceptor.Listener
	acceptDone chan struct{}

	mu        sync.Mutex
	byAddress map[string]*Peer
	peers     atomic.Pointer[[]*Peer] // all peers, in the order of their addresses
	replaced  atomic.Uint64           // loads that were not sent, as newer ones came first
}

// Peer is another entry.
type Peer struct {
	Address string

	zone    string // as first told; seeds have none
	mesh    *Mesh
	started atomic.Int64 // start of its process, in ns of Mesh.now
	info    atomic.Pointer[citronstream.PeerInfo]
	dialer  atomic.Pointer[dialer.Dialer]
	cancel  context.CancelFunc
	lostAt  atomic.Int64 // when the link was lost, in ns of Mesh.now; 0 while it is up
	leaving atomic.Bool
	seed    bool // from the settings, guarded by Mesh.mu
	greeted atomic.Pointer[link.Link]
}

// New returns a mesh without links. Self describes this process. onPeerUpdate
// is called when a peer has described itself or changed, and must not block.
func New(clk citronstream.Clock, log logr.Logger, eng *nbconn.Engine, self func() citronstream.PeerInfo, handler Handler, onPeerUpdate func(pe *Peer, li *link.Link)) *Mesh {
	ms := &Mesh{clk: clk, began: clk.Now(), log: log, eng: eng, self: self, handler: handler, onPeerUpdate: onPeerUpdate, byAddress: make(map[string]*Peer)}
	ms.peers.Store(&[]*Peer{})
	ms.Limit(maxIncoming, func(string) {})
	return ms
}

// Start listens for peers at the address until ctx ends.
func (ms *Mesh) Start(ctx context.Context, address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return merry.Prependf(err, "peers at %s", address)
	}
	ms.ctx, ms.ln, ms.acceptDone = ctx, acceptor.New(ms.clk, ms.log, ln), make(chan struct{})
	go ms.acceptLinks()
	return nil
}

// Close ends the listener and the links to the peers. Links that peers opened
// end with the context of Start.
func (ms *Mesh) Close() {
	_ = ms.ln.Close()
	<-ms.acceptDone
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for _, pe := range ms.byAddress {
		pe.cancel()
		<-pe.dialer.Load().Done()
	}
}

// Listener returns the listener for peers, nil before Start.
func (ms *Mesh) Listener() *acceptor.Listener { return ms.ln }

// now returns the ns since the mesh began, by the steady clock and at least 1: the time
// of day may jump.
func (ms *Mesh) now() int64 { return max(1, int64(ms.clk.Since(ms.began))) }

func (ms *Mesh) idlePing() time.Duration { return idlePing(len(ms.Peers())) }

func (ms *Mesh) idleCheck() time.Duration { return ms.idlePing() * 3 / 10 }

// idlePing returns after which silence a link without calls in flight is pinged. A
// process has two links for each peer, so that its pings would grow with the fleet.
func idlePing(peers int) time.Duration {
	return min(maxIdlePing, max(minIdlePing, time.Duration(peers)*pingPerPeer))
}

func (ms *Mesh) acceptLinks() {
	defer close(ms.acceptDone)
	for {
		nc, err := ms.ln.Accept()
		if err != nil {
			if ms.ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
				ms.log.Error(err, "peer listener failed")
			}
			return
		}
		stream, err := ms.eng.Attach(nc)
		if err != nil {
			ms.log.Error(err, "peer connection not accepted", "remote", nc.RemoteAddr().String())
			_ = nc.Close()
			continue
		}
		var place *connlimit.Conn
		ready := make(chan struct{})
		handle := func(li *link.Link, re *link.Request) {
			<-ready
			ms.handleIncoming(li, re, place)
		}
		li := link.New(ms.ctx, ms.clk, stream, handle, link.WithGreeting(link.GreetingTime), link.WithIdlePing(ms.idlePing), link.WithIdleCheck(ms.idleCheck), link.WithPriorities(&ms.replaced))
		if place = ms.conns.Add(li.Close); place == nil {
			li.Close()
		}
		close(ready)
		go ms.removeOnClose(li, place)
	}
}

// removeOnClose ends the count of a link that a peer opened.
func (ms *Mesh) removeOnClose(li *link.Link, place *connlimit.Conn) {
	<-li.Done()
	place.Remove()
	if errors.Is(li.Err(), link.ErrNotGreeted) {
		ms.onLimit(LimitGreeting)
	}
}

// Limits on peers, as named in metrics and log lines.
const (
	LimitConnections = "peer_connections"
	LimitGreeting    = "peer_greeting"
)

// Limit bounds the links that peers open. It is called before Start. OnLimit is called when
// a limit takes effect.
func (ms *Mesh) Limit(most int, onLimit func(limit string)) {
	ms.onLimit = onLimit
	ms.conns = connlimit.New(most, link.MaxNew, func() { onLimit(LimitConnections) })
}

// handleIncoming handles the messages on links that peers opened.
func (ms *Mesh) handleIncoming(li *link.Link, re *link.Request, place *connlimit.Conn) {
	if re.Method == citronstream.MethodHandshake {
		var info citronstream.PeerInfo
		if err := re.Decode(&info); err != nil {
			re.ReplyError(err)
			return
		}
		li.SetSession(info.Address)
		li.Greeted()
		place.Known()
		if pe := ms.AddPeer(info.Address, info.Zone); pe != nil {
			ms.setInfo(pe, info)
		}
		re.Reply(ms.self())
		return
	}
	from, ok := li.Session().(string)
	if re.Method == citronstream.MethodPeerUpdate && ok {
		ms.handleUpdate(from, re)
		return
	}
	if !ok {
		re.ReplyError(citronstream.NewFault(citronstream.NotRun, citronstream.CodeUnauthorized, "the first message of a peer must be Site.Meet"))
		return
	}
	ms.handler(from, li, re)
}

// AddPeer returns the peer at an address and adds it if it is new. It returns nil
// for the process itself, above maxPeers, and after the context of Start has ended.
func (ms *Mesh) AddPeer(address, zone string) *Peer {
	if address == "" || address == ms.self().Address {
		return nil
	}
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if pe := ms.byAddress[address]; pe != nil {
		return pe
	}
	if len(ms.byAddress) >= maxPeers || ms.ctx.Err() != nil {
		return nil
	}
	ctx, cancel := context.WithCancel(ms.ctx)
	pe := &Peer{Address: address, mesh: ms, zone: zone, cancel: cancel}
	pe.lostAt.Store(ms.now())
	pe.dialer.Store(dialer.New(ctx, ms.clk, ms.eng, address,
		func(li *link.Link, re *link.Request) { ms.handler(address, li, re) },
		dialer.WithLinkOptions(link.WithIdlePing(ms.idlePing), link.WithIdleCheck(ms.idleCheck), link.WithPriorities(&ms.replaced)),
		dialer.WithUp(func(ctx context.Context, li *link.Link) error { return ms.handshake(ctx, pe, li) }),
		dialer.WithDown(func(err error) { ms.linkDown(pe, err) })))
	ms.byAddress[address] = pe
	ms.publish()
	return pe
}

// AddSeed adds a peer of the settings. It is never removed: after a long cut between all
// entries, nothing else may tell its address.
func (ms *Mesh) AddSeed(address string) {
	if pe := ms.AddPeer(address, ""); pe != nil {
		ms.mu.Lock()
		defer ms.mu.Unlock()
		pe.seed = true
	}
}

func (ms *Mesh) handshake(ctx context.Context, pe *Peer, li *link.Link) error {
	var info citronstream.PeerInfo
	if err := li.Call(ctx, citronstream.MethodHandshake, ms.self(), &info); err != nil {
		return err
	}
	pe.lostAt.Store(0)
	ms.setInfo(pe, info)
	ms.log.Info("peer linked", "peer", info.Name, "address", pe.Address, "zone", info.Zone, "leaving", info.Leaving, "revision", citronstream.FormatVersion(info.Revision))
	ms.onPeerUpdate(pe, li)
	return nil
}

func (ms *Mesh) setInfo(pe *Peer, info citronstream.PeerInfo) {
	pe.started.Store(ms.now() - int64(info.Age))
	pe.info.Store(&info)
	pe.leaving.Store(info.Leaving)
}

func (ms *Mesh) linkDown(pe *Peer, err error) {
	if pe.lostAt.CompareAndSwap(0, ms.now()) {
		ms.log.Info("peer lost", "peer", pe.Name(), "address", pe.Address, "reason", err.Error())
	}
}

// handleUpdate handles a notification that a peer's description has changed.
func (ms *Mesh) handleUpdate(from string, re *link.Request) {
	var info citronstream.PeerInfo
	if re.Decode(&info) != nil {
		return
	}
	ms.mu.Lock()
	pe := ms.byAddress[from]
	ms.mu.Unlock()
	if pe == nil {
		return
	}
	if info.Leaving && !pe.leaving.Load() {
		ms.log.Info("peer leaving", "peer", info.Name)
	}
	ms.setInfo(pe, info)
	if li := pe.Link(); li != nil {
		ms.onPeerUpdate(pe, li)
	}
}

// publish updates the list of peers for lock-free reads. The caller holds the lock.
func (ms *Mesh) publish() {
	list := make([]*Peer, 0, len(ms.byAddress))
	for _, pe := range ms.byAddress {
		list = append(list, pe)
	}
	slices.SortFunc(list, func(a, b *Peer) int { return strings.Compare(a.Address, b.Address) })
	ms.peers.Store(&list)
}

// Prune removes the entries that have been unreachable for longer than removeAfter, except
// seeds.
func (ms *Mesh) Prune() {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	now := ms.now()
	for address, pe := range ms.byAddress {
		if lost := pe.lostAt.Load(); lost != 0 && now-lost > int64(removeAfter) && !pe.seed {
			pe.cancel()
			delete(ms.byAddress, address)
		}
	}
	ms.publish()
}

// Peers returns all known entries except this one.
func (ms *Mesh) Peers() []*Peer { return *ms.peers.Load() }

// Replaced returns the number of loads that were not sent to a peer, as its link was
// saturated until newer ones came.
func (ms *Mesh) Replaced() uint64 { return ms.replaced.Load() }

// LiveCount returns the number of entries that can take work, including this one.
func (ms *Mesh) LiveCount() int {
	count := 1
	for _, pe := range ms.Peers() {
		if pe.Up() {
			count++
		}
	}
	return count
}

// Broadcast sends a notification to all linked peers. It is encoded once for all.
func (ms *Mesh) Broadcast(method string, params any) {
	ms.Tell(method, params, func(*Peer) bool { return true })
}

// classOf returns the class of a notification on links that are saturated. What a process
// tells of its configuration, or that it leaves, goes first. Loads go last, and only the
// newest ones, else each tick of a fleet would lengthen what waits on a slow link.
func classOf(method string) link.Class {
	switch method {
	case citronstream.MethodPeerUpdate:
		return link.First
	case citronstream.MethodEntryLoad, citronstream.MethodQueueLoads:
		return link.Latest
	}
	return link.Ordinary
}

// Tell sends a notification to the linked peers that wanted selects.
func (ms *Mesh) Tell(method string, params any, wanted func(pe *Peer) bool) {
	ms.tell(classOf(method), method, params, wanted)
}

// BroadcastFirst is Broadcast for a notification that goes before others on a saturated link.
func (ms *Mesh) BroadcastFirst(method string, params any) {
	ms.tell(link.First, method, params, func(*Peer) bool { return true })
}

func (ms *Mesh) tell(class link.Class, method string, params any, wanted func(pe *Peer) bool) {
	raw, err := json.Marshal(params)
	if err != nil {
		ms.log.Error(err, "message to peers not encoded", "method", method)
		return
	}
	for _, pe := range ms.Peers() {
		if li := pe.Link(); li != nil && wanted(pe) {
			_ = li.NotifyAs(class, method, json.RawMessage(raw)) // a failed link is reopened, and the peer then asks for the state
		}
	}
}

// Boot identifies the run of the peer's process, empty while unknown.
func (pe *Peer) Boot() string {
	if info := pe.info.Load(); info != nil {
		return info.Boot
	}
	return ""
}

// Reopened returns the link that replaces a lost one, or nil if the next attempt to
// connect fails or ctx ends before.
func (pe *Peer) Reopened(ctx context.Context, lost *link.Link) *link.Link {
	return pe.dialer.Load().Reopened(ctx, lost)
}

// Name returns the peer's name, or its address while the name is unknown.
func (pe *Peer) Name() string {
	if info := pe.info.Load(); info != nil {
		return info.Name
	}
	return pe.Address
}

// Zone returns the peer's zone, empty while it is unknown.
func (pe *Peer) Zone() string {
	if info := pe.info.Load(); info != nil {
		return info.Zone
	}
	return pe.zone
}

// Revision returns the version of the row with the peer's configuration, 0 while unknown.
func (pe *Peer) Revision() uint64 {
	if info := pe.info.Load(); info != nil {
		return info.Revision
	}
	return 0
}

// ConfigBytes returns the size of the row with the peer's configuration, 0 while unknown.
func (pe *Peer) ConfigBytes() int {
	if info := pe.info.Load(); info != nil {
		return info.ConfigBytes
	}
	return 0
}

// Capacity returns the peer's capacity relative to other entries, 0 while unknown.
func (pe *Peer) Capacity() float64 {
	if info := pe.info.Load(); info != nil {
		return info.Capacity
	}
	return 0
}

// Age returns how long the peer's process has run, by its last description.
func (pe *Peer) Age() time.Duration { return time.Duration(pe.mesh.now() - pe.started.Load()) }

// Leaving reports whether the peer has said that it leaves.
func (pe *Peer) Leaving() bool { return pe.leaving.Load() }

// UnreachableFor returns how long the peer has been unreachable, 0 while it is linked.
func (pe *Peer) UnreachableFor() time.Duration {
	lost := pe.lostAt.Load()
	if lost == 0 {
		return 0
	}
	return time.Duration(pe.mesh.now() - lost)
}

// Link returns the open link to the peer, or nil.
func (pe *Peer) Link() *link.Link {
	if di := pe.dialer.Load(); di != nil {
		return di.Link()
	}
	return nil
}

// Greet reports whether li is a link to the peer for which it was not called yet.
func (pe *Peer) Greet(li *link.Link) bool { return pe.greeted.Swap(li) != li }

// Up reports whether the peer can take work.
func (pe *Peer) Up() bool {
	li := pe.Link()
	return li != nil && !li.PingOverdue() && !pe.leaving.Load()
}
