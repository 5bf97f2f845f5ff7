// Package gate stops a process of the system from outside, as a paused
// machine or a forgetful middlebox would: its calls to the platform and to its
// upstream wait, and its connections carry nothing.
package gate

import (
	"context"
	"io"
	"sync"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/peer/link"
)

// Gate stands between one process and all that it talks to.
type Gate struct {
	mu      sync.Mutex
	paused  chan struct{} // closed on resume; nil when open
	streams map[*stream]struct{}
}

// New returns an open gate.
func New() *Gate { return &Gate{streams: make(map[*stream]struct{})} }

// Pause closes the gate, or opens it again.
func (ga *Gate) Pause(on bool) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	switch {
	case on && ga.paused == nil:
		ga.paused = make(chan struct{})
	case !on && ga.paused != nil:
		close(ga.paused)
		ga.paused = nil
	}
}

// Silence makes the open connections carry nothing for good, without
// closing them. New ones work.
func (ga *Gate) Silence() {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	for st := range ga.streams {
		st.silence()
	}
}

// thaw waits until the gate is open. A stopped process does not notice that
// its time is up, so the end of a context does not end the wait.
func (ga *Gate) thaw() (waited bool) {
	ga.mu.Lock()
	paused := ga.paused
	ga.mu.Unlock()
	if paused == nil {
		return false
	}
	<-paused
	return true
}

// hold waits until the gate is open for a call that had begun before. After a
// wait the call has a context without end.
func (ga *Gate) hold(ctx context.Context) (context.Context, error) {
	if err := ctx.Err(); err != nil {
		return ctx, err
	}
	if ga.thaw() {
		return context.WithoutCancel(ctx), nil
	}
	return ctx, nil
}

// pass waits until the gate is open.
func (ga *Gate) pass(ctx context.Context) error {
	for {
		ga.mu.Lock()
		paused := ga.paused
		ga.mu.Unlock()
		if paused == nil {
			return ctx.Err()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-paused:
		}
	}
}

// Stream puts a connection behind the gate.
func (ga *Gate) Stream(inner link.Stream) link.Stream {
	st := &stream{Stream: inner, ga: ga, quiet: make(chan struct{}), closed: make(chan struct{})}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.streams[st] = struct{}{}
	return st
}

type stream struct {
	link.Stream
	ga        *Gate
	once      sync.Once
	closeOnce sync.Once
	quiet     chan struct{}
	closed    chan struct{}
}

func (st *stream) silence() { st.once.Do(func() { close(st.quiet) }) }

// Read implements io.Reader. What arrives at a paused process waits for it.
func (st *stream) Read(to []byte) (int, error) {
	count, err := st.Stream.Read(to)
	select {
	case <-st.quiet:
		<-st.closed
		return 0, io.EOF
	default:
	}
	if st.wait() != nil {
		return 0, io.EOF
	}
	return count, err
}

// Write implements io.Writer.
func (st *stream) Write(data []byte) (int, error) {
	select {
	case <-st.quiet:
		return len(data), nil
	default:
	}
	if st.wait() != nil {
		return 0, io.ErrClosedPipe
	}
	return st.Stream.Write(data)
}

func (st *stream) wait() error {
	st.ga.mu.Lock()
	open := st.ga.paused == nil
	st.ga.mu.Unlock()
	if open {
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-st.closed:
			cancel()
		case <-stop:
		}
	}()
	return st.ga.pass(ctx)
}

// Close implements io.Closer.
func (st *stream) Close() error {
	st.closeOnce.Do(func() { close(st.closed) })
	st.ga.mu.Lock()
	delete(st.ga.streams, st)
	st.ga.mu.Unlock()
	return st.Stream.Close()
}

// Table puts the table service behind the gate. A call that the pause meets on
// its way takes effect after the pause, however late; one that the pause meets
// half way takes effect, and its answer waits.
func (ga *Gate) Table(inner citronstream.Table) citronstream.Table { return &table{inner, ga} }

type table struct {
	inner citronstream.Table
	ga    *Gate
}

// Get implements citronstream.Table.
func (ta *table) Get(ctx context.Context, key string) (citronstream.Row, error) {
	ctx, err := ta.ga.hold(ctx)
	if err != nil {
		return citronstream.Row{}, err
	}
	defer ta.ga.thaw()
	return ta.inner.Get(ctx, key)
}

// List implements citronstream.Table.
func (ta *table) List(ctx context.Context, prefix, after string, limit int) ([]citronstream.Row, error) {
	ctx, err := ta.ga.hold(ctx)
	if err != nil {
		return nil, err
	}
	defer ta.ga.thaw()
	return ta.inner.List(ctx, prefix, after, limit)
}

// Write implements citronstream.Table.
func (ta *table) Write(ctx context.Context, opID string, ops ...citronstream.Op) error {
	ctx, err := ta.ga.hold(ctx)
	if err != nil {
		return err
	}
	defer ta.ga.thaw()
	return ta.inner.Write(ctx, opID, ops...)
}

// Protocol puts the way to the upstream behind the gate.
func (ga *Gate) Protocol(inner citronstream.Protocol) citronstream.Protocol {
	pr := &protocol{inner, ga}
	if en, ok := inner.(engine); ok {
		return &commander{pr, en}
	}
	return pr
}

// engine is a protocol that commands an engine.
type engine interface {
	citronstream.EngineController
	Models(ctx context.Context, address string) ([]string, error)
}

// commander holds back what a paused agent reads of its engine. Commands pass:
// the guard confirms their token in the table, which is behind the gate, and
// an engine that ignores tokens can't be protected from one that stops between
// the two.
type commander struct {
	*protocol
	engine
}

// Models returns the models that the engine has loaded.
func (co *commander) Models(ctx context.Context, address string) ([]string, error) {
	ctx, err := co.ga.hold(ctx)
	if err != nil {
		return nil, err
	}
	return co.engine.Models(ctx, address)
}

type protocol struct {
	inner citronstream.Protocol
	ga    *Gate
}

// Run implements citronstream.Protocol.
func (pr *protocol) Run(ctx context.Context, address string, ca citronstream.Call, emit func([]byte) error) (citronstream.Result, error) {
	if err := pr.ga.pass(ctx); err != nil {
		return citronstream.Result{}, citronstream.NewFault(citronstream.NotRun, citronstream.CodeCanceled, "cancelled before it was sent")
	}
	re, err := pr.inner.Run(ctx, address, ca, func(data []byte) error {
		if err := pr.ga.pass(ctx); err != nil {
			return err
		}
		return emit(data)
	})
	_ = pr.ga.pass(ctx)
	return re, err
}
