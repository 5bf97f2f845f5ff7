// Package gate pauses a process of the system from outside, as a paused
// machine or a middlebox that lost its connection state would: its calls to the
// platform and to its upstream block, and its connections carry nothing.
package gate

import (
	"context"
	"io"
	"sync"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/peer/link"
)

// Gate sits between one process and everything it communicates with.
type Gate struct {
	mu      sync.Mutex
	paused  chan struct{} // closed on resume; nil when open
	streams map[*stream]struct{}
}

// New returns an open gate.
func New() *Gate { return &Gate{streams: make(map[*stream]struct{})} }

// Pause closes the gate (on) or opens it again.
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

// Silence makes the open connections carry no more data, without
// closing them. New ones work.
func (ga *Gate) Silence() {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	for st := range ga.streams {
		st.silence()
	}
}

// waitOpen waits until the gate is open. A paused process does not notice a
// deadline, so the end of a context does not end the wait.
func (ga *Gate) waitOpen() (waited bool) {
	ga.mu.Lock()
	paused := ga.paused
	ga.mu.Unlock()
	if paused == nil {
		return false
	}
	<-paused
	return true
}

// waitIgnoringCancel waits until the gate is open, for a call that began before
// the pause. After a wait the call gets a context that is never cancelled.
func (ga *Gate) waitIgnoringCancel(ctx context.Context) (context.Context, error) {
	if err := ctx.Err(); err != nil {
		return ctx, err
	}
	if ga.waitOpen() {
		return context.WithoutCancel(ctx), nil
	}
	return ctx, nil
}

// waitOpenOrDone waits until the gate is open or ctx ends.
func (ga *Gate) waitOpenOrDone(ctx context.Context) error {
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
	st := &stream{Stream: inner, ga: ga, silent: make(chan struct{}), closed: make(chan struct{})}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.streams[st] = struct{}{}
	return st
}

type stream struct {
	link.Stream
	ga          *Gate
	silenceOnce sync.Once
	closeOnce   sync.Once
	silent      chan struct{}
	closed      chan struct{}
}

func (st *stream) silence() { st.silenceOnce.Do(func() { close(st.silent) }) }

// Read implements io.Reader. Data for a paused process is delivered after the pause.
func (st *stream) Read(to []byte) (int, error) {
	count, err := st.Stream.Read(to)
	select {
	case <-st.silent:
		<-st.closed
		return 0, io.EOF
	default:
	}
	if st.waitOpenOrClosed() != nil {
		return 0, io.EOF
	}
	return count, err
}

// Write implements io.Writer.
func (st *stream) Write(data []byte) (int, error) {
	select {
	case <-st.silent:
		return len(data), nil
	default:
	}
	if st.waitOpenOrClosed() != nil {
		return 0, io.ErrClosedPipe
	}
	return st.Stream.Write(data)
}

func (st *stream) waitOpenOrClosed() error {
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
	return st.ga.waitOpenOrDone(ctx)
}

// Close implements io.Closer.
func (st *stream) Close() error {
	st.closeOnce.Do(func() { close(st.closed) })
	st.ga.mu.Lock()
	delete(st.ga.streams, st)
	st.ga.mu.Unlock()
	return st.Stream.Close()
}

// Table puts the table service behind the gate. A call that starts during a
// pause takes effect after it, however late; one that is running when the pause
// begins takes effect, and its result is delivered after the pause.
func (ga *Gate) Table(inner citronstream.Table) citronstream.Table { return &table{inner, ga} }

type table struct {
	inner citronstream.Table
	ga    *Gate
}

// Get implements citronstream.Table.
func (ta *table) Get(ctx context.Context, key string) (citronstream.Row, error) {
	ctx, err := ta.ga.waitIgnoringCancel(ctx)
	if err != nil {
		return citronstream.Row{}, err
	}
	defer ta.ga.waitOpen()
	return ta.inner.Get(ctx, key)
}

// List implements citronstream.Table.
func (ta *table) List(ctx context.Context, prefix, after string, limit int) ([]citronstream.Row, error) {
	ctx, err := ta.ga.waitIgnoringCancel(ctx)
	if err != nil {
		return nil, err
	}
	defer ta.ga.waitOpen()
	return ta.inner.List(ctx, prefix, after, limit)
}

// Write implements citronstream.Table.
func (ta *table) Write(ctx context.Context, opID string, ops ...citronstream.Op) error {
	ctx, err := ta.ga.waitIgnoringCancel(ctx)
	if err != nil {
		return err
	}
	defer ta.ga.waitOpen()
	return ta.inner.Write(ctx, opID, ops...)
}

// Protocol puts the connection to the upstream behind the gate.
func (ga *Gate) Protocol(inner citronstream.Protocol) citronstream.Protocol {
	pr := &protocol{inner, ga}
	if en, ok := inner.(engineController); ok {
		return &engineProtocol{pr, en}
	}
	return pr
}

// engineController is a protocol that commands an engine.
type engineController interface {
	citronstream.EngineController
	Models(ctx context.Context, address string) ([]string, error)
}

// engineProtocol delays what a paused agent reads from its engine. Commands are
// not delayed: the guard confirms their token in the table, which is behind the
// gate, and an engine that ignores tokens can't be protected from an agent that
// is paused between the confirmation and the command.
type engineProtocol struct {
	*protocol
	engineController
}

// Models returns the models that the engine has loaded.
func (ep *engineProtocol) Models(ctx context.Context, address string) ([]string, error) {
	ctx, err := ep.ga.waitIgnoringCancel(ctx)
	if err != nil {
		return nil, err
	}
	return ep.engineController.Models(ctx, address)
}

type protocol struct {
	inner citronstream.Protocol
	ga    *Gate
}

// Run implements citronstream.Protocol.
func (pr *protocol) Run(ctx context.Context, address string, ca citronstream.Call, emit func([]byte) error) (citronstream.Result, error) {
	if err := pr.ga.waitOpenOrDone(ctx); err != nil {
		return citronstream.Result{}, citronstream.NewFault(citronstream.NotRun, citronstream.CodeCanceled, "cancelled before the call was sent")
	}
	re, err := pr.inner.Run(ctx, address, ca, func(data []byte) error {
		if err := pr.ga.waitOpenOrDone(ctx); err != nil {
			return err
		}
		return emit(data)
	})
	_ = pr.ga.waitOpenOrDone(ctx)
	return re, err
}
