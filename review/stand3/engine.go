//go:build review

package stand3

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// downFor is how long an engine is down after a crash.
const downFor = 3 * time.Second

// Engine is a model server that streams. A part of a prompt may crash it when it begins to
// write an answer on it; it is back after some seconds, as a new incarnation with a new id.
type Engine struct {
	Name, Service, Zone string
	Bad                 string // ID of the part
	Read                time.Duration
	Step                time.Duration
	Events              int
	// Begun is how many events of an answer on the bad part are written before the crash, which
	// comes in the middle of the next step.
	Begun int

	st       *Store
	arrivals *Arrivals
	address  string

	mu      sync.Mutex
	ln      net.Listener
	srv     *http.Server
	conns   map[net.Conn]bool
	id      string
	born    int64
	starts  int
	down    bool
	closed  bool
	crashes []time.Time
}

// NewEngine starts an engine at an address and registers it.
func NewEngine(st *Store, ar *Arrivals, address, name, service, zone, bad string) (*Engine, error) {
	en := &Engine{Name: name, Service: service, Zone: zone, Bad: bad, Read: 60 * time.Millisecond, Step: 30 * time.Millisecond, Events: 20, st: st, arrivals: ar, address: address}
	if err := en.start(); err != nil {
		return nil, err
	}
	go en.beat()
	return en, nil
}

func (en *Engine) start() error {
	ln, err := net.Listen("tcp", en.address)
	if err != nil {
		return err
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	en.starts++
	en.address, en.ln, en.conns, en.down = ln.Addr().String(), ln, make(map[net.Conn]bool), false
	en.id, en.born = fmt.Sprintf("i-%s-%d", en.Name, en.starts), time.Now().UnixMilli()
	id, conns := en.id, en.conns
	srv := &http.Server{
		Handler: http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) { en.serve(id, wr, rq) }),
		ConnState: func(nc net.Conn, state http.ConnState) {
			en.mu.Lock()
			defer en.mu.Unlock()
			if state == http.StateClosed {
				delete(conns, nc)
			} else {
				conns[nc] = true
			}
		},
	}
	en.srv = srv
	go func() { _ = srv.Serve(ln) }()
	return nil
}

func (en *Engine) beat() {
	for sequence := 1; ; sequence++ {
		en.mu.Lock()
		id, born, down, closed := en.id, en.born, en.down, en.closed
		en.mu.Unlock()
		if closed {
			return
		}
		if !down {
			_, _ = en.st.Put("servers", id, map[string]any{
				"service": en.Service, "address": en.address, "zone": en.Zone, "version": "v1", "slots": 64, "state": "ready", "cold-remaining-ms": 0,
				"stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "sequence": sequence, "born": born,
			})
		}
		time.Sleep(Heartbeat)
	}
}

// crash resets all connections of the incarnation and starts the next one later.
func (en *Engine) crash(id string) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.down || en.id != id {
		return
	}
	en.down = true
	en.crashes = append(en.crashes, time.Now())
	_ = en.ln.Close()
	for nc := range en.conns {
		_ = nc.(*net.TCPConn).SetLinger(0)
		_ = nc.Close()
	}
	time.AfterFunc(downFor, func() {
		for range 20 {
			if en.isClosed() || en.start() == nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}

func (en *Engine) isClosed() bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.closed
}

// Crashes returns when it has crashed.
func (en *Engine) Crashes() []time.Time {
	en.mu.Lock()
	defer en.mu.Unlock()
	return append([]time.Time{}, en.crashes...)
}

// Close ends the engine.
func (en *Engine) Close() {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.closed = true
	_ = en.srv.Close()
}

func (en *Engine) serve(me string, wr http.ResponseWriter, rq *http.Request) {
	header := wr.Header()
	header.Set("Keep-Alive", "timeout=30")
	id := rq.Header.Get("X-Citronstream-Request-Id")
	if id != "" {
		header.Set("X-Citronstream-Request-Id", id)
	}
	switch want := rq.Header.Get("X-Citronstream-Expected-Instance"); {
	case want != "" && want != me:
		header.Set("X-Citronstream-Instance-Id", me)
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	case rq.URL.Path == "/health":
		header.Set("X-Citronstream-Instance-Id", me)
		return
	case rq.URL.Path == "/report":
		_, _ = io.WriteString(wr, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting-requests":0,"running-requests":1,"kv-cache-used":1000,"kv-cache-total":445925,"handles":0}`)
		return
	case id == "":
		header.Set("X-Citronstream-Not-Executed", "1")
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, rq.Body); err != nil {
		return
	}
	en.arrivals.add(Arrival{Server: me, ID: id, Tenant: rq.Header.Get("X-Citronstream-Tenant"), Method: rq.Method, Target: rq.RequestURI, At: time.Now()})
	if !pause(rq, en.Read) {
		return
	}
	crashes := strings.Contains(rq.Header.Get("X-Citronstream-Prompt-Prefix"), en.Bad+":")
	if crashes && en.Begun == 0 {
		en.crash(me)
		return
	}
	header.Set("X-Citronstream-Response-Signature", me+".1.1")
	header.Set("X-Citronstream-Weight-Versions", "1")
	header.Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(rq.Header.Get("Last-Event-Id"))
	for event := first + 1; event <= en.Events; event++ {
		if _, err := fmt.Fprintf(wr, "id: %d\ndata: tokens %d\n\n", event, event); err != nil {
			return
		}
		wr.(http.Flusher).Flush()
		if crashes && event >= first+en.Begun {
			time.Sleep(en.Step / 2)
			en.crash(me)
			return
		}
		if event < en.Events && !pause(rq, en.Step) {
			return
		}
	}
}

func pause(rq *http.Request, wait time.Duration) bool {
	select {
	case <-time.After(wait):
		return true
	case <-rq.Context().Done():
		return false
	}
}
