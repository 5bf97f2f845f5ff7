// Package s3 is a stand-in for the platform's object and weight store. It
// speaks GetObject and PutObject of S3's REST protocol with path-style
// addressing, and has fault switches.
package s3

import (
	"encoding/xml"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
)

const (
	maxObject = 64 << 20 // most bytes of one object
	maxStored = 1 << 30  // most bytes of all objects
)

// Server is an http.Handler.
type Server struct {
	clk    citronstream.Clock
	prefix string // of weights, after the bucket
	rate   int64  // bytes a second of weights; 0 is unlimited

	down      atomic.Bool
	slow      atomic.Int64
	loseEvery atomic.Int64
	puts      atomic.Int64
	slowDowns atomic.Int64

	mu      sync.Mutex
	objects map[string][]byte
	weights map[string]int64
	stored  int
	free    time.Time // when the weight store takes the next request
}

// Option changes a Server.
type Option func(*Server)

// WithWeightRate limits the bytes a second of objects under a prefix such as
// "weights/". Requests above it are answered with SlowDown.
func WithWeightRate(prefix string, rate int64) Option {
	return func(se *Server) { se.prefix, se.rate = prefix, rate }
}

// New returns an empty store.
func New(clk citronstream.Clock, opts ...Option) *Server {
	se := &Server{clk: clk, prefix: "weights/", objects: make(map[string][]byte), weights: make(map[string]int64)}
	for _, opt := range opts {
		opt(se)
	}
	return se
}

// SetDown makes every request fail with ServiceUnavailable.
func (se *Server) SetDown(down bool) { se.down.Store(down) }

// SetSlow adds a delay to each request.
func (se *Server) SetSlow(delay time.Duration) { se.slow.Store(int64(delay)) }

// SetLoseAnswers makes each n-th PutObject take effect and then end without
// an answer. Zero switches the fault off.
func (se *Server) SetLoseAnswers(every int) { se.loseEvery.Store(int64(every)) }

// SetWeights adds an object of zero bytes that takes no memory, such as
// "weights/model-1" in a bucket.
func (se *Server) SetWeights(bucket, key string, size int64) {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.weights["/"+bucket+"/"+key] = size
}

// SlowDowns returns the number of requests refused by the byte rate.
func (se *Server) SlowDowns() int64 { return se.slowDowns.Load() }

// Stored returns the number of objects and their bytes.
func (se *Server) Stored() (objects, size int) {
	se.mu.Lock()
	defer se.mu.Unlock()
	return len(se.objects), se.stored
}

// ServeHTTP implements http.Handler.
func (se *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if delay := time.Duration(se.slow.Load()); delay > 0 {
		select {
		case <-r.Context().Done():
			return
		case <-se.clk.After(delay):
		}
	}
	if se.down.Load() {
		answer(w, http.StatusServiceUnavailable, "ServiceUnavailable")
		return
	}
	switch r.Method {
	case http.MethodGet:
		se.get(w, r)
	case http.MethodPut:
		se.put(w, r)
	default:
		answer(w, http.StatusMethodNotAllowed, "MethodNotAllowed")
	}
}

func (se *Server) get(w http.ResponseWriter, r *http.Request) {
	body, size, ok := se.find(r.URL.Path)
	if !ok {
		answer(w, http.StatusNotFound, "NoSuchKey")
		return
	}
	if !se.admit(r.URL.Path, size) {
		se.slowDowns.Add(1)
		answer(w, http.StatusServiceUnavailable, "SlowDown")
		return
	}
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	// Write errors mean that the client has gone.
	if body != nil {
		_, _ = w.Write(body)
		return
	}
	_, _ = io.CopyN(w, zeros{}, size)
}

func (se *Server) find(path string) ([]byte, int64, bool) {
	se.mu.Lock()
	defer se.mu.Unlock()
	if size, ok := se.weights[path]; ok {
		return nil, size, true
	}
	body, ok := se.objects[path]
	return body, int64(len(body)), ok
}

// admit lets a request for weights through when the bytes of the earlier ones
// are paid off at the rate. An object may be larger than a second's bytes.
func (se *Server) admit(path string, size int64) bool {
	_, key, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if se.rate == 0 || !strings.HasPrefix(key, se.prefix) {
		return true
	}
	se.mu.Lock()
	defer se.mu.Unlock()
	now := se.clk.Now()
	if now.Before(se.free) {
		return false
	}
	se.free = now.Add(time.Duration(float64(size) / float64(se.rate) * float64(time.Second)))
	return true
}

func (se *Server) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObject))
	if err != nil {
		answer(w, http.StatusBadRequest, "EntityTooLarge")
		return
	}
	if !se.store(r.URL.Path, body) {
		answer(w, http.StatusInsufficientStorage, "InsufficientStorage")
		return
	}
	if every := se.loseEvery.Load(); every > 0 && se.puts.Add(1)%every == 0 {
		panic(http.ErrAbortHandler) // the connection ends without an answer
	}
	w.WriteHeader(http.StatusOK)
}

func (se *Server) store(path string, body []byte) bool {
	se.mu.Lock()
	defer se.mu.Unlock()
	stored := se.stored + len(body) - len(se.objects[path])
	if stored > maxStored {
		return false
	}
	se.objects[path], se.stored = body, stored
	return true
}

// answer writes an error document. Its write error means that the client has gone.
func answer(w http.ResponseWriter, status int, code string) {
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(status)
	_ = xml.NewEncoder(w).Encode(struct {
		XMLName xml.Name `xml:"Error"`
		Code    string
		Message string
	}{Code: code, Message: code})
}

type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(buffer []byte) (int, error) {
	clear(buffer)
	return len(buffer), nil
}
