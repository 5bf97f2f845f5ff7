// Package server serves the operators' HTTP API of entries and agents.
package server

import (
	"context"
	"crypto/tls"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/settings"
	"github.com/citronstream/citronstream/internal/config/version"
	"github.com/citronstream/citronstream/internal/ingress/server"
	"github.com/citronstream/citronstream/internal/ingress/wholebody"
	"github.com/citronstream/citronstream/internal/limit/callermemory"
	"github.com/citronstream/citronstream/internal/limit/limitcount"
	"github.com/citronstream/citronstream/internal/observe/timeline"
	"github.com/citronstream/citronstream/internal/operator/report"
	"github.com/go-logr/logr"
)

// Limits of the operators' HTTP API. A configuration document has at most 16 MiB.
const (
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 17 << 20
	maxConnections = 256
	maxHandlers    = 32 // requests that are worked on; others wait with their bodies
	idleTimeout    = 2 * time.Minute
	// shedWait is how long an answer waits for memory that bodies were told to give back.
	shedWait = 250 * time.Millisecond
)

// Limits on operators, as named in metrics and log lines, beside those of the HTTP server.
const (
	LimitBodyBytes    = "body_bytes"
	LimitBodyMemory   = "body_memory"
	LimitBodyStall    = "body_stall"
	LimitAnswerMemory = "answer_memory"
	LimitReadStall    = "read_stall"
)

// LimitNames are the names of all limits on operators.
var LimitNames = []string{
	server.LimitHeaderBytes, server.LimitMemory, server.LimitConnections,
	LimitBodyBytes, LimitBodyMemory, LimitBodyStall, LimitAnswerMemory, LimitReadStall,
}

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

	limits citronstream.Limits
	http   *server.Server
	memory *callermemory.Account
	bodies *wholebody.Reader
	hits   *limitcount.Counts
	slots  chan struct{} // of maxHandlers
	ctx    context.Context
	cancel context.CancelFunc
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

// WithLimits sets the memory and the times for operators. The default is DefaultLimits.
func WithLimits(limits citronstream.Limits) Option { return func(se *Server) { se.limits = limits } }

// New returns a server for an address. Start opens it.
func New(clk citronstream.Clock, address string, process Process, opts ...Option) *Server {
	se := &Server{
		clk: clk, log: logr.Discard(), address: address, process: process, metrics: http.NotFoundHandler(), store: func() *version.Store { return nil },
		limits: citronstream.DefaultLimits(), slots: make(chan struct{}, maxHandlers),
	}
	for _, opt := range opts {
		opt(se)
	}
	stall := se.limits.StallTimeout.Std()
	se.memory = callermemory.New(clk, se.limits.MaxOperatorMemory)
	se.bodies = wholebody.New(clk, se.memory, stall)
	se.hits = limitcount.New(clk, se.log, "operator refused by a limit")
	se.http = server.New(clk, se.log, se.routes(), server.WithTLS(se.tls), server.WithMemory(se.memory), server.WithOnLimit(se.hits.Hit),
		server.WithClientLimits(citronstream.ClientLimits{Connections: maxConnections, ReadStall: stall}))
	se.http.Configure(citronstream.CallerLimits{HeaderBytes: maxHeaderBytes, HeaderTimeout: se.limits.HeaderTimeout.Std(), IdleTimeout: idleTimeout})
	return se
}

// Start listens for operators until ctx ends or Stop is called.
func (se *Server) Start(ctx context.Context) error {
	se.ctx, se.cancel = context.WithCancel(ctx)
	if err := se.http.Start(se.address); err != nil {
		se.cancel()
		return merry.Prependf(err, "operators' address %s", se.address)
	}
	return nil
}

// LimitCount returns how often a limit on operators took effect.
func (se *Server) LimitCount(limit string) uint64 { return se.hits.Count(limit) }

// Memory returns the account of what operators hold.
func (se *Server) Memory() *callermemory.Account { return se.memory }

// Stop closes the server once pending answers are written, after 2 s at most.
func (se *Server) Stop() {
	timeout := se.clk.After(stopWait)
	for waiting := true; waiting && se.http.Running() > 0; {
		select {
		case <-timeout:
			waiting = false
		case <-se.clk.After(stopPoll):
		}
	}
	se.cancel()
	se.http.Close()
}

func (se *Server) mux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(wr http.ResponseWriter, _ *http.Request) { writeText(wr, http.StatusOK, "ok") })
	mux.HandleFunc("GET /readyz", se.ready)
	mux.Handle("GET /metrics", se.requireOperator(func(wr http.ResponseWriter, rq *http.Request, _ string) { writeWhole(wr, rq, se.metrics) }))
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

// routes bounds the answers of the endpoints.
func (se *Server) routes() http.Handler {
	mux := se.mux()
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		aw := newAnswerWriter(se, wr)
		defer aw.memory.Close()
		defer aw.release()
		mux.ServeHTTP(aw, rq)
	})
}

func (se *Server) ready(wr http.ResponseWriter, _ *http.Request) {
	if err := se.process.Ready(); err != nil {
		writeText(wr, http.StatusServiceUnavailable, citronstream.FaultOf(err).Text)
		return
	}
	writeText(wr, http.StatusOK, "ready")
}
