// Package link runs JSON-RPC 2.0 between two processes of the system over one TCP
// connection, and closes the connection when the peer is silent.
package link

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/citronstream/citronstream"
	jsonv1 "github.com/go-json-experiment/json/v1"
	"github.com/sourcegraph/jsonrpc2"
)

// Times of the silence check. A silent peer must be detected within 3 s. With
// calls in flight the link is faster, so that an urgent call with a deadline of
// 2 s can still be resolved.
const (
	busyCheckInterval = 100 * time.Millisecond // with calls in flight
	idleCheckInterval = 300 * time.Millisecond // without; 474 links checked every 100 ms take more than the 2.7% of a core of an entry
	busyPingAfter     = 300 * time.Millisecond // with calls in flight
	idlePingAfter     = time.Second            // without
	silentAfter       = 1200 * time.Millisecond
	pingOverdueAfter  = 400 * time.Millisecond // a peer that leaves a ping unanswered for this time is suspect
	minPingWait       = 800 * time.Millisecond // for the answer to a ping, before the link is closed
)

// MethodPing is answered by the link itself, not by its Handler.
const MethodPing = "Peer.Ping"

// ErrSilent ends a link whose peer sent nothing for too long.
var ErrSilent = merry.Sentinel("link is silent")

// ErrLost reports a call whose link ended before the answer.
var ErrLost = merry.Sentinel("link lost")

// ErrNotGreeted ends a link whose peer has not said who it is in time, or has sent other
// messages before.
var ErrNotGreeted = merry.Sentinel("the peer has not introduced itself")

// Bounds for addresses on which links are accepted.
const (
	// GreetingTime is the time in which a peer says who it is. A handshake takes one exchange.
	GreetingTime = 10 * time.Second
	// MaxNew bounds the links of one address whose peers have not said who they are. Each
	// takes 128 KB of input and two messages of 16 KB at most.
	MaxNew = 64
)

// Bounds on a link before its peer has said who it is (WithGreeting). A greeting has at most
// a token of 4 KB and some names.
const (
	maxGreetings     = 4         // messages
	maxGreetingBytes = 16 << 10  // of a message
	maxGreetingInput = 128 << 10 // that wait to be read; a poller delivers 32 KB at once
)

// Stream is the connection that a link runs over.
type Stream interface {
	io.ReadWriteCloser
	// Received returns the number of bytes received so far.
	Received() uint64
	Remote() string
}

// Handler handles the requests of the peer. It runs on the link's reader goroutine and must not block.
type Handler func(li *Link, re *Request)

// Request is a request or a notification of the peer.
type Request struct {
	Method string
	Params json.RawMessage
	li     *Link
	id     jsonrpc2.ID
	notif  bool
}

// Decode decodes the parameters. jsonv1 has the rules of encoding/json and takes
// half the time.
func (re *Request) Decode(to any) error {
	if err := jsonv1.Unmarshal(re.Params, to); err != nil {
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeBadRequest, "%s: %v", re.Method, err)
	}
	return nil
}

// Reply answers the request. It does nothing for a notification or on a link that ended.
func (re *Request) Reply(result any) {
	if !re.notif {
		_ = re.li.conn.Reply(context.Background(), re.id, result)
	}
}

// ReplyAs is Reply with an answer of a class, see NotifyAs.
func (re *Request) ReplyAs(class Class, result any) {
	resp := &jsonrpc2.Response{ID: re.id}
	if re.notif || resp.SetResult(result) != nil {
		return
	}
	if re.li.replaced != nil {
		meta := json.RawMessage(strconv.Itoa(int(class)))
		resp.Meta = &meta
	}
	_ = re.li.conn.SendResponse(context.Background(), resp)
}

// ReplyError answers the request with an error, as a Fault.
func (re *Request) ReplyError(err error) {
	if re.notif {
		return
	}
	rpcErr := &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	rpcErr.SetError(citronstream.FaultOf(err))
	_ = re.li.conn.ReplyWithError(context.Background(), re.id, rpcErr)
}

// Link is one connection to a peer.
type Link struct {
	clk         citronstream.Clock
	stream      Stream
	conn        *jsonrpc2.Conn
	handler     Handler
	pingIdle    func() time.Duration
	checkIdle   func() time.Duration
	version     func() uint64
	observe     func(li *Link, version uint64)
	replaced    *atomic.Uint64 // nil without priorities
	inFlight    atomic.Int64
	pingOverdue atomic.Bool
	peerVersion atomic.Uint64
	done        chan struct{}
	mu          sync.Mutex
	err         error
	session     atomic.Value
	codec       *codec
	greetWithin time.Duration // 0 for a link that needs no greeting
	greeted     atomic.Bool
	greetings   int // messages before the greeting; used only by the reader
}

// Option changes a Link.
type Option func(*Link)

// WithIdlePing sets after which silence a link without calls in flight sends a ping.
func WithIdlePing(after func() time.Duration) Option { return func(li *Link) { li.pingIdle = after } }

// WithIdleCheck sets the time between two silence checks of a link without calls in
// flight. A call that begins between two is checked that much later.
func WithIdleCheck(interval func() time.Duration) Option {
	return func(li *Link) { li.checkIdle = interval }
}

// WithGreeting bounds what the peer may send until Greeted is called, and the time for that.
func WithGreeting(within time.Duration) Option { return func(li *Link) { li.greetWithin = within } }

// WithVersion sets the configuration version that heartbeats carry, and the
// callback for the peer's version.
func WithVersion(version func() uint64, observe func(li *Link, version uint64)) Option {
	return func(li *Link) { li.version, li.observe = version, observe }
}

// WithPriorities makes messages wait in the order of their classes while the connection
// takes no more bytes, if the stream tells that it does. Replaced counts the messages that
// newer ones have replaced.
func WithPriorities(replaced *atomic.Uint64) Option {
	return func(li *Link) { li.replaced = replaced }
}

// New starts a link over the stream. It ends with ctx, with the stream, or when the peer is silent.
func New(ctx context.Context, clk citronstream.Clock, stream Stream, handler Handler, opts ...Option) *Link {
	li := &Link{clk: clk, stream: stream, handler: handler, done: make(chan struct{})}
	li.pingIdle, li.checkIdle = func() time.Duration { return idlePingAfter }, func() time.Duration { return idleCheckInterval }
	li.version, li.observe = func() uint64 { return 0 }, func(*Link, uint64) {}
	for _, opt := range opts {
		opt(li)
	}
	li.codec = &codec{}
	if li.greetWithin > 0 {
		li.codec.limit.Store(maxGreetingBytes)
		li.limitInput(maxGreetingInput)
	}
	noLog := jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
	ready := make(chan struct{})
	objects := newObjectStream(stream, li.codec)
	if paced, ok := stream.(Paced); ok && li.replaced != nil {
		objects.outbox = newOutbox(paced, li.replaced)
	}
	li.conn = jsonrpc2.NewConn(ctx, objects, &dispatcher{li: li, ready: ready}, noLog,
		jsonrpc2.OnSend(li.codec.sent), jsonrpc2.OnRecv(li.codec.received))
	close(ready)
	go li.watch(ctx)
	return li
}

// limitInput bounds the bytes that wait to be read, 0 for the default of the stream.
func (li *Link) limitInput(bytes int) {
	if limited, ok := li.stream.(interface{ LimitInput(bytes int) }); ok {
		limited.LimitInput(bytes)
	}
}

// Greeted marks that the peer has said who it is. It is called by the Handler.
func (li *Link) Greeted() {
	if li.greetWithin > 0 && !li.greeted.Swap(true) {
		li.codec.limit.Store(0)
		li.limitInput(0)
	}
}

// waitsForGreeting reports whether the peer has not said who it is.
func (li *Link) waitsForGreeting() bool { return li.greetWithin > 0 && !li.greeted.Load() }

// dispatcher passes messages on to the Link, the first one only when the Link is complete.
type dispatcher struct {
	li    *Link
	ready chan struct{}
}

// Handle implements jsonrpc2.Handler.
func (di *dispatcher) Handle(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) {
	<-di.ready
	if di.li.waitsForGreeting() {
		if di.li.greetings++; di.li.greetings > maxGreetings {
			di.li.closeWith(ErrNotGreeted)
			return
		}
	}
	re := &Request{Method: req.Method, li: di.li, id: req.ID, notif: req.Notif}
	if req.Params != nil {
		re.Params = *req.Params
	}
	if req.Method == MethodPing {
		var notice citronstream.VersionNotice
		if re.Decode(&notice) == nil {
			di.li.NotePeerVersion(notice.Version)
			di.li.observe(di.li, notice.Version)
		}
		re.Reply(citronstream.VersionNotice{Version: di.li.version()})
		return
	}
	di.li.handler(di.li, re)
}

// SetSession attaches a value to the link, such as the peer's name.
func (li *Link) SetSession(value any) { li.session.Store(value) }

// Session returns the attached value or nil.
func (li *Link) Session() any { return li.session.Load() }

// NotePeerVersion records a configuration version from a message of the peer.
// Versions only grow, so one lower than before is ignored.
func (li *Link) NotePeerVersion(version uint64) {
	for {
		old := li.peerVersion.Load()
		if version <= old || li.peerVersion.CompareAndSwap(old, version) {
			return
		}
	}
}

// PeerVersion returns the highest recorded version of the peer, 0 before the first.
func (li *Link) PeerVersion() uint64 { return li.peerVersion.Load() }

// AnnounceVersion sends a version to the peer, unless the peer has sent that one or
// a higher one itself. It reports whether a notice was sent.
func (li *Link) AnnounceVersion(version uint64) bool {
	if li.PeerVersion() >= version {
		return false
	}
	_ = li.Notify(citronstream.MethodVersion, citronstream.VersionNotice{Version: version})
	return true
}

// Remote returns the peer's address.
func (li *Link) Remote() string { return li.stream.Remote() }

// Done is closed when the link has ended.
func (li *Link) Done() <-chan struct{} { return li.done }

// PingOverdue reports whether the answer to a ping is overdue and the peer has sent
// nothing since the ping.
func (li *Link) PingOverdue() bool { return li.pingOverdue.Load() }

// Err returns why the link ended, or nil while it is open.
func (li *Link) Err() error {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.err
}

// Close ends the link.
func (li *Link) Close() { li.closeWith(ErrLost) }

func (li *Link) closeWith(err error) {
	li.mu.Lock()
	if li.err == nil {
		li.err = err
	}
	li.mu.Unlock()
	_ = li.conn.Close()
}

// Call sends a request and waits for its answer. Errors: ErrLost when the
// link ended first, ctx's error, or the Fault that the peer answered with.
func (li *Link) Call(ctx context.Context, method string, params, result any) error {
	li.inFlight.Add(1)
	defer li.inFlight.Add(-1)
	return rpcError(li.conn.Call(ctx, method, params, result))
}

// CallAs is Call with a request of a class, see NotifyAs.
func (li *Link) CallAs(ctx context.Context, class Class, method string, params, result any) error {
	if li.replaced == nil {
		return li.Call(ctx, method, params, result)
	}
	li.inFlight.Add(1)
	defer li.inFlight.Add(-1)
	return rpcError(li.conn.Call(ctx, method, params, result, jsonrpc2.Meta(class)))
}

// Notify sends a notification.
func (li *Link) Notify(method string, params any) error {
	return rpcError(li.conn.Notify(context.Background(), method, params))
}

// NotifyAs sends a notification of a class. The class is for WithPriorities and is not sent.
func (li *Link) NotifyAs(class Class, method string, params any) error {
	if class == Ordinary || li.replaced == nil {
		return li.Notify(method, params)
	}
	return rpcError(li.conn.Notify(context.Background(), method, params, jsonrpc2.Meta(class)))
}

func rpcError(err error) error {
	if err == nil {
		return nil
	}
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		fa := &citronstream.Fault{}
		if rpcErr.Data != nil && json.Unmarshal(*rpcErr.Data, fa) == nil && fa.Code != "" {
			return fa
		}
		return citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeInternal, "%s", rpcErr.Message)
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return ErrLost
}

// watch closes the link when the peer is silent, and closes done when the link has ended.
func (li *Link) watch(ctx context.Context) {
	defer close(li.done)
	timer := li.clk.NewTimer(busyCheckInterval)
	defer timer.Stop()
	received, lastHeard := uint64(0), li.clk.Now()
	began := lastHeard
	var pinged time.Time
	for {
		select {
		case <-ctx.Done():
			li.closeWith(ctx.Err())
			return
		case <-li.conn.DisconnectNotify():
			if li.codec.exceeded.Load() {
				li.closeWith(ErrNotGreeted)
			}
			li.closeWith(ErrLost)
			return
		case <-timer.Chan():
		}
		timer.Reset(li.checkInterval())
		now := li.clk.Now()
		if li.waitsForGreeting() && now.Sub(began) >= li.greetWithin {
			li.closeWith(ErrNotGreeted)
			return
		}
		if count := li.stream.Received(); count != received {
			received, lastHeard = count, now
			li.pingOverdue.Store(false)
			continue
		}
		if now.Sub(lastHeard) >= silentAfter && pinged.After(lastHeard) && now.Sub(pinged) >= minPingWait {
			li.closeWith(ErrSilent)
			return
		}
		if pinged.After(lastHeard) && now.Sub(pinged) >= pingOverdueAfter {
			li.pingOverdue.Store(true)
		}
		after := busyPingAfter
		if li.inFlight.Load() == 0 {
			after = li.pingIdle()
		}
		if now.Sub(lastHeard) >= after && !pinged.After(lastHeard) {
			pinged = now
			li.ping()
		}
	}
}

// checkInterval returns the time to the next check.
func (li *Link) checkInterval() time.Duration {
	if li.inFlight.Load() > 0 {
		return busyCheckInterval
	}
	if li.waitsForGreeting() {
		return min(idleCheckInterval, li.checkIdle())
	}
	return li.checkIdle()
}

// ping sends a heartbeat. Its answer counts as received bytes.
func (li *Link) ping() {
	notice := citronstream.VersionNotice{Version: li.version()}
	if _, err := li.conn.DispatchCall(context.Background(), MethodPing, notice); err != nil {
		li.closeWith(ErrLost)
	}
}
