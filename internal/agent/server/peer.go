package server

import (
	"crypto/subtle"
	"errors"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/agent/attempts"
	"github.com/citronstream/citronstream/internal/limit/connlimit"
	"github.com/citronstream/citronstream/internal/limit/poison"
	"github.com/citronstream/citronstream/internal/peer/link"
)

// peer is an entry at the other end of a link.
type peer struct {
	se            *Server
	li            *link.Link
	place         *connlimit.Conn
	name          string
	authenticated atomic.Bool   // the hello was accepted
	pending       atomic.Int64  // calls and queries of this entry without an answer
	ready         chan struct{} // closed when li is set
	detached      chan struct{}

	lastCall atomic.Int64 // time of the last Call.Start, nanoseconds since 1970
	offers   chan offer   // holds one; further ones are dropped while the link is slow
}

// offer is a notification that may be dropped.
type offer struct {
	method string
	params any
}

// sendOffers sends offers until the link closes.
func (pe *peer) sendOffers(ended chan<- struct{}) {
	defer close(ended)
	for {
		select {
		case <-pe.li.Done():
			return
		case offr := <-pe.offers:
			_ = pe.li.Notify(offr.method, offr.params)
		}
	}
}

// Offer notifies the entries that have sent a call within the given time. It
// never blocks: the notification is dropped on links that are slow.
func (se *Server) Offer(method string, params any, within time.Duration) {
	since := se.clk.Now().Add(-within).UnixNano()
	for _, pe := range se.peers() {
		if pe.lastCall.Load() < since {
			continue
		}
		select {
		case pe.offers <- offer{method, params}:
			se.counts.Offered.Add(1)
		default:
			se.counts.OffersDropped.Add(1)
		}
	}
}

// detachOnClose detaches the peer's attempts when the link ends.
func (pe *peer) detachOnClose() {
	defer close(pe.detached)
	delivered := make(chan struct{})
	go pe.sendOffers(delivered)
	<-pe.li.Done()
	se := pe.se
	pe.place.Remove()
	if errors.Is(pe.li.Err(), link.ErrNotGreeted) {
		se.hits.Hit(LimitGreeting)
	}
	se.mu.Lock()
	delete(se.links, pe.li)
	se.mu.Unlock()
	now := se.clk.Now()
	for _, att := range se.attempts.Live() {
		if rep, ok := att.Peer().(*reply); ok && rep.pe == pe {
			att.Detach(rep, now)
		}
	}
	<-delivered
}

// handle handles one message. It runs on the link's read goroutine and must not
// block.
func (pe *peer) handle(li *link.Link, re *link.Request) {
	<-pe.ready
	if re.Method == citronstream.MethodHello {
		pe.hello(re)
		return
	}
	if !pe.authenticated.Load() {
		re.ReplyError(citronstream.NewFault(citronstream.NotRun, citronstream.CodeUnauthorized, "no hello on this link"))
		return
	}
	switch re.Method {
	case citronstream.MethodStart:
		pe.start(re)
	case citronstream.MethodQuery:
		pe.query(re)
	case citronstream.MethodCancel:
		pe.cancel(re)
	case citronstream.MethodPoison:
		var report poison.Report
		if pe.se.holds != nil && re.Decode(&report) == nil {
			pe.se.holds.Merge(report)
			pe.se.withdrawExtraSuspects()
		}
	default:
		if !pe.se.handler(li, re) {
			re.ReplyError(citronstream.NewFault(citronstream.NotRun, citronstream.CodeNotFound, "unknown method %q", re.Method))
		}
	}
}

// observeVersion records the configuration version that a heartbeat carries.
func (pe *peer) observeVersion(_ *link.Link, version uint64) {
	if pe.authenticated.Load() {
		pe.se.observe(pe.name, version)
	}
}

func (pe *peer) hello(re *link.Request) {
	var he citronstream.Hello
	if err := re.Decode(&he); err != nil {
		re.ReplyError(err)
		return
	}
	se := pe.se
	if se.token != "" && subtle.ConstantTimeCompare([]byte(se.token), []byte(he.Token)) != 1 {
		re.ReplyError(citronstream.NewFault(citronstream.NotRun, citronstream.CodeUnauthorized, "peer token does not match"))
		return
	}
	pe.name = he.Name
	pe.li.SetSession(he)
	pe.li.NotePeerVersion(he.Version)
	pe.authenticated.Store(true)
	pe.li.Greeted()
	pe.place.Known()
	se.observeClock(he.Clock)
	se.observe(he.Name, he.Version)
	load := se.Load()
	re.Reply(citronstream.Hello{
		Name: se.up.Name, Role: "agent", Boot: se.boot, Epoch: se.epoch(), Version: se.version(), Load: &load, Clock: se.clockNow(),
	})
}

func (pe *peer) start(re *link.Request) {
	var ca citronstream.Call
	if err := re.Decode(&ca); err != nil {
		re.ReplyError(err)
		return
	}
	pe.lastCall.Store(pe.se.clk.Now().UnixNano())
	pe.se.observeClock(ca.Clock)
	pe.li.NotePeerVersion(ca.Version)
	if ca.Version > pe.se.version() {
		pe.se.observe(pe.name, ca.Version)
	}
	pe.se.admit(ca, pe.newReply(re))
}

func (pe *peer) query(re *link.Request) {
	var qu citronstream.Query
	if err := re.Decode(&qu); err != nil {
		re.ReplyError(err)
		return
	}
	se := pe.se
	se.counts.Queried.Add(1)
	rep := pe.newReply(re)
	att, ok := se.attempts.GetOrTombstone(qu.AttemptID)
	if !ok {
		se.counts.Unknown.Add(1)
		rep.Reply(se.addAgentFields(citronstream.Result{
			AttemptID: qu.AttemptID,
			Fault:     citronstream.NewFault(citronstream.NotRun, citronstream.CodeLinkLost, "the agent never received the call"),
		}))
		return
	}
	if !att.Attach(rep, qu.Have, qu.NextSeq) {
		rep.Reply(se.addAgentFields(citronstream.Result{
			AttemptID: qu.AttemptID,
			Fault:     citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeLinkLost, "the output is no longer kept"),
		}))
	}
}

func (pe *peer) cancel(re *link.Request) {
	var ca citronstream.Cancel
	if err := re.Decode(&ca); err != nil {
		re.ReplyError(err)
		return
	}
	re.Reply(citronstream.CancelReply{Verdict: pe.se.cancelAttempt(ca.AttemptID)})
}

// reply sends the answer to one start or query.
type reply struct {
	pe       *peer
	re       *link.Request
	answered atomic.Bool
}

// newReply counts a call or query of the entry as pending until it is answered.
func (pe *peer) newReply(re *link.Request) *reply {
	pe.pending.Add(1)
	return &reply{pe: pe, re: re}
}

// close ends the pending state of the call or query. Repeated calls do nothing.
func (rep *reply) close() {
	if rep.answered.CompareAndSwap(false, true) {
		rep.pe.pending.Add(-1)
	}
}

var _ attempts.Peer = (*reply)(nil)

// Chunk implements attempts.Peer.
func (rep *reply) Chunk(ch citronstream.Chunk) { _ = rep.pe.li.Notify(citronstream.MethodChunk, ch) }

// Reply implements attempts.Peer.
func (rep *reply) Reply(re citronstream.Result) {
	rep.close()
	rep.re.Reply(re)
}

// Times without traffic after which the agent pings an entry. A ping from
// either end resets both timers, so the end with the shorter interval sends the
// heartbeats. That should be the entry, which budgets them over all its links
// (design, section 3): at full size it has 475, those of its region and of all
// services with non-idempotent calls, and pings each after 47.5 s of silence.
// A shorter interval at the agent would add heartbeats to that budget.
const (
	activePingInterval = time.Second // with pending calls or queries
	idlePingInterval   = time.Minute
)

// pingInterval returns how long the link may be silent before it is pinged.
func (pe *peer) pingInterval() time.Duration {
	if pe.pending.Load() > 0 {
		return activePingInterval
	}
	return idlePingInterval
}
