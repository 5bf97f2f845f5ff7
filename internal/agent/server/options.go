package server

import (
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/limit/poison"
	"github.com/citronstream/citronstream/internal/peer/link"
	"github.com/go-logr/logr"
)

// Option changes a Server.
type Option func(*Server)

// WithOnce sets what runs keyed calls at most once.
func WithOnce(on Once) Option { return func(se *Server) { se.once = on } }

// WithHolds sets the table of contents that killed upstreams.
func WithHolds(ho *poison.Holds) Option { return func(se *Server) { se.holds = ho } }

// WithMeter sets what counts consumption.
func WithMeter(me Meter) Option { return func(se *Server) { se.meter = me } }

// WithRecorder sets the timeline.
func WithRecorder(rec citronstream.Recorder) Option { return func(se *Server) { se.rec = rec } }

// WithLog sets the logger.
func WithLog(log logr.Logger) Option { return func(se *Server) { se.log = log } }

// WithToken sets the shared secret that entries must show.
func WithToken(token string) Option { return func(se *Server) { se.token = token } }

// WithVersion sets where the configuration version comes from, and what
// takes note of a peer's version.
func WithVersion(current func() uint64, observe func(entry string, version uint64)) Option {
	return func(se *Server) { se.version, se.observe = current, observe }
}

// WithGrant sets where the agent's epoch and its slots come from.
func WithGrant(epoch func() uint64, slots func() []int) Option {
	return func(se *Server) { se.epoch, se.slots = epoch, slots }
}

// WithExtra sets a handler for methods that the agent itself does not know.
// It returns false for a method that it doesn't know either.
func WithExtra(extra func(li *link.Link, re *link.Request) bool) Option {
	return func(se *Server) { se.extra = extra }
}

// WithFold sets what adds to each load report what is known from elsewhere:
// the upstream's own report and its models. It must not block.
func WithFold(fold func(lo *citronstream.Load)) Option {
	return func(se *Server) { se.fold = fold }
}

// WithModels sets where the loaded models come from. A call of another model
// is refused; nil means that nothing is known.
func WithModels(models func() []string) Option { return func(se *Server) { se.models = models } }

// WithStream sets what each connection of an entry passes through. Tests put
// faults there.
func WithStream(wrap func(link.Stream) link.Stream) Option {
	return func(se *Server) { se.wrap = wrap }
}

// WithRunLimit bounds the run of a non-idempotent call. The default is 30 s.
func WithRunLimit(limit time.Duration) Option { return func(se *Server) { se.runLimit = limit } }
