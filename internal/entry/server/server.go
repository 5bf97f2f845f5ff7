// Package server implements the entry: the HTTP/1.1 server for callers.
package server

import (
	"context"
	"crypto/tls"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/entry/catalog"
	"github.com/citronstream/citronstream/internal/entry/pipeline"
	"github.com/citronstream/citronstream/internal/ingress/server"
	"github.com/citronstream/citronstream/internal/ingress/wholebody"
	"github.com/citronstream/citronstream/internal/limit/callermemory"
	"github.com/citronstream/citronstream/internal/limit/limitcount"
	"github.com/go-logr/logr"
)

// Limits that don't depend on the configuration.
const (
	// maxIdentifier is the longest idempotency key or name that a caller may send, in bytes.
	maxIdentifier     = 255
	drainPollInterval = 10 * time.Millisecond
	// shedWait is how long an answer waits for memory that bodies were told to give back.
	shedWait = 250 * time.Millisecond
)

// Limits on callers, as named in metrics and log lines, beside those of the HTTP server.
const (
	LimitBodyBytes    = "body_bytes"
	LimitBodyMemory   = "body_memory"
	LimitBodyStall    = "body_stall"
	LimitAnswerMemory = "answer_memory"
	LimitReadStall    = "read_stall"
)

// LimitNames are the names of all limits on callers.
var LimitNames = []string{
	server.LimitHeaderBytes, server.LimitMemory, server.LimitConnections,
	LimitBodyBytes, LimitBodyMemory, LimitBodyStall, LimitAnswerMemory, LimitReadStall,
}

// Counts are the counters of a Server.
type Counts struct {
	Accepted, Completed, NotRun, MayHaveRun, Ran, Disconnected, SlowReaders, Limited, Late atomic.Uint64
}

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
	log     logr.Logger
	counts  Counts
	hits    *limitcount.Counts

	http        *server.Server
	memory      *callermemory.Account
	bodies      *wholebody.Reader
	ctx         context.Context
	cancel      context.CancelFunc
	inFlight    atomic.Int64
	leaving     atomic.Bool
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

// WithLog sets the logger. It gets a line when a limit on callers takes effect.
func WithLog(log logr.Logger) Option { return func(se *Server) { se.log = log } }

// New returns a server for an address. Current returns the configuration in force,
// nil before there is one.
func New(clk citronstream.Clock, address string, runner *pipeline.Runner, current func() *catalog.Catalog,
	limits citronstream.Limits, opts ...Option,
) *Server {
	se := &Server{
		clk: clk, address: address, runner: runner, current: current, limits: limits, log: logr.Discard(),
		ready: func() error { return nil },
		done:  func(*pipeline.Request, time.Duration, *pipeline.Outcome) {},
	}
	for _, opt := range opts {
		opt(se)
	}
	se.memory = callermemory.New(clk, limits.MaxCallerMemory)
	se.bodies = wholebody.New(clk, se.memory, limits.StallTimeout.Std())
	se.hits = limitcount.New(clk, se.log, "caller refused by a limit")
	se.http = server.New(clk, se.log, se.routes(), server.WithTLS(se.tls), server.WithMemory(se.memory), server.WithOnLimit(se.hits.Hit),
		server.WithClientLimits(citronstream.ClientLimits{Connections: limits.MaxConnections, ReadStall: limits.StallTimeout.Std()}))
	se.http.Configure(citronstream.CallerLimits{
		HeaderBytes: limits.MaxHeaderBytes, HeaderTimeout: limits.HeaderTimeout.Std(), IdleTimeout: limits.IdleTimeout.Std(),
	})
	return se
}

// Start listens for callers.
func (se *Server) Start(ctx context.Context) error {
	se.ctx, se.cancel = context.WithCancel(ctx)
	if err := se.http.Start(se.address); err != nil {
		se.cancel()
		return merry.Prependf(err, "entry at %s", se.address)
	}
	return nil
}

// Drain refuses new requests and waits until the ones in flight have ended
// and their answers are written, or ctx ends.
func (se *Server) Drain(ctx context.Context) error {
	se.leaving.Store(true)
	for se.inFlight.Load() > 0 || se.http.Running() > 0 {
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
		se.http.Close()
	})
}

// Counts returns the counters.
func (se *Server) Counts() *Counts { return &se.counts }

// LimitCount returns how often a limit on callers took effect.
func (se *Server) LimitCount(limit string) uint64 { return se.hits.Count(limit) }

// Memory returns the account of what callers hold.
func (se *Server) Memory() *callermemory.Account { return se.memory }

// Connections returns the number of open connections of callers.
func (se *Server) Connections() int { return se.http.Open() }

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
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		aw := newAnswerWriter(se, wr)
		defer aw.memory.Close()
		mux.ServeHTTP(aw, rq)
	})
}
