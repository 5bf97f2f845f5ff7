// Package host runs the HTTP server of a simulated upstream, with the fault
// switches that all of them share.
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

// maxBodyBytes bounds a request body, like Limits.MaxBodyBytes, with room for a resumed prompt.
const maxBodyBytes = 8 << 20

var errRunning = errors.New("server is already running")

// Host is an HTTP server on loopback that can be killed and restarted.
type Host struct {
	Faults
	handler http.Handler

	mu        sync.Mutex
	ctx       context.Context // passed to Start; Restart uses it again
	address   string
	running   bool
	runCtx    context.Context // ends with Kill
	cancelRun context.CancelCauseFunc
	srv       *http.Server
	conns     connSet
	runEnded  chan error // end of the current serve loop
	handlers  sync.WaitGroup
	done      chan struct{}
	onStart   func(run context.Context) <-chan struct{}
}

// New returns a Host that serves handler once it is started. Times are
// divided by scale; a scale of 0 means no delay at all.
func New(clk citronstream.Clock, scale float64, seed uint64, handler http.Handler) *Host {
	ho := &Host{handler: handler, done: make(chan struct{})}
	ho.Faults.init(clk, scale, seed)
	return ho
}

// OnStart sets a function that is called at each start and restart, before
// the first request, with a context that ends when the server is killed or
// stopped. The channel it returns is closed when what it started has ended.
func (ho *Host) OnStart(fn func(run context.Context) <-chan struct{}) { ho.onStart = fn }

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

// Done is closed when the context of Start has ended and so has every goroutine of the server.
func (ho *Host) Done() <-chan struct{} { return ho.done }

// Kill closes the listener and all connections immediately and cancels running
// calls, as the death of the process would. It does not wait for the calls.
func (ho *Host) Kill() {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if !ho.running {
		return
	}
	ho.running = false
	// Silence first, so that no handler responds during the kill.
	open := ho.conns.all()
	for _, co := range open {
		co.silence()
	}
	ho.cancelRun(ErrKilled)
	_ = ho.srv.Close()
	for _, co := range open {
		_ = co.Close()
	}
}

// Restart starts a killed server again at the same address, without the
// state of the previous run. The fault switches keep their settings.
func (ho *Host) Restart() error {
	ho.mu.Lock()
	ended, running := ho.runEnded, ho.running
	ho.mu.Unlock()
	switch {
	case ended == nil:
		return errors.New("server was never started")
	case running:
		return errRunning
	}
	<-ended // the previous run, ended by Kill
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

// Running reports whether the server is started and not killed.
func (ho *Host) Running() bool {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	return ho.running
}

// listen starts a run of the server, which lasts until Kill. The caller holds mu.
func (ho *Host) listen() error {
	ln, err := net.Listen("tcp", ho.address)
	if err != nil {
		return err
	}
	run, cancel := context.WithCancelCause(context.WithoutCancel(ho.ctx))
	ho.address, ho.runCtx, ho.cancelRun, ho.running = ln.Addr().String(), run, cancel, true
	var started <-chan struct{}
	if ho.onStart != nil {
		started = ho.onStart(run)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { ho.serve(run, w, r) })}
	ended := make(chan error)
	ho.srv, ho.runEnded = srv, ended
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
	ended := ho.runEnded
	ho.mu.Unlock()
	<-ended
	ho.handlers.Wait()
	close(ho.done)
}

// serve runs the handler with a context that ends with the connection or
// with run, whichever is first.
func (ho *Host) serve(run context.Context, w http.ResponseWriter, r *http.Request) {
	ho.mu.Lock()
	if run.Err() != nil {
		ho.mu.Unlock()
		return
	}
	ho.handlers.Add(1)
	ho.mu.Unlock()
	defer ho.handlers.Done()
	// Derived from run, so that on Kill the cause is ErrKilled and not the end
	// of the connection.
	ctx, cancel := context.WithCancel(run)
	defer cancel()
	stop := context.AfterFunc(r.Context(), cancel)
	defer stop()
	if err := ho.waitWhilePaused(ctx); err != nil {
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	ho.handler.ServeHTTP(w, r.WithContext(ctx))
}

// Execution returns the log entry for a request at an upstream.
func Execution(r *http.Request, upstream string, body []byte) record.Execution {
	return record.Execution{
		Upstream: upstream, Path: r.URL.Path, Input: citronstream.Digest(body),
		RequestID: r.Header.Get("X-Request-Id"), AttemptID: r.Header.Get("X-Attempt-Id"), Key: r.Header.Get("Idempotency-Key"),
	}
}
