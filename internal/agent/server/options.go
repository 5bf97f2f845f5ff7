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

// WithOnce sets the implementation that runs keyed calls at most once.
func WithOnce(on Once) Option { return func(se *Server) { se.once = on } }

// WithHolds sets the table of request contents that made upstreams crash.
func WithHolds(ho *poison.Holds) Option { return func(se *Server) { se.holds = ho } }

// WithMeter sets the meter of what calls consume.
func WithMeter(me Meter) Option { return func(se *Server) { se.meter = me } }

// WithRecorder sets the recorder of timeline events.
func WithRecorder(rec citronstream.Recorder) Option { return func(se *Server) { se.rec = rec } }

// WithLog sets the logger.
func WithLog(log logr.Logger) Option { return func(se *Server) { se.log = log } }

// WithToken sets the shared secret that entries must show.
func WithToken(token string) Option { return func(se *Server) { se.token = token } }

// WithVersion sets the source of the configuration version, and a callback for
// the version of each peer.
func WithVersion(current func() uint64, observe func(entry string, version uint64)) Option {
	return func(se *Server) { se.version, se.observe = current, observe }
}

// WithGrant sets the sources of the agent's epoch and of its slots.
func WithGrant(epoch func() uint64, slots func() []int) Option {
	return func(se *Server) { se.epoch, se.slots = epoch, slots }
}

// WithHandler sets a handler for methods that the agent itself does not handle.
// It returns false for an unknown method.
func WithHandler(handler func(li *link.Link, re *link.Request) bool) Option {
	return func(se *Server) { se.handler = handler }
}

// WithLoadMerge sets a function that completes each load report with data from
// other sources, such as the upstream's own load report. It must not block.
func WithLoadMerge(merge func(lo *citronstream.Load)) Option {
	return func(se *Server) { se.mergeLoad = merge }
}

// WithModels sets the source of the list of loaded models. Calls of other
// models are refused; nil means that the list is unknown.
func WithModels(models func() []string) Option { return func(se *Server) { se.models = models } }

// WithStream sets a wrapper for the connection of each entry. Tests inject
// faults through it.
func WithStream(wrap func(link.Stream) link.Stream) Option {
	return func(se *Server) { se.wrap = wrap }
}

// WithRunLimit bounds the run of a non-idempotent call. The default is 30 s.
func WithRunLimit(limit time.Duration) Option { return func(se *Server) { se.runLimit = limit } }

// WithMaxLinks bounds the links that entries open. The default is that of
// Limits.MaxPeerConnections.
func WithMaxLinks(most int) Option { return func(se *Server) { se.maxLinks = most } }
