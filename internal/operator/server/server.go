// Package server serves the operators' HTTP API of entries and agents.
package server

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/settings"
	"github.com/citronstream/citronstream/internal/config/version"
	"github.com/citronstream/citronstream/internal/kernel/httpengine"
	"github.com/citronstream/citronstream/internal/observe/timeline"
	"github.com/citronstream/citronstream/internal/operator/report"
	"github.com/go-logr/logr"
	"github.com/lesismal/llib/std/crypto/tls"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/lesismal/nbio/taskpool"
)

// Limits of the operators' HTTP API. A configuration document has at most 16 MiB.
const (
	maxHeaderBytes    = 16 << 10
	maxBodyBytes      = 17 << 20
	maxUnsentBytes    = 64 << 20
	maxConnections    = 256
	maxHandlers       = 32
	maxQueuedRequests = 1024 // requests that wait for a free handler
)

// Stop waits for pending answers, such as that to a drain of this process.
const (
	stopWait = 2 * time.Second
	stopPoll = 10 * time.Millisecond
)

// Process is the entry or agent that the server operates.
type Process interface {
	// Ready returns nil if the process can take work, or else the reason.
	Ready() error
	Status(ctx context.Context) report.Status
	// Timeline returns the events of this process and, unless own, of the
	// processes that it is linked to.
	Timeline(ctx context.Context, fi timeline.Filter, own bool) []citronstream.Event
	// Holds returns the held contents as JSON.
	Holds() ([]byte, error)
	// Lift ends a hold and returns the number of processes that had it.
	Lift(ctx context.Context, digest uint64) int
	// RefreshSlots makes the owners of a service's slots read their row at once.
	RefreshSlots(service string)
	// Drain starts to take a process out of service. An empty name means this one.
	// Errors: a Fault with CodeNotFound for a process that isn't linked.
	Drain(ctx context.Context, name string) error
}

// Server is the HTTP server for operators.
type Server struct {
	clk       citronstream.Clock
	log       logr.Logger
	address   string
	process   Process
	operators []operator
	metrics   http.Handler
	store     func() *version.Store
	table     citronstream.Table
	tls       *tls.Config
	check     func(fl *citronstream.Fleet) []string

	eng     *nbhttp.Engine
	pool    *taskpool.TaskPool
	pending atomic.Int64 // requests that are queued or not fully answered
	ctx     context.Context
	cancel  context.CancelFunc
}

// Option changes a Server.
type Option func(*Server)

// WithOperators requires the token of one of these operators. Without
// operators only requests from loopback are served.
func WithOperators(ops []settings.Operator) Option {
	return func(se *Server) { se.operators = decodeOperators(ops) }
}

// WithMetrics serves /metrics.
func WithMetrics(ha http.Handler) Option { return func(se *Server) { se.metrics = ha } }

// WithConfig serves the accepted configuration and accepts changes to it.
// Store returns nil while the process has none; check returns the errors in a
// proposed fleet.
func WithConfig(store func() *version.Store, check func(fl *citronstream.Fleet) []string) Option {
	return func(se *Server) { se.store, se.check = store, check }
}

// WithTable serves the cost records and the intervals of uncertainty of the table.
func WithTable(ta citronstream.Table) Option { return func(se *Server) { se.table = ta } }

// WithLog sets the logger. It gets a line for each action of an operator.
func WithLog(log logr.Logger) Option { return func(se *Server) { se.log = log } }

// WithTLS serves HTTPS.
func WithTLS(config *tls.Config) Option { return func(se *Server) { se.tls = config } }

// New returns a server for an address. Start opens it.
func New(clk citronstream.Clock, address string, process Process, opts ...Option) *Server {
	logging.SetLevel(logging.LevelNone)
	se := &Server{clk: clk, log: logr.Discard(), address: address, process: process, metrics: http.NotFoundHandler(), store: func() *version.Store { return nil }}
	for _, opt := range opts {
		opt(se)
	}
	return se
}

// Start listens for operators until ctx ends or Stop is called.
func (se *Server) Start(ctx context.Context) error {
	se.ctx, se.cancel = context.WithCancel(ctx)
	se.pool = taskpool.New(maxHandlers, maxQueuedRequests)
	eng, err := httpengine.Start(se.address, nbhttp.Config{
		NPoller: 1, NListener: 1, MaxLoad: maxConnections,
		ReadLimit: maxHeaderBytes + maxBodyBytes, MaxHTTPBodySize: maxBodyBytes,
		MaxWriteBufferSize: maxUnsentBytes, ServerExecutor: se.execute, Handler: se.routes(),
	}, httpengine.WithTLS(se.tls), httpengine.WithRetry(se.clk, se.log))
	if err != nil {
		se.cancel()
		se.pool.Stop()
		return merry.Prependf(err, "operators' address %s", se.address)
	}
	se.eng = eng
	return nil
}

func (se *Server) execute(job func()) {
	se.pending.Add(1)
	se.pool.Go(func() {
		defer se.pending.Add(-1)
		job()
	})
}

// Stop closes the server once pending answers are written, after 2 s at most.
func (se *Server) Stop() {
	timeout := se.clk.After(stopWait)
	for waiting := true; waiting && se.pending.Load() > 0; {
		select {
		case <-timeout:
			waiting = false
		case <-se.clk.After(stopPoll):
		}
	}
	se.cancel()
	se.eng.Stop()
	se.pool.Stop()
}

func (se *Server) mux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(wr http.ResponseWriter, _ *http.Request) { writeText(wr, http.StatusOK, "ok") })
	mux.HandleFunc("GET /readyz", se.ready)
	mux.Handle("GET /metrics", se.requireOperator(func(wr http.ResponseWriter, rq *http.Request, _ string) { se.metrics.ServeHTTP(wr, rq) }))
	mux.Handle("GET /v1/admin/status", se.requireOperator(se.status))
	mux.Handle("GET /v1/admin/timeline", se.requireOperator(se.timeline))
	mux.Handle("GET /v1/admin/cost", se.requireOperator(se.cost))
	mux.Handle("GET /v1/admin/holds", se.requireOperator(se.holds))
	mux.Handle("POST /v1/admin/holds/lift", se.requireOperator(se.lift))
	mux.Handle("GET /v1/admin/doubts", se.requireOperator(se.doubts))
	mux.Handle("POST /v1/admin/doubts/lift", se.requireOperator(se.liftDoubt))
	mux.Handle("POST /v1/admin/drain", se.requireOperator(se.drain))
	mux.Handle("GET /v1/admin/config", se.requireOperator(se.config))
	mux.Handle("POST /v1/admin/config", se.requireOperator(se.apply))
	return mux
}

// routes applies the limit on headers before the endpoints.
func (se *Server) routes() http.Handler {
	mux := se.mux()
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		if headerBytes(rq) > maxHeaderBytes {
			writeProblem(wr, http.StatusRequestHeaderFieldsTooLarge, "the header exceeds %d bytes", maxHeaderBytes)
			return
		}
		mux.ServeHTTP(wr, rq)
	})
}

func headerBytes(rq *http.Request) int {
	size := len(rq.RequestURI)
	for name, values := range rq.Header {
		for _, value := range values {
			size += len(name) + len(value) + 4
		}
	}
	return size
}

func (se *Server) ready(wr http.ResponseWriter, _ *http.Request) {
	if err := se.process.Ready(); err != nil {
		writeText(wr, http.StatusServiceUnavailable, citronstream.FaultOf(err).Text)
		return
	}
	writeText(wr, http.StatusOK, "ready")
}
