package server

import (
	"crypto/subtle"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/agent/attempts"
	"github.com/citronstream/citronstream/internal/limit/poison"
	"github.com/citronstream/citronstream/internal/peer/link"
)

// peer is an entry at the other end of a link.
type peer struct {
	se    *Server
	li    *link.Link
	name  string
	known atomic.Bool   // the hello was accepted
	open  atomic.Int64  // calls and queries of this entry without an answer
	ready chan struct{} // closed when li is set
	gone  chan struct{}

	called atomic.Int64 // time of the last Call.Start, nanoseconds since 1970
	offers chan offer   // holds one; further ones are dropped while the link is slow
}

// offer is a notification that may be dropped.
type offer struct {
	method string
	params any
}

// deliver sends offers until the link ends.
func (pe *peer) deliver(ended chan<- struct{}) {
	defer close(ended)
	for {
		select {
		case <-pe.li.Done():
			return
		case of := <-pe.offers:
			_ = pe.li.Notify(of.method, of.params)
		}
	}
}

// Offer notifies the entries that have sent a call within the time. It never
// blocks: where the link is slow, the notification is dropped.
func (se *Server) Offer(method string, params any, within time.Duration) {
	since := se.clk.Now().Add(-within).UnixNano()
	for _, pe := range se.peers() {
		if pe.called.Load() < since {
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

// watch detaches the peer's attempts when the link ends.
func (pe *peer) watch() {
	defer close(pe.gone)
	delivered := make(chan struct{})
	go pe.deliver(delivered)
	<-pe.li.Done()
	se := pe.se
	se.mu.Lock()
	delete(se.links, pe.li)
	se.mu.Unlock()
	now := se.clk.Now()
	for _, at := range se.attempts.Live() {
		if to, ok := at.Peer().(*reply); ok && to.pe == pe {
			at.Detach(to, now)
		}
	}
	<-delivered
}

// handle takes one message. It runs on the link's reader and does not block.
func (pe *peer) handle(li *link.Link, re *link.Request) {
	<-pe.ready
	if re.Method == citronstream.MethodHello {
		pe.hello(re)
		return
	}
	if !pe.known.Load() {
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
			pe.se.withdrawSurplus()
		}
	default:
		if !pe.se.extra(li, re) {
			re.ReplyError(citronstream.NewFault(citronstream.NotRun, citronstream.CodeNotFound, "unknown method %q", re.Method))
		}
	}
}

// heard takes the version of a heartbeat.
func (pe *peer) heard(_ *link.Link, version uint64) {
	if pe.known.Load() {
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
	pe.known.Store(true)
	se.clockSeen(he.Clock)
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
	pe.called.Store(pe.se.clk.Now().UnixNano())
	pe.se.clockSeen(ca.Clock)
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
	to := pe.newReply(re)
	at, ok := se.attempts.Get(qu.AttemptID)
	if !ok {
		se.counts.Buried.Add(1)
		to.Reply(se.seal(citronstream.Result{
			AttemptID: qu.AttemptID,
			Fault:     citronstream.NewFault(citronstream.NotRun, citronstream.CodeLinkLost, "the call never arrived"),
		}))
		return
	}
	if !at.Attach(to, qu.Have, qu.NextSeq) {
		to.Reply(se.seal(citronstream.Result{
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
	re.Reply(citronstream.CancelReply{Verdict: pe.se.withdraw(ca.AttemptID)})
}

// reply is where the answer to one start or query goes.
type reply struct {
	pe       *peer
	re       *link.Request
	answered atomic.Bool
}

// newReply counts a call or query of the entry as open until it is answered.
func (pe *peer) newReply(re *link.Request) *reply {
	pe.open.Add(1)
	return &reply{pe: pe, re: re}
}

// close takes the call or query off the open ones.
func (to *reply) close() {
	if to.answered.CompareAndSwap(false, true) {
		to.pe.open.Add(-1)
	}
}

var _ attempts.Peer = (*reply)(nil)

// Chunk implements attempts.Peer.
func (to *reply) Chunk(ch citronstream.Chunk) { _ = to.pe.li.Notify(citronstream.MethodChunk, ch) }

// Reply implements attempts.Peer.
func (to *reply) Reply(re citronstream.Result) {
	to.close()
	to.re.Reply(re)
}

// Times after which the agent checks a quiet link. The quicker end of a link
// sets the pace of its heartbeats, and the entry has the larger number of
// links to pace (design, section 3): at full size 475 links, its region's and
// those of all services with non-idempotent calls, each checked after 47.5 s.
// The agent waits longer than that, or its heartbeats would come on top.
const (
	openCheck = time.Second // with calls or queries open
	idleCheck = time.Minute
)

// idleCheck is how long this entry may be quiet before the link is checked.
func (pe *peer) idleCheck() time.Duration {
	if pe.open.Load() > 0 {
		return openCheck
	}
	return idleCheck
}
