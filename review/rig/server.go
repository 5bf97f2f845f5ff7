//go:build review

package rig

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Arrival is a request that reached a server.
type Arrival struct {
	Server string
	ID     string
	Method string
	Path   string
	At     time.Time
	Status int // 0 if the server crashed
	Header http.Header
}

// Server is a server of the platform. It registers in the store and answers requests
// that name it.
type Server struct {
	ri      *Rig
	ID      string
	Service string
	Zone    string
	Address string
	// Handle answers a request; it may be nil. It returns the status that it has
	// written, 0 for an answer in the usual way, and -1 if the server is to crash.
	Handle func(sv *Server, wr http.ResponseWriter, rq *http.Request) int
	Work   time.Duration
	// Quiet leaves arrivals out of the record.
	Quiet bool

	mu       sync.Mutex
	state    string
	born     int64
	sequence int
	up       bool
	listed   bool
	hs       *http.Server
	conns    map[net.Conn]bool
	arrivals []Arrival
}

// NewServer starts a server and registers it.
func (ri *Rig) NewServer(id, service, zone string) *Server {
	sv := &Server{ri: ri, ID: id, Service: service, Zone: zone, Address: free("127.0.0.1"), Work: 15 * time.Millisecond}
	ri.mu.Lock()
	ri.servers = append(ri.servers, sv)
	ri.mu.Unlock()
	sv.Up()
	go sv.beat()
	return sv
}

// Up starts the process of the server and registers it.
func (sv *Server) Up() {
	ln, err := net.Listen("tcp", sv.Address)
	must(err)
	sv.mu.Lock()
	sv.up, sv.listed, sv.state, sv.born, sv.sequence, sv.conns = true, true, "ready", time.Now().UnixMilli(), 0, make(map[net.Conn]bool)
	sv.hs = &http.Server{Handler: sv, ConnState: sv.connState}
	hs := sv.hs
	sv.mu.Unlock()
	go func() { _ = hs.Serve(ln) }()
	sv.write()
}

func (sv *Server) connState(nc net.Conn, state http.ConnState) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	switch state {
	case http.StateNew:
		sv.conns[nc] = true
	case http.StateClosed:
		delete(sv.conns, nc)
	}
}

// Crash ends the process: its connections are reset, and it sends nothing to the store.
// Its entry is removed after three heartbeat intervals.
func (sv *Server) Crash() {
	sv.mu.Lock()
	if !sv.up {
		sv.mu.Unlock()
		return
	}
	sv.up = false
	conns, hs, born := sv.conns, sv.hs, sv.born
	sv.conns = make(map[net.Conn]bool)
	sv.mu.Unlock()
	for nc := range conns {
		if tc, ok := nc.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		_ = nc.Close()
	}
	_ = hs.Close()
	time.AfterFunc(3*Heartbeat, func() {
		sv.mu.Lock()
		same := !sv.up && sv.born == born
		sv.mu.Unlock()
		if same {
			sv.Unlist()
		}
	})
}

// Unlist removes the entry.
func (sv *Server) Unlist() {
	sv.mu.Lock()
	sv.listed = false
	sv.mu.Unlock()
	sv.ri.Store.Remove("servers", sv.ID)
}

// Leave reports that the server is leaving.
func (sv *Server) Leave() {
	sv.mu.Lock()
	sv.state = "draining"
	sv.mu.Unlock()
	sv.write()
}

func (sv *Server) beat() {
	for {
		select {
		case <-sv.ri.stop:
			return
		case <-time.After(Heartbeat):
		}
		sv.mu.Lock()
		write := sv.up && sv.listed
		sv.sequence++
		sv.mu.Unlock()
		if write {
			sv.write()
		}
	}
}

func (sv *Server) write() {
	sv.mu.Lock()
	slots := 6
	if sv.Service == "citron-pool" {
		slots = 8
	}
	row := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold-remaining-ms":0,"sequence":%d,"born":%d}`,
		sv.Service, sv.Address, sv.Zone, slots, sv.state, sv.sequence, sv.born)
	sv.mu.Unlock()
	sv.ri.Store.Put("servers", sv.ID, row)
}

// Arrivals returns the requests so far.
func (sv *Server) Arrivals() []Arrival {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return append([]Arrival(nil), sv.arrivals...)
}

// ServeHTTP implements http.Handler.
func (sv *Server) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	at := time.Now()
	body, err := io.ReadAll(rq.Body)
	if err != nil {
		return
	}
	id := rq.Header.Get("X-Citronstream-Request-Id")
	note := func(status int) {
		sv.mu.Lock()
		sv.arrivals = append(sv.arrivals, Arrival{Server: sv.ID, ID: id, Method: rq.Method, Path: rq.RequestURI, At: at, Status: status, Header: rq.Header.Clone()})
		sv.mu.Unlock()
		if sv.Quiet {
			return
		}
		sv.ri.Note("  server %s: request %s %s %s (%d bytes): %d", sv.ID, id, rq.Method, rq.RequestURI, len(body), status)
	}
	header := wr.Header()
	if id != "" {
		header.Set("X-Citronstream-Request-Id", id)
	}
	header.Set("Keep-Alive", "timeout=15")
	if want := rq.Header.Get("X-Citronstream-Expected-Instance"); want != "" && want != sv.ID {
		header.Set("X-Citronstream-Not-Executed", "1")
		note(http.StatusMisdirectedRequest)
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if sv.Handle != nil {
		switch status := sv.Handle(sv, wr, rq); {
		case status < 0:
			note(0)
			sv.Crash()
			panic(http.ErrAbortHandler)
		case status > 0:
			note(status)
			return
		}
	}
	time.Sleep(sv.Work)
	note(http.StatusOK)
	header.Set("X-Citronstream-Response-Signature", "3e1b.07."+id)
	_, _ = io.WriteString(wr, "answer to "+id)
}

// Configure writes a configuration of the operator. Keys are those of the one tenant.
func (ri *Rig) Configure(version int, routes string, keys ...string) {
	quoted := ""
	for i, key := range keys {
		if i > 0 {
			quoted += ","
		}
		quoted += fmt.Sprintf("%q", key)
	}
	ri.Store.Put("op", "config", fmt.Sprintf(`{"version":%d,"routes":[%s],
"services":[{"name":"order-desk","max-connections":48},{"name":"citron-pool","max-connections":270,"engine":{"slots":8,"kv-cache-tokens":30000}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"dealer","api-keys":[%s]}]}`, version, routes, quoted))
}

// Routes of the order desk, as on the sheet.
const Routes = `{"name":"dealer-reorder","host":"shop.example","prefix":"/order/","kind":"unsafe","timeout-ms":800,"target-latency-ms":100,"priority":2,"service":"order-desk","max-attempts":1},
{"name":"stock-check","host":"shop.example","prefix":"/stock/","kind":"safe","timeout-ms":800,"target-latency-ms":100,"priority":2,"service":"order-desk","max-attempts":2}`
