// Package pool simulates a server of the platform's pools: an encoder, a
// retriever or a reranker. Requests and responses are JSON.
package pool

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/standin/host"
	"github.com/citronstream/citronstream/internal/standin/record"
	"golang.org/x/sync/semaphore"
)

const (
	vectorSize    = 8
	documentCount = 4
	// The service time of a call is baseTime plus perKB for each 1,024 bytes of input.
	baseTime = 4 * time.Millisecond
	perKB    = 2 * time.Millisecond
)

// Server is a simulated pool server. Host adds start, kill, restart and fault switches.
type Server struct {
	*host.Host
	name     string
	kind     string
	log      *record.Log
	capacity int
	scale    float64
	seed     uint64
	slots    *semaphore.Weighted
}

// Option changes a Server.
type Option func(*Server)

// WithCapacity sets the number of concurrent calls. The default is 16.
func WithCapacity(n int) Option { return func(se *Server) { se.capacity = n } }

// WithScale divides all times; 0 means no delay at all. The default is 1.
func WithScale(scale float64) Option { return func(se *Server) { se.scale = scale } }

// WithSeed seeds the random choice of calls that fail.
func WithSeed(seed uint64) Option { return func(se *Server) { se.seed = seed } }

// New returns a server of a kind: citronstream.KindEncoder, KindRetriever or
// KindReranker. Executions are recorded in log.
func New(clk citronstream.Clock, name, kind string, log *record.Log, opts ...Option) *Server {
	se := &Server{name: name, kind: kind, log: log, capacity: 16, scale: 1, seed: 1}
	for _, opt := range opts {
		opt(se)
	}
	se.slots = semaphore.NewWeighted(int64(se.capacity))
	se.Host = host.New(clk, se.scale, se.seed, http.HandlerFunc(se.call))
	return se
}

// Output is the body of a response. Input is the digest of the request body in
// hex; the other fields depend only on it and the kind.
type Output struct {
	Kind      string     `json:"Kind"`
	Input     string     `json:"Input"`
	Vector    []float64  `json:"Vector,omitempty"`    // encoder
	Documents []Document `json:"Documents,omitempty"` // retriever and reranker
}

// Document is a scored document.
type Document struct {
	ID    string  `json:"ID"`
	Score float64 `json:"Score"`
}

// Answer returns the response of a server of this kind to a request body.
func Answer(kind string, body []byte) []byte {
	digest := citronstream.Digest(body)
	out := Output{Kind: kind, Input: fmt.Sprintf("%016x", digest)}
	if kind == citronstream.KindEncoder {
		for i := range vectorSize {
			out.Vector = append(out.Vector, pseudoScore(digest, i))
		}
	} else {
		for i := range documentCount {
			score := pseudoScore(digest, i)
			out.Documents = append(out.Documents, Document{ID: fmt.Sprintf("doc-%04d", int(score*10000)), Score: score})
		}
	}
	answer, _ := json.Marshal(out)
	return answer
}

// pseudoScore derives a number of four decimals, from 0 to below 1, from the digest.
func pseudoScore(digest uint64, i int) float64 {
	return float64(xxhash.Sum64String(fmt.Sprint(digest, i))%10000) / 10000
}

func (se *Server) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request was cut off
	}
	if !json.Valid(body) {
		http.Error(w, "body is not JSON", http.StatusBadRequest)
		return
	}
	ctx := r.Context()
	if err := se.slots.Acquire(ctx, 1); err != nil {
		return
	}
	defer se.slots.Release(1)
	id := se.log.Begin(host.Execution(r, se.name, body))
	switch {
	case host.Poison(body):
		se.log.End(id, 0, record.Poisoned)
		se.Kill()
		return
	case se.Failing():
		se.log.End(id, 0, record.Failed)
		http.Error(w, "injected failure", http.StatusInternalServerError)
		return
	}
	size := time.Duration(len(body)) * perKB / 1024
	if err := se.Sleep(ctx, baseTime+size); err != nil {
		se.log.End(id, 0, host.Outcome(ctx))
		return
	}
	answer := Answer(se.kind, body)
	se.log.End(id, citronstream.Digest(answer), record.Done)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answer)
}
