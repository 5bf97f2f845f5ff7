// Package server is the operators' HTTP of entries and agents.
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

// Limits of the operators' HTTP. A configuration document has at most 16 MiB.
const (
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 17 << 20
	maxUnsent      = 64 << 20
	maxConnections = 256
	handlers       = 32
	maxJobs        = 1024 // requests that wait for a free handler
)

// Stop waits for answers under way, such as that to a drain of this process.
const (
	stopWait = 2 * time.Second
	stopPoll = 10 * time.Millisecond
)

// Process is the entry or agent that is operated.
type Process interface {
	// Ready returns why the process can't take work, nil if it can.
	Ready() error
	Status(ctx context.Context) report.Status
	// Timeline returns the events of this process and, unless own, of the
	// processes that it is linked to.
	Timeline(ctx context.Context, fi timeline.Filter, own bool) []citronstream.Event
	// Holds returns the held contents as JSON.
	Holds() ([]byte, error)
	// Lift ends a hold and returns the number of processes that had it.
	Lift(ctx context.Context, digest uint64) int
	// Poke tells the owners of a service's slots to read their row at once.
	Poke(service string)
	// Drain starts to take a process out of service. An empty name means this one.
	// Errors: a Fault with CodeNotFound for a process that isn't linked.
	Drain(ctx context.Context, name string) error
}

// Server serves operators.
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

	eng    *nbhttp.Engine
	pool   *taskpool.TaskPool
	jobs   atomic.Int64 // handlers whose answer may not be written out yet
	ctx    context.Context
	cancel context.CancelFunc
}

// Option changes a Server.
type Option func(*Server)

// WithOperators admits the bearers of these tokens. Without operators only
// peers on loopback are served.
func WithOperators(ops []settings.Operator) Option {
	return func(se *Server) { se.operators = decode(ops) }
}

// WithMetrics serves /metrics.
func WithMetrics(ha http.Handler) Option { return func(se *Server) { se.metrics = ha } }

// WithConfig serves the accepted configuration and takes changes to it.
// Store returns nil while the process has none; check returns the faults of
// an offered fleet.
func WithConfig(store func() *version.Store, check func(fl *citronstream.Fleet) []string) Option {
	return func(se *Server) { se.store, se.check = store, check }
}

// WithTable serves the cost records and the intervals of uncertainty of the table.
func WithTable(ta citronstream.Table) Option { return func(se *Server) { se.table = ta } }

// WithLog sets the logger. Each act of an operator is a line in it.
func WithLog(log logr.Logger) Option { return func(se *Server) { se.log = log } }

// WithTLS serves HTTPS.
func WithTLS(config *tls.Config) Option { return func(se *Server) { se.tls = config } }

// New returns a server on an address. Start opens it.
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
	se.pool = taskpool.New(handlers, maxJobs)
	eng, err := httpengine.Start(se.address, nbhttp.Config{
		NPoller: 1, NListener: 1, MaxLoad: maxConnections,
		ReadLimit: maxHeaderBytes + maxBodyBytes, MaxHTTPBodySize: maxBodyBytes,
		MaxWriteBufferSize: maxUnsent, ServerExecutor: se.execute, Handler: se.routes(),
	}, httpengine.WithTLS(se.tls))
	if err != nil {
		se.cancel()
		se.pool.Stop()
		return merry.Prependf(err, "operators' address %s", se.address)
	}
	se.eng = eng
	return nil
}

func (se *Server) execute(job func()) {
	se.jobs.Add(1)
	se.pool.Go(func() {
		defer se.jobs.Add(-1)
		job()
	})
}

// Stop closes the server after the answers under way, which it gives 2 s.
func (se *Server) Stop() {
	late := se.clk.After(stopWait)
	for waiting := true; waiting && se.jobs.Load() > 0; {
		select {
		case <-late:
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
	mux.HandleFunc("GET /healthz", func(wr http.ResponseWriter, _ *http.Request) { text(wr, http.StatusOK, "ok") })
	mux.HandleFunc("GET /readyz", se.ready)
	mux.Handle("GET /metrics", se.admit(func(wr http.ResponseWriter, rq *http.Request, _ string) { se.metrics.ServeHTTP(wr, rq) }))
	mux.Handle("GET /v1/admin/status", se.admit(se.status))
	mux.Handle("GET /v1/admin/timeline", se.admit(se.timeline))
	mux.Handle("GET /v1/admin/cost", se.admit(se.cost))
	mux.Handle("GET /v1/admin/holds", se.admit(se.holds))
	mux.Handle("POST /v1/admin/holds/lift", se.admit(se.lift))
	mux.Handle("GET /v1/admin/doubts", se.admit(se.doubts))
	mux.Handle("POST /v1/admin/doubts/lift", se.admit(se.liftDoubt))
	mux.Handle("POST /v1/admin/drain", se.admit(se.drain))
	mux.Handle("GET /v1/admin/config", se.admit(se.config))
	mux.Handle("POST /v1/admin/config", se.admit(se.apply))
	return mux
}

// routes puts the limit on headers before the endpoints.
func (se *Server) routes() http.Handler {
	mux := se.mux()
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		if headerBytes(rq) > maxHeaderBytes {
			problem(wr, http.StatusRequestHeaderFieldsTooLarge, "the header has more than %d bytes", maxHeaderBytes)
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
		text(wr, http.StatusServiceUnavailable, citronstream.FaultOf(err).Text)
		return
	}
	text(wr, http.StatusOK, "ready")
}
