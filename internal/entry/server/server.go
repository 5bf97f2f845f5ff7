// Package server implements the entry: the HTTP/1.1 server for callers.
package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/entry/catalog"
	"github.com/citronstream/citronstream/internal/entry/pipeline"
	"github.com/citronstream/citronstream/internal/kernel/httpengine"
	"github.com/go-logr/logr"
	"github.com/lesismal/llib/std/crypto/tls"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/lesismal/nbio/taskpool"
)

// Limits that don't depend on the configuration.
const (
	// maxUnsentBytes bounds the bytes that are buffered for a slow caller.
	maxUnsentBytes = 1 << 20
	// maxIdentifier is the longest idempotency key or name that a caller may send, in bytes.
	maxIdentifier     = 255
	drainPollInterval = 10 * time.Millisecond
	// maxJobs bounds the requests that wait for a free handler.
	maxJobs = 1 << 16
)

// Counts are the counters of a Server.
type Counts struct {
	Accepted, Completed, NotRun, MayHaveRun, Ran, Disconnected, SlowReaders, Limited, Late atomic.Uint64
}

// watchInterval is the interval of checks for callers that have disconnected.
const watchInterval = 50 * time.Millisecond

// Server serves callers.
type Server struct {
	clk     citronstream.Clock
	address string
	runner  *pipeline.Runner
	current func() *catalog.Catalog
	ready   func() error
	done    func(rq *pipeline.Request, took time.Duration, out *pipeline.Outcome)
	limits  citronstream.Limits
	tls     *tls.Config
	counts  Counts

	eng         *nbhttp.Engine
	ctx         context.Context
	cancel      context.CancelFunc
	inFlight    atomic.Int64
	pool        *taskpool.TaskPool
	jobs        atomic.Int64 // handlers whose answer may not be fully written yet
	leaving     atomic.Bool
	callers     sync.Map // remote address to context.CancelFunc
	open        sync.Map // remote address to *nbio.Conn
	watched     chan struct{}
	concurrency concurrencyLimit
	stop        sync.Once
}

// Option changes a Server.
type Option func(*Server)

// WithReady sets a function that returns why the entry can't serve yet, or nil.
func WithReady(ready func() error) Option { return func(se *Server) { se.ready = ready } }

// WithDone sets a callback for the end of each request.
func WithDone(done func(rq *pipeline.Request, took time.Duration, out *pipeline.Outcome)) Option {
	return func(se *Server) { se.done = done }
}

// WithTLS serves HTTPS.
func WithTLS(config *tls.Config) Option { return func(se *Server) { se.tls = config } }

// New returns a server for an address. Current returns the configuration in force,
// nil before there is one.
func New(clk citronstream.Clock, address string, runner *pipeline.Runner, current func() *catalog.Catalog,
	limits citronstream.Limits, opts ...Option,
) *Server {
	logging.SetLevel(logging.LevelNone)
	se := &Server{
		clk: clk, address: address, runner: runner, current: current, limits: limits,
		ready: func() error { return nil },
		done:  func(*pipeline.Request, time.Duration, *pipeline.Outcome) {},
	}
	for _, opt := range opts {
		opt(se)
	}
	return se
}

// Start listens for callers.
func (se *Server) Start(ctx context.Context) error {
	se.ctx, se.cancel = context.WithCancel(ctx)
	se.pool = taskpool.New(se.limits.MaxConcurrent+64, maxJobs)
	eng, err := httpengine.Start(se.address, nbhttp.Config{
		NPoller: 2, NListener: 1,
		MaxLoad:         se.limits.MaxConnections,
		ReadLimit:       se.limits.MaxHeaderBytes + se.limits.MaxBodyBytes,
		MaxHTTPBodySize: se.limits.MaxBodyBytes, MaxWriteBufferSize: maxUnsentBytes,
		ServerExecutor: se.execute,
		KeepaliveTime:  se.limits.IdleTimeout.Std(),
		Handler:        se.routes(),
	}, httpengine.WithTLS(se.tls), httpengine.WithRetry(se.clk, logr.Discard()), httpengine.WithConnHooks(
		func(co *nbio.Conn) { se.open.Store(co.RemoteAddr().String(), co) },
		func(nc net.Conn) { se.open.Delete(nc.RemoteAddr().String()) },
	))
	if err != nil {
		se.cancel()
		se.pool.Stop()
		return merry.Prependf(err, "entry at %s", se.address)
	}
	se.eng = eng
	se.watched = make(chan struct{})
	go se.watch()
	return nil
}

// watch cancels the requests of callers that have disconnected, until the server
// stops. nbhttp's own OnClose is called only after the connection's request ends.
func (se *Server) watch() {
	defer close(se.watched)
	ticker := se.clk.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-se.ctx.Done():
			return
		case <-ticker.Chan():
		}
		se.callers.Range(func(address, cancel any) bool {
			if co, ok := se.open.Load(address); !ok || closed(co.(*nbio.Conn)) {
				cancel.(context.CancelFunc)()
			}
			return true
		})
	}
}

func closed(co *nbio.Conn) bool {
	is, _ := co.IsClosed()
	return is
}

// execute runs a handler. A job ends once nbhttp has written the answer, which is
// after the request stops counting as in flight. Drain does not wait for jobs that
// start while the server is leaving, as they only refuse requests. The job is
// counted before leaving is checked, so that Drain misses none.
func (se *Server) execute(job func()) {
	se.jobs.Add(1)
	if se.leaving.Load() {
		se.jobs.Add(-1)
		se.pool.Go(job)
		return
	}
	se.pool.Go(func() {
		defer se.jobs.Add(-1)
		job()
	})
}

// Drain refuses new requests and waits until the ones in flight have ended
// and their answers are written, or ctx ends.
func (se *Server) Drain(ctx context.Context) error {
	se.leaving.Store(true)
	for se.inFlight.Load() > 0 || se.jobs.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-se.clk.After(drainPollInterval):
		}
	}
	return nil
}

// Stop closes the server at once, without a drain. A second call does nothing.
func (se *Server) Stop() {
	se.stop.Do(func() {
		se.leaving.Store(true)
		se.cancel()
		se.eng.Stop()
		se.pool.Stop()
		<-se.watched
	})
}

// Counts returns the counters.
func (se *Server) Counts() *Counts { return &se.counts }

// InFlight returns the number of requests in flight.
func (se *Server) InFlight() int { return int(se.inFlight.Load()) }

func (se *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/pipelines/{name}", func(wr http.ResponseWriter, rq *http.Request) {
		se.serve(wr, rq, se.pipeline)
	})
	mux.HandleFunc("POST /v1/services/{service}/{call}", func(wr http.ResponseWriter, rq *http.Request) {
		se.serve(wr, rq, se.service)
	})
	mux.HandleFunc("GET /healthz", func(wr http.ResponseWriter, _ *http.Request) { wr.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/", func(wr http.ResponseWriter, rq *http.Request) {
		problem(wr, "", citronstream.NewFault(citronstream.NotRun, citronstream.CodeNotFound, "no resource %s %s", rq.Method, truncate(rq.URL.Path)))
	})
	return mux
}
