//go:build review

package stand3

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Heartbeat is the interval in which servers write their entries.
const Heartbeat = 1200 * time.Millisecond

// Arrival is a request that a server has begun to run.
type Arrival struct {
	Server, ID, Tenant, Method, Target string
	At                                 time.Time
}

// Arrivals records them.
type Arrivals struct {
	mu   sync.Mutex
	list []Arrival
}

// All returns the arrivals so far.
func (ar *Arrivals) All() []Arrival {
	ar.mu.Lock()
	defer ar.mu.Unlock()
	return append([]Arrival{}, ar.list...)
}

func (ar *Arrivals) add(one Arrival) {
	ar.mu.Lock()
	defer ar.mu.Unlock()
	ar.list = append(ar.list, one)
}

// Server is a plain server that answers each request after some work.
type Server struct {
	ID, Service, Zone string
	Slots             int
	Work              time.Duration
	// Handle, if set, answers a request in place of the server's usual answer.
	Handle atomic.Pointer[func(wr http.ResponseWriter, rq *http.Request)]

	st       *Store
	arrivals *Arrivals
	ln       net.Listener
	srv      *http.Server
	born     int64
	state    atomic.Value // string
	sequence atomic.Int64
	silent   atomic.Bool // writes its entry no more
	leaving  atomic.Bool // says so in all its answers
	stop     chan struct{}
	once     sync.Once
}

// NewServer starts a server at an address and registers it.
func NewServer(st *Store, ar *Arrivals, address, id, service, zone string, slots int) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	se := &Server{ID: id, Service: service, Zone: zone, Slots: slots, Work: 15 * time.Millisecond, st: st, arrivals: ar, ln: ln, born: time.Now().UnixMilli(), stop: make(chan struct{})}
	se.state.Store("ready")
	se.srv = &http.Server{Handler: se}
	go func() { _ = se.srv.Serve(ln) }()
	go se.beat()
	return se, nil
}

func (se *Server) beat() {
	for {
		if !se.silent.Load() {
			_, _ = se.Register()
		}
		select {
		case <-se.stop:
			return
		case <-time.After(Heartbeat):
		}
	}
}

// Register writes the entry of the server, and returns its version.
func (se *Server) Register() (uint64, error) {
	return se.st.Put("servers", se.ID, map[string]any{
		"service": se.Service, "address": se.ln.Addr().String(), "zone": se.Zone, "version": "v1", "slots": se.Slots,
		"state": se.state.Load(), "cold-remaining-ms": 0, "sequence": se.sequence.Add(1), "born": se.born,
	})
}

// Drain reports that the server leaves. It goes on serving.
func (se *Server) Drain() (uint64, error) {
	se.state.Store("draining")
	se.leaving.Store(true)
	return se.Register()
}

// Leave removes the entry of the server. It goes on serving.
func (se *Server) Leave() (uint64, error) {
	se.silent.Store(true)
	se.leaving.Store(true)
	return se.st.Remove("servers", se.ID)
}

// Close ends the server.
func (se *Server) Close() {
	se.once.Do(func() {
		close(se.stop)
		_ = se.srv.Close()
	})
}

// ServeHTTP implements http.Handler.
func (se *Server) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	header := wr.Header()
	header.Set("Keep-Alive", "timeout=30")
	if se.leaving.Load() {
		header.Set("Server-Leaving", "1")
	}
	id := rq.Header.Get("X-Citronstream-Request-Id")
	if id != "" {
		header.Set("X-Citronstream-Request-Id", id)
	}
	if want := rq.Header.Get("X-Citronstream-Expected-Instance"); want != "" && want != se.ID {
		header.Set("X-Citronstream-Instance-Id", se.ID)
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if rq.URL.Path == "/health" {
		header.Set("X-Citronstream-Instance-Id", se.ID)
		return
	}
	if id == "" {
		header.Set("X-Citronstream-Not-Executed", "1")
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, rq.Body); err != nil {
		return
	}
	se.arrivals.add(Arrival{Server: se.ID, ID: id, Tenant: rq.Header.Get("X-Citronstream-Tenant"), Method: rq.Method, Target: rq.RequestURI, At: time.Now()})
	if handle := se.Handle.Load(); handle != nil {
		(*handle)(wr, rq)
		return
	}
	select {
	case <-time.After(se.Work):
	case <-rq.Context().Done():
		return
	}
	header.Set("X-Citronstream-Response-Signature", se.ID+".1.1")
	_, _ = fmt.Fprintf(wr, "answer of %s to %s", se.ID, id)
}
