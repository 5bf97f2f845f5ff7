// Package host runs the HTTP server of a stand-in for an upstream, with the
// fault switches that all of them share.
package host

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/standin/record"
)

// maxBodyBytes bounds a request body, as Limits.MaxBodyBytes does with room for a resumed prompt.
const maxBodyBytes = 8 << 20

var errRunning = errors.New("stand-in is running")

// Host is an HTTP server on loopback that can be killed and restarted.
type Host struct {
	Faults
	handler http.Handler

	mu       sync.Mutex
	ctx      context.Context // of Start, for Restart
	address  string
	running  bool
	life     context.Context // ends with Kill
	die      context.CancelCauseFunc
	srv      *http.Server
	conns    connSet
	ended    chan error // end of the current serve loop
	handlers sync.WaitGroup
	done     chan struct{}
	onStart  func(life context.Context) <-chan struct{}
}

// New returns a Host that serves handler once it is started. Times are
// divided by scale; a scale of 0 takes no time at all.
func New(clk citronstream.Clock, scale float64, seed uint64, handler http.Handler) *Host {
	ho := &Host{handler: handler, done: make(chan struct{})}
	ho.Faults.init(clk, scale, seed)
	return ho
}

// OnStart sets a function that is called at each start and restart, before
// the first request, with a context that ends with the server's life. The
// channel it returns is closed when whatever it started has ended.
func (ho *Host) OnStart(fn func(life context.Context) <-chan struct{}) { ho.onStart = fn }

// Start listens on address (host:port, port 0 picks one) until ctx ends.
func (ho *Host) Start(ctx context.Context, address string) error {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if ho.ctx != nil {
		return errRunning
	}
	ho.ctx, ho.address = ctx, address
	if err := ho.listen(); err != nil {
		ho.ctx = nil
		return err
	}
	go ho.supervise(ctx)
	return nil
}

// Address returns the host:port that the server listens on.
func (ho *Host) Address() string {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	return ho.address
}

// Done is closed when the context of Start has ended and every goroutine of the server too.
func (ho *Host) Done() <-chan struct{} { return ho.done }

// Kill closes the listener and all connections at once and ends the
// executions, as the death of the process does. It does not wait for them.
func (ho *Host) Kill() {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if !ho.running {
		return
	}
	ho.running = false
	// Silence first, so that no handler answers on the way down.
	open := ho.conns.all()
	for _, co := range open {
		co.silence()
	}
	ho.die(ErrKilled)
	_ = ho.srv.Close()
	for _, co := range open {
		_ = co.Close()
	}
}

// Restart starts a killed server again at the same address, without the
// state of its former life. The fault switches keep their positions.
func (ho *Host) Restart() error {
	ho.mu.Lock()
	ended, running := ho.ended, ho.running
	ho.mu.Unlock()
	switch {
	case ended == nil:
		return errors.New("stand-in was never started")
	case running:
		return errRunning
	}
	<-ended // the former life, ended by Kill
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if ho.running {
		return errRunning
	}
	if err := ho.ctx.Err(); err != nil {
		return err
	}
	return ho.listen()
}

// Running reports whether the server listens.
func (ho *Host) Running() bool {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	return ho.running
}

// listen starts one life of the server. It needs mu.
func (ho *Host) listen() error {
	ln, err := net.Listen("tcp", ho.address)
	if err != nil {
		return err
	}
	life, die := context.WithCancelCause(context.WithoutCancel(ho.ctx))
	ho.address, ho.life, ho.die, ho.running = ln.Addr().String(), life, die, true
	var started <-chan struct{}
	if ho.onStart != nil {
		started = ho.onStart(life)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { ho.serve(life, w, r) })}
	ended := make(chan error)
	ho.srv, ho.ended = srv, ended
	go func() {
		defer close(ended)
		_ = srv.Serve(&listener{Listener: ln, set: &ho.conns})
		if started != nil {
			<-started
		}
	}()
	return nil
}

func (ho *Host) supervise(ctx context.Context) {
	<-ctx.Done()
	ho.Kill()
	ho.mu.Lock()
	ended := ho.ended
	ho.mu.Unlock()
	<-ended
	ho.handlers.Wait()
	close(ho.done)
}

// serve runs the handler with a context that ends with the connection or
// with the life of the server, whichever is first.
func (ho *Host) serve(life context.Context, w http.ResponseWriter, r *http.Request) {
	ho.mu.Lock()
	if life.Err() != nil {
		ho.mu.Unlock()
		return
	}
	ho.handlers.Add(1)
	ho.mu.Unlock()
	defer ho.handlers.Done()
	// Derived from life, so that Kill sets the cause before the end of the
	// connection can.
	ctx, cancel := context.WithCancel(life)
	defer cancel()
	stop := context.AfterFunc(r.Context(), cancel)
	defer stop()
	if err := ho.gate(ctx); err != nil {
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	ho.handler.ServeHTTP(w, r.WithContext(ctx))
}

// Execution describes the run of a request at an upstream for the record.
func Execution(r *http.Request, upstream string, body []byte) record.Execution {
	return record.Execution{
		Upstream: upstream, Path: r.URL.Path, Input: citronstream.Digest(body),
		RequestID: r.Header.Get("X-Request-Id"), AttemptID: r.Header.Get("X-Attempt-Id"), Key: r.Header.Get("Idempotency-Key"),
	}
}
