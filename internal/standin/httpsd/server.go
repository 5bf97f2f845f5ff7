// Package httpsd simulates the platform's list of instances. It serves it as
// Prometheus HTTP service discovery JSON, with a lag.
package httpsd

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
)

// maxHistory bounds the changes that are not yet visible.
// At the bound the oldest changes become visible early.
const maxHistory = 4096

type version struct {
	at     time.Time
	states []citronstream.InstanceState
}

// Server is an http.Handler.
type Server struct {
	clk  citronstream.Clock
	lag  atomic.Int64
	down atomic.Bool

	mu      sync.Mutex
	history []version // the first is the newest visible version
}

// New returns a Server with an empty list, whose changes become visible after the lag.
func New(clk citronstream.Clock, lag time.Duration) *Server {
	se := &Server{clk: clk, history: []version{{}}}
	se.SetLag(lag)
	return se
}

// SetLag sets the time until a change becomes visible.
func (se *Server) SetLag(lag time.Duration) { se.lag.Store(int64(lag)) }

// SetDown makes every request fail.
func (se *Server) SetDown(down bool) { se.down.Store(down) }

// Set replaces the actual list.
func (se *Server) Set(states []citronstream.InstanceState) {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.history = append(se.history, version{at: se.clk.Now(), states: slices.Clone(states)})
	se.prune()
	if len(se.history) > maxHistory {
		se.history = se.history[1:]
	}
}

// prune drops the versions before the newest one that is visible.
func (se *Server) prune() {
	visible := se.clk.Now().Add(-time.Duration(se.lag.Load()))
	for len(se.history) > 1 && !se.history[1].at.After(visible) {
		se.history = se.history[1:]
	}
}

// History returns the number of versions kept.
func (se *Server) History() int {
	se.mu.Lock()
	defer se.mu.Unlock()
	return len(se.history)
}

type group struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// ServeHTTP implements http.Handler.
func (se *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if se.down.Load() {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	se.mu.Lock()
	se.prune()
	states := se.history[0].states
	se.mu.Unlock()
	groups := []group{}
	for _, is := range states {
		state := "live"
		if is.Leaving {
			state = "leaving"
		}
		groups = append(groups, group{
			Targets: []string{is.Instance},
			Labels:  map[string]string{"instance": is.Instance, "zone": is.Zone, "state": state},
		})
	}
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the client disconnected.
	_ = json.NewEncoder(w).Encode(groups)
}
