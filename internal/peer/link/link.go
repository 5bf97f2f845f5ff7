// Package link carries JSON-RPC 2.0 between two processes of the system over
// one TCP connection, and notices when the connection has gone silent.
package link

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/citronstream/citronstream"
	jsonv1 "github.com/go-json-experiment/json/v1"
	"github.com/sourcegraph/jsonrpc2"
)

// Times of the silence check. The bound on notice is 3 s; with calls in flight
// the link is quicker, so that an urgent call of 2 s can still be settled.
const (
	checkEvery  = 100 * time.Millisecond // with calls in flight
	idleEvery   = 300 * time.Millisecond // without; 474 links at 100 ms take more than the 2.7% of a core of an entry
	pingAfter   = 300 * time.Millisecond // with calls in flight
	idleAfter   = time.Second            // without
	silentAfter = 1200 * time.Millisecond
	lateAfter   = 400 * time.Millisecond // an unanswered ping makes the peer suspect
	answerAfter = 800 * time.Millisecond // least wait for the answer to a ping
)

// MethodPing is answered by every link itself.
const MethodPing = "Peer.Ping"

// ErrSilent ends a link whose peer sent nothing for too long.
var ErrSilent = merry.Sentinel("link is silent")

// ErrLost reports a call whose link ended before the answer.
var ErrLost = merry.Sentinel("link lost")

// Stream is what a link runs over.
type Stream interface {
	io.ReadWriteCloser
	// Received returns the number of bytes received so far.
	Received() uint64
	Remote() string
}

// Handler takes the requests of the peer. It runs on the link's reader and must not block.
type Handler func(li *Link, re *Request)

// Request is a request or a notification of the peer.
type Request struct {
	Method string
	Params json.RawMessage
	li     *Link
	id     jsonrpc2.ID
	notif  bool
}

// Decode reads the parameters. The library has the rules of encoding/json and
// takes half its time.
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
	clk      citronstream.Clock
	stream   Stream
	conn     *jsonrpc2.Conn
	handler  Handler
	idle     func() time.Duration
	version  func() uint64
	observe  func(li *Link, version uint64)
	inFlight atomic.Int64
	late     atomic.Bool
	named    atomic.Uint64
	done     chan struct{}
	mu       sync.Mutex
	err      error
	session  atomic.Value
}

// Option changes a Link.
type Option func(*Link)

// WithIdleCheck sets how often a link without calls in flight is checked.
func WithIdleCheck(idle func() time.Duration) Option { return func(li *Link) { li.idle = idle } }

// WithVersion sets the configuration version that heartbeats carry, and what
// takes note of the peer's.
func WithVersion(version func() uint64, observe func(li *Link, version uint64)) Option {
	return func(li *Link) { li.version, li.observe = version, observe }
}

// New starts a link over the stream. It ends with ctx, with the stream, or when the peer is silent.
func New(ctx context.Context, clk citronstream.Clock, stream Stream, handler Handler, opts ...Option) *Link {
	li := &Link{clk: clk, stream: stream, handler: handler, done: make(chan struct{})}
	li.idle = func() time.Duration { return idleAfter }
	li.version, li.observe = func() uint64 { return 0 }, func(*Link, uint64) {}
	for _, opt := range opts {
		opt(li)
	}
	quiet := jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
	ready := make(chan struct{})
	co := &codec{}
	li.conn = jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(stream, co), &dispatcher{li: li, ready: ready}, quiet,
		jsonrpc2.OnSend(co.sent), jsonrpc2.OnRecv(co.received))
	close(ready)
	go li.watch(ctx)
	return li
}

// dispatcher holds back the first message until the Link is complete.
type dispatcher struct {
	li    *Link
	ready chan struct{}
}

// Handle implements jsonrpc2.Handler.
func (di *dispatcher) Handle(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) {
	<-di.ready
	re := &Request{Method: req.Method, li: di.li, id: req.ID, notif: req.Notif}
	if req.Params != nil {
		re.Params = *req.Params
	}
	if req.Method == MethodPing {
		var no citronstream.VersionNotice
		if re.Decode(&no) == nil {
			di.li.NotePeerVersion(no.Version)
			di.li.observe(di.li, no.Version)
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

// NotePeerVersion notes a configuration version that a message of the peer has named.
// A lower one than before changes nothing, as versions only grow.
func (li *Link) NotePeerVersion(version uint64) {
	for {
		old := li.named.Load()
		if version <= old || li.named.CompareAndSwap(old, version) {
			return
		}
	}
}

// PeerVersion returns the highest version that the peer has named on this link, 0
// before the first.
func (li *Link) PeerVersion() uint64 { return li.named.Load() }

// AnnounceVersion names a version to the peer, unless the peer has named that one or a
// higher one itself. It reports whether a notice was sent.
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

// PingOverdue says that the peer owes the answer to a ping and has sent nothing since.
func (li *Link) PingOverdue() bool { return li.late.Load() }

// Err returns why the link ended, nil while it lives.
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

// Notify sends a notification.
func (li *Link) Notify(method string, params any) error {
	return rpcError(li.conn.Notify(context.Background(), method, params))
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

// watch closes the link when the peer is silent, and done when the link has ended.
func (li *Link) watch(ctx context.Context) {
	defer close(li.done)
	timer := li.clk.NewTimer(checkEvery)
	defer timer.Stop()
	last, heard := uint64(0), li.clk.Now()
	var pinged time.Time
	for {
		select {
		case <-ctx.Done():
			li.closeWith(ctx.Err())
			return
		case <-li.conn.DisconnectNotify():
			li.closeWith(ErrLost)
			return
		case <-timer.Chan():
		}
		timer.Reset(li.checkAfter())
		now := li.clk.Now()
		if count := li.stream.Received(); count != last {
			last, heard = count, now
			li.late.Store(false)
			continue
		}
		if now.Sub(heard) >= silentAfter && pinged.After(heard) && now.Sub(pinged) >= answerAfter {
			li.closeWith(ErrSilent)
			return
		}
		if pinged.After(heard) && now.Sub(pinged) >= lateAfter {
			li.late.Store(true)
		}
		due := pingAfter
		if li.inFlight.Load() == 0 {
			due = li.idle()
		}
		if now.Sub(heard) >= due && !pinged.After(heard) {
			pinged = now
			li.ping()
		}
	}
}

// checkAfter returns the time to the next check.
func (li *Link) checkAfter() time.Duration {
	if li.inFlight.Load() > 0 {
		return checkEvery
	}
	return idleEvery
}

// ping asks for a sign of life. The answer counts as received bytes.
func (li *Link) ping() {
	notice := citronstream.VersionNotice{Version: li.version()}
	if _, err := li.conn.DispatchCall(context.Background(), MethodPing, notice); err != nil {
		li.closeWith(ErrLost)
	}
}
