// Package nbconn provides nbio connections as byte streams for jsonrpc2.
package nbconn

import (
	"context"
	"io"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/ansel1/merry/v2"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"golang.org/x/sys/unix"
)

// Limits of one connection. A peer that exceeds one of them is disconnected.
const (
	// MaxInbound is the maximum number of bytes buffered for the reader of a connection.
	MaxInbound = 16 << 20
	// MaxOutbound is the maximum number of bytes buffered for a slow peer.
	MaxOutbound = 16 << 20
)

// nbio allocates a table of all file descriptors for each engine, 16 MB by default,
// which the garbage collector scans. It need not exceed the process's limit on open files.
func init() {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil && limit.Cur < uint64(nbio.MaxOpenFiles) {
		nbio.MaxOpenFiles = int(limit.Cur) + 1
	}
}

// errOverrun ends a connection whose reader can't keep up.
var errOverrun = merry.Sentinel("inbound limit of the connection exceeded")

// Engine runs the pollers that read and write the connections of a process.
type Engine struct {
	eng *nbio.Engine
	// streams maps each *nbio.Conn to its Stream. With nbio's own session field the
	// race detector would see no order between Attach and the first data.
	streams sync.Map
	unsent  int // see WithUnsent
}

// Option changes an Engine or its nbio configuration.
type Option func(*Engine, *nbio.Config)

// WithPollers sets the number of poller threads.
func WithPollers(count int) Option {
	return func(_ *Engine, co *nbio.Config) { co.NPoller = count }
}

// WithUnsent bounds the bytes of a connection that wait in the kernel to be sent for the
// first time. Its buffers may grow to megabytes, which nothing that is written later can
// overtake. Default 0, no bound.
func WithUnsent(bytes int) Option { return func(en *Engine, _ *nbio.Config) { en.unsent = bytes } }

// New starts an engine. Stop ends it.
func New(opts ...Option) (*Engine, error) {
	logging.SetLevel(logging.LevelNone)
	co := nbio.Config{Name: "peer", NPoller: 1, MaxWriteBufferSize: MaxOutbound, ReadBufferSize: 32 << 10}
	en := &Engine{}
	for _, opt := range opts {
		opt(en, &co)
	}
	en.eng = nbio.NewEngine(co)
	en.eng.OnWrittenSize(func(nc *nbio.Conn, _ []byte, count int) {
		if st, ok := en.streams.Load(nc); ok {
			st.(*Stream).written(count)
		}
	})
	en.eng.OnData(func(nc *nbio.Conn, data []byte) {
		if st, ok := en.streams.Load(nc); ok {
			st.(*Stream).deliver(data)
			// The woken reader is next to run on this thread. Without Gosched the poller
			// blocks the thread in epoll_wait, and the reader waits until another thread
			// takes it over: 27 us on average, 300 us at times.
			runtime.Gosched()
		}
	})
	en.eng.OnClose(func(nc *nbio.Conn, err error) {
		if st, ok := en.streams.LoadAndDelete(nc); ok {
			st.(*Stream).end(err)
		}
	})
	if err := en.eng.Start(); err != nil {
		return nil, merry.Prepend(err, "start connection engine")
	}
	return en, nil
}

// Stop closes all connections and ends the pollers.
func (en *Engine) Stop() { en.eng.Stop() }

// Attach adds a connection to the engine.
func (en *Engine) Attach(nc net.Conn) (*Stream, error) {
	if tc, ok := nc.(*net.TCPConn); ok && en.unsent > 0 {
		limitUnsent(tc, en.unsent)
	}
	wrapped, err := nbio.NBConn(nc)
	if err != nil {
		return nil, merry.Prepend(err, "attach connection")
	}
	st := &Stream{conn: wrapped, remote: nc.RemoteAddr().String(), limit: MaxInbound}
	st.cond.L = &st.mu
	en.streams.Store(wrapped, st)
	if _, err := en.eng.AddConn(wrapped); err != nil {
		en.streams.Delete(wrapped)
		return nil, merry.Prepend(err, "attach connection")
	}
	return st, nil
}

// limitUnsent sets the bound of WithUnsent. A system without it sends all the same.
func limitUnsent(tc *net.TCPConn, bytes int) {
	if raw, err := tc.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, bytes)
		})
	}
}

// Dial connects to address over TCP.
func (en *Engine) Dial(ctx context.Context, address string) (*Stream, error) {
	var dl net.Dialer
	nc, err := dl.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return en.Attach(nc)
}

// Stream is one connection. Read and Close may be called concurrently.
type Stream struct {
	conn     *nbio.Conn
	remote   string
	received atomic.Uint64
	queued   atomic.Int64           // bytes passed to Write that the kernel has not taken
	drained  atomic.Pointer[func()] // see OnDrained

	mu    sync.Mutex
	cond  sync.Cond
	limit int // of bytes that wait to be read
	buf   []byte
	start int
	err   error
}

// Received returns the number of bytes received so far.
func (st *Stream) Received() uint64 { return st.received.Load() }

// LimitInput bounds the bytes that wait to be read. 0 means MaxInbound.
func (st *Stream) LimitInput(bytes int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.limit = bytes; bytes == 0 {
		st.limit = MaxInbound
	}
}

// Remote returns the peer's address.
func (st *Stream) Remote() string { return st.remote }

// Read implements io.Reader. It blocks until data arrives.
func (st *Stream) Read(to []byte) (int, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for st.start == len(st.buf) && st.err == nil {
		st.cond.Wait()
	}
	if st.start == len(st.buf) {
		return 0, st.err
	}
	count := copy(to, st.buf[st.start:])
	st.start += count
	if st.start == len(st.buf) {
		st.buf, st.start = st.buf[:0], 0
	}
	return count, nil
}

// Write implements io.Writer. It does not wait for the peer.
func (st *Stream) Write(data []byte) (int, error) {
	st.queued.Add(int64(len(data)))
	count, err := st.conn.Write(data)
	if err != nil {
		st.end(err)
	}
	return count, err
}

// Queued returns the number of bytes that wait for the connection.
func (st *Stream) Queued() int { return int(st.queued.Load()) }

// OnDrained sets the function that is called when no byte waits any more, or the stream has
// ended. It must not block.
func (st *Stream) OnDrained(drained func()) { st.drained.Store(&drained) }

// written is called when the kernel has taken bytes.
func (st *Stream) written(count int) {
	if st.queued.Add(-int64(count)) == 0 {
		st.signalDrained()
	}
}

func (st *Stream) signalDrained() {
	if drained := st.drained.Load(); drained != nil {
		(*drained)()
	}
}

// Close implements io.Closer.
func (st *Stream) Close() error {
	err := st.conn.Close()
	st.end(io.EOF)
	return err
}

func (st *Stream) deliver(data []byte) {
	st.received.Add(uint64(len(data)))
	st.mu.Lock()
	over := len(st.buf)-st.start+len(data) > st.limit
	if !over && st.err == nil {
		if st.start > 0 && len(st.buf)+len(data) > cap(st.buf) {
			st.buf = st.buf[:copy(st.buf, st.buf[st.start:])]
			st.start = 0
		}
		st.buf = append(st.buf, data...)
	}
	st.cond.Signal()
	st.mu.Unlock()
	if over {
		st.end(errOverrun)
		_ = st.conn.CloseWithError(errOverrun)
	}
}

func (st *Stream) end(err error) {
	if err == nil {
		err = io.EOF
	}
	st.mu.Lock()
	if st.err == nil {
		st.err = err
	}
	st.cond.Broadcast()
	st.mu.Unlock()
	st.queued.Store(0) // the next write fails
	st.signalDrained()
}
