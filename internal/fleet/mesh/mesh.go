// Package mesh links the entries of a site with each other.
package mesh

import (
	"context"
	"errors"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/peer/dialer"
	"github.com/citronstream/citronstream/internal/peer/link"
	"github.com/citronstream/citronstream/internal/peer/nbconn"
	"github.com/go-logr/logr"
)

const (
	// maxPeers bounds the entries that a process links to.
	maxPeers = 1024
	// forgetAfter is how long an entry may be out of reach before its link is given up.
	forgetAfter = 2 * time.Minute
)

// Handler takes a message of a peer. It must not block.
type Handler func(from string, li *link.Link, re *link.Request)

// Mesh holds a link to each other entry.
type Mesh struct {
	clk     citronstream.Clock
	log     logr.Logger
	eng     *nbconn.Engine
	self    func() citronstream.PeerInfo
	handler Handler
	onMeet  func(pe *Peer, li *link.Link)

	ctx    context.Context
	ln     net.Listener
	accept chan struct{}

	mu    sync.Mutex
	byAdr map[string]*Peer
	live  atomic.Pointer[[]*Peer] // all peers, in the order of their addresses
}

// Peer is another entry.
type Peer struct {
	Address string
	Zone    string

	meeting atomic.Pointer[citronstream.PeerInfo]
	dialer  atomic.Pointer[dialer.Dialer]
	cancel  context.CancelFunc
	lost    atomic.Int64 // when the link was lost, ns since 1970; 0 while it is up
	leaving atomic.Bool
}

// New returns a mesh that links to nobody yet. Self describes this process;
// onMeet is told of a peer that has said what it has, and must not block.
func New(clk citronstream.Clock, log logr.Logger, eng *nbconn.Engine, self func() citronstream.PeerInfo, handler Handler, onMeet func(pe *Peer, li *link.Link)) *Mesh {
	me := &Mesh{clk: clk, log: log, eng: eng, self: self, handler: handler, onMeet: onMeet, byAdr: make(map[string]*Peer)}
	me.live.Store(&[]*Peer{})
	return me
}

// Start listens for peers at the address until ctx ends.
func (me *Mesh) Start(ctx context.Context, address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return merry.Prependf(err, "peers at %s", address)
	}
	me.ctx, me.ln, me.accept = ctx, ln, make(chan struct{})
	go me.listen()
	return nil
}

// Close ends the listener. The links end with the context of Start.
func (me *Mesh) Close() {
	_ = me.ln.Close()
	<-me.accept
	me.mu.Lock()
	defer me.mu.Unlock()
	for _, pe := range me.byAdr {
		pe.cancel()
		<-pe.dialer.Load().Done()
	}
}

func (me *Mesh) listen() {
	defer close(me.accept)
	for {
		nc, err := me.ln.Accept()
		if err != nil {
			if me.ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
				me.log.Error(err, "listener of the peers ended")
			}
			return
		}
		stream, err := me.eng.Attach(nc)
		if err != nil {
			me.log.Error(err, "connection of a peer refused", "remote", nc.RemoteAddr().String())
			_ = nc.Close()
			continue
		}
		link.New(me.ctx, me.clk, stream, me.incoming)
	}
}

// incoming takes the messages on links that peers opened.
func (me *Mesh) incoming(li *link.Link, re *link.Request) {
	if re.Method == citronstream.MethodHandshake {
		var mt citronstream.PeerInfo
		if err := re.Decode(&mt); err != nil {
			re.ReplyError(err)
			return
		}
		li.SetSession(mt.Address)
		if pe := me.Learn(mt.Address, mt.Zone); pe != nil {
			me.met(pe, mt)
		}
		re.Reply(me.self())
		return
	}
	from, ok := li.Session().(string)
	if re.Method == citronstream.MethodPeerUpdate && ok {
		me.notice(from, re)
		return
	}
	if !ok {
		re.ReplyError(citronstream.NewFault(citronstream.NotRun, citronstream.CodeUnauthorized, "the peer has not introduced itself"))
		return
	}
	me.handler(from, li, re)
}

// Learn makes an entry known by its address. It returns nil for the process itself and above the bound.
func (me *Mesh) Learn(address, zone string) *Peer {
	if address == "" || address == me.self().Address {
		return nil
	}
	me.mu.Lock()
	defer me.mu.Unlock()
	if pe := me.byAdr[address]; pe != nil {
		return pe
	}
	if len(me.byAdr) >= maxPeers || me.ctx.Err() != nil {
		return nil
	}
	ctx, cancel := context.WithCancel(me.ctx)
	pe := &Peer{Address: address, Zone: zone, cancel: cancel}
	pe.lost.Store(me.clk.Now().UnixNano())
	pe.dialer.Store(dialer.New(ctx, me.clk, me.eng, address,
		func(li *link.Link, re *link.Request) { me.handler(address, li, re) },
		dialer.WithUp(func(ctx context.Context, li *link.Link) error { return me.meet(ctx, pe, li) }),
		dialer.WithDown(func(err error) { me.down(pe, err) })))
	me.byAdr[address] = pe
	me.publish()
	return pe
}

func (me *Mesh) meet(ctx context.Context, pe *Peer, li *link.Link) error {
	var mt citronstream.PeerInfo
	if err := li.Call(ctx, citronstream.MethodHandshake, me.self(), &mt); err != nil {
		return err
	}
	pe.lost.Store(0)
	me.met(pe, mt)
	me.log.Info("peer linked", "peer", mt.Name, "address", pe.Address, "zone", mt.Zone, "leaving", mt.Leaving, "revision", mt.Revision)
	me.onMeet(pe, li)
	return nil
}

func (me *Mesh) met(pe *Peer, mt citronstream.PeerInfo) {
	pe.meeting.Store(&mt)
	pe.leaving.Store(mt.Leaving)
}

func (me *Mesh) down(pe *Peer, err error) {
	if pe.lost.CompareAndSwap(0, me.clk.Now().UnixNano()) {
		me.log.Info("peer lost", "peer", pe.Name(), "address", pe.Address, "reason", err.Error())
	}
}

// notice takes what a peer says of itself after it was met.
func (me *Mesh) notice(from string, re *link.Request) {
	var mt citronstream.PeerInfo
	if re.Decode(&mt) != nil {
		return
	}
	me.mu.Lock()
	pe := me.byAdr[from]
	me.mu.Unlock()
	if pe == nil {
		return
	}
	if mt.Leaving && !pe.leaving.Load() {
		me.log.Info("peer leaves", "peer", mt.Name)
	}
	me.met(pe, mt)
	if li := pe.Link(); li != nil {
		me.onMeet(pe, li)
	}
}

// publish renews the list that reads use. The caller holds the lock.
func (me *Mesh) publish() {
	list := make([]*Peer, 0, len(me.byAdr))
	for _, pe := range me.byAdr {
		list = append(list, pe)
	}
	slices.SortFunc(list, func(a, b *Peer) int { return strings.Compare(a.Address, b.Address) })
	me.live.Store(&list)
}

// Prune gives up the links to entries that have been out of reach for long.
func (me *Mesh) Prune() {
	me.mu.Lock()
	defer me.mu.Unlock()
	now := me.clk.Now().UnixNano()
	for address, pe := range me.byAdr {
		if lost := pe.lost.Load(); lost != 0 && now-lost > int64(forgetAfter) {
			pe.cancel()
			delete(me.byAdr, address)
		}
	}
	me.publish()
}

// Peers returns all known entries but this one.
func (me *Mesh) Peers() []*Peer { return *me.live.Load() }

// Live returns the number of entries that take part, this one included.
func (me *Mesh) Live() int {
	count := 1
	for _, pe := range me.Peers() {
		if pe.Up() {
			count++
		}
	}
	return count
}

// Broadcast notifies all linked peers.
func (me *Mesh) Broadcast(method string, params any) {
	for _, pe := range me.Peers() {
		if li := pe.Link(); li != nil {
			_ = li.Notify(method, params) // a link that fails here is replaced, and the peer asks for the state
		}
	}
}

// Name returns the peer's name, or its address before it has introduced itself.
func (pe *Peer) Name() string {
	if mt := pe.meeting.Load(); mt != nil {
		return mt.Name
	}
	return pe.Address
}

// Revision is the version of the row with the peer's configuration, 0 while none is known.
func (pe *Peer) Revision() uint64 {
	if mt := pe.meeting.Load(); mt != nil {
		return mt.Revision
	}
	return 0
}

// Capacity compares the peer with other entries; 0 while it is not known.
func (pe *Peer) Capacity() float64 {
	if mt := pe.meeting.Load(); mt != nil {
		return mt.Capacity
	}
	return 0
}

// LostFor returns how long the peer has been out of reach, 0 while it is linked.
func (pe *Peer) LostFor(now time.Time) time.Duration {
	lost := pe.lost.Load()
	if lost == 0 {
		return 0
	}
	return time.Duration(now.UnixNano() - lost)
}

// Link returns the open link to the peer, or nil.
func (pe *Peer) Link() *link.Link {
	if di := pe.dialer.Load(); di != nil {
		return di.Link()
	}
	return nil
}

// Up reports whether the peer can take work.
func (pe *Peer) Up() bool {
	li := pe.Link()
	return li != nil && !li.PingOverdue() && !pe.leaving.Load()
}
