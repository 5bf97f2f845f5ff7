// Package s3 simulates the platform's store of objects and weights. It
// implements GetObject and PutObject of S3's REST protocol with path-style
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
	maxObject = 64 << 20 // bytes of one object
	maxStored = 1 << 30  // bytes of all objects
)

// Server is an http.Handler.
type Server struct {
	clk          citronstream.Clock
	weightPrefix string // of the keys of weights, without the bucket
	weightRate   int64  // bytes per second of weights; 0 is unlimited

	down      atomic.Bool
	slow      atomic.Int64
	loseEvery atomic.Int64
	puts      atomic.Int64
	slowDowns atomic.Int64

	mu             sync.Mutex
	objects        map[string][]byte
	weights        map[string]int64
	stored         int
	nextWeightRead time.Time // earliest time of the next read of weights
}

// Option changes a Server.
type Option func(*Server)

// WithWeightRate limits the bytes per second read from objects under a prefix such as
// "weights/". Requests above the limit are answered with SlowDown.
func WithWeightRate(prefix string, rate int64) Option {
	return func(se *Server) { se.weightPrefix, se.weightRate = prefix, rate }
}

// New returns an empty store.
func New(clk citronstream.Clock, opts ...Option) *Server {
	se := &Server{clk: clk, weightPrefix: "weights/", objects: make(map[string][]byte), weights: make(map[string]int64)}
	for _, opt := range opts {
		opt(se)
	}
	return se
}

// SetDown makes every request fail with ServiceUnavailable.
func (se *Server) SetDown(down bool) { se.down.Store(down) }

// SetSlow adds a delay to each request.
func (se *Server) SetSlow(delay time.Duration) { se.slow.Store(int64(delay)) }

// SetLoseAnswers makes each n-th PutObject take effect and then fail without
// a response. Zero disables the fault.
func (se *Server) SetLoseAnswers(every int) { se.loseEvery.Store(int64(every)) }

// SetWeights adds an object that reads as zeros and takes no memory, such as
// "weights/model-1" in a bucket.
func (se *Server) SetWeights(bucket, key string, size int64) {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.weights["/"+bucket+"/"+key] = size
}

// SlowDowns returns the number of requests refused by the byte rate.
func (se *Server) SlowDowns() int64 { return se.slowDowns.Load() }

// Stored returns the number of objects and their total size in bytes.
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
		replyError(w, http.StatusServiceUnavailable, "ServiceUnavailable")
		return
	}
	switch r.Method {
	case http.MethodGet:
		se.get(w, r)
	case http.MethodPut:
		se.put(w, r)
	default:
		replyError(w, http.StatusMethodNotAllowed, "MethodNotAllowed")
	}
}

func (se *Server) get(w http.ResponseWriter, r *http.Request) {
	body, size, ok := se.find(r.URL.Path)
	if !ok {
		replyError(w, http.StatusNotFound, "NoSuchKey")
		return
	}
	if !se.withinWeightRate(r.URL.Path, size) {
		se.slowDowns.Add(1)
		replyError(w, http.StatusServiceUnavailable, "SlowDown")
		return
	}
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	// A write error means that the client disconnected.
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

// withinWeightRate admits a read of weights once the earlier ones have taken
// their time at the rate. An object may be larger than one second's bytes.
func (se *Server) withinWeightRate(path string, size int64) bool {
	_, key, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if se.weightRate == 0 || !strings.HasPrefix(key, se.weightPrefix) {
		return true
	}
	se.mu.Lock()
	defer se.mu.Unlock()
	now := se.clk.Now()
	if now.Before(se.nextWeightRead) {
		return false
	}
	se.nextWeightRead = now.Add(time.Duration(float64(size) / float64(se.weightRate) * float64(time.Second)))
	return true
}

func (se *Server) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObject))
	if err != nil {
		replyError(w, http.StatusBadRequest, "EntityTooLarge")
		return
	}
	if !se.store(r.URL.Path, body) {
		replyError(w, http.StatusInsufficientStorage, "InsufficientStorage")
		return
	}
	if every := se.loseEvery.Load(); every > 0 && se.puts.Add(1)%every == 0 {
		panic(http.ErrAbortHandler) // closes the connection without a response
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

// replyError writes an error document. A write error means that the client disconnected.
func replyError(w http.ResponseWriter, status int, code string) {
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
