//go:build review

package stand2

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream/internal/standin/site"
)

const heartbeat = 1200 * time.Millisecond

// Result is what a handle stands for.
type Result struct {
	Request      string
	Stage, Piece int
	Server       *Server
	until        time.Time
}

// Item is a piece that a server was asked for.
type Item struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Piece  int      `json:"piece"`
	LeftMs float64  `json:"remaining-ms"`
	Key    string   `json:"key"`
	Inputs []string `json:"inputs"`
}

// World has all servers of a site and what they hold.
type World struct {
	Record *Record
	Store  *site.Store
	// Quiet leaves single pieces out of the record.
	Quiet bool

	mu      sync.Mutex
	results map[string]Result // by handle, also those that are gone
	servers map[string]*Server
	counter atomic.Int64

	// OnItem is called for each piece that begins to be worked on, OnRun for each request.
	OnItem func(sv *Server, it Item)
	OnRun  func(sv *Server, id string, inputs []string, header http.Header)
}

// NewWorld returns a world without servers.
func NewWorld(record *Record, store *site.Store) *World {
	return &World{
		Record: record, Store: store, results: make(map[string]Result), servers: make(map[string]*Server),
		OnItem: func(*Server, Item) {}, OnRun: func(*Server, string, []string, http.Header) {},
	}
}

// Meaning returns what a handle was made for.
func (wo *World) Meaning(handle string) (Result, bool) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	re, known := wo.results[handle]
	return re, known
}

// holds reports whether a handle can be fetched now.
func (wo *World) holds(handle string) bool {
	wo.mu.Lock()
	re, known := wo.results[handle]
	wo.mu.Unlock()
	return known && re.Server.has(handle)
}

// Spec is what the servers of a service have in common.
type Spec struct {
	Service string
	Slots   int
	Queue   int
	// Of stages.
	Batch          int
	CallMs, ItemMs float64
	HandleS        float64
	// Of engines.
	Engine bool
	Events int
	GapMs  int
	// Of plain services.
	WorkMs int
}

// Server is one incarnation of a server.
type Server struct {
	ID, Zone string
	Spec     Spec
	Address  string
	wo       *World
	http     *http.Server
	born     int64
	sequence atomic.Int64

	mu      sync.Mutex
	down    bool
	held    map[string]time.Time // handle: until
	running int
	waiting int
	turn    chan struct{} // a slot each
	conns   map[net.Conn]bool
	cancel  context.CancelFunc
	// Working has the pieces in work and since when.
	working map[int64]Work
}

// Work is a call in work.
type Work struct {
	Since time.Time
	Items []Item
}

// Start starts a server with a new id and lists it. An address may be empty.
func (wo *World) Start(spec Spec, zone, address string) (*Server, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	sv := &Server{
		ID: fmt.Sprintf("i-%08x", rand.Uint32()), Zone: zone, Spec: spec, Address: ln.Addr().String(), wo: wo, born: time.Now().UnixMilli(),
		held: make(map[string]time.Time), turn: make(chan struct{}, spec.Slots), conns: make(map[net.Conn]bool), cancel: cancel, working: make(map[int64]Work),
	}
	sv.http = &http.Server{Handler: sv, IdleTimeout: 20 * time.Second, ConnState: func(nc net.Conn, state http.ConnState) {
		sv.mu.Lock()
		defer sv.mu.Unlock()
		switch state {
		case http.StateNew:
			sv.conns[nc] = true
		case http.StateClosed, http.StateHijacked:
			delete(sv.conns, nc)
		}
	}}
	go func() { _ = sv.http.Serve(ln) }()
	wo.mu.Lock()
	wo.servers[sv.ID] = sv
	wo.mu.Unlock()
	sv.list("ready")
	go sv.beat(ctx)
	wo.Record.Log("server %s of %s in %s at %s started", sv.ID, spec.Service, zone, sv.Address)
	return sv, nil
}

func (sv *Server) list(state string) {
	row, _ := json.Marshal(map[string]any{
		"service": sv.Spec.Service, "address": sv.Address, "zone": sv.Zone, "version": "v1", "slots": sv.Spec.Slots, "state": state,
		"cold-remaining-ms": 0, "sequence": sv.sequence.Add(1), "born": sv.born,
	})
	sv.wo.Store.Put("servers", sv.ID, string(row))
}

// beat writes the row each heartbeat.
func (sv *Server) beat(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			sv.list("ready")
		}
	}
}

// Crash ends the server: its connections are reset, its results are lost, and its row goes
// after three heartbeats.
func (sv *Server) Crash() {
	sv.mu.Lock()
	if sv.down {
		sv.mu.Unlock()
		return
	}
	sv.down = true
	sv.held = make(map[string]time.Time)
	var open []net.Conn
	for nc := range sv.conns {
		open = append(open, nc)
	}
	sv.mu.Unlock()
	sv.cancel()
	go func() { _ = sv.http.Close() }()
	for _, nc := range open {
		if tc, ok := nc.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		_ = nc.Close()
	}
	sv.wo.Record.Log("server %s of %s at %s crashed", sv.ID, sv.Spec.Service, sv.Address)
	time.AfterFunc(3*heartbeat, func() { sv.wo.Store.Remove("servers", sv.ID) })
}

// Down reports whether the server has crashed.
func (sv *Server) Down() bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.down
}

// Close ends the server at the end of the case.
func (sv *Server) Close() {
	sv.cancel()
	_ = sv.http.Close()
}

// Working returns the calls in work.
func (sv *Server) Working() (works []Work) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for _, wk := range sv.working {
		works = append(works, wk)
	}
	return works
}

func (sv *Server) has(handle string) bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	until, held := sv.held[handle]
	return held && !sv.down && time.Now().Before(until)
}

// load returns the value of the header with the load.
func (sv *Server) load() string {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", sv.running, sv.waiting, sv.Spec.Slots)
}

// ServeHTTP implements http.Handler.
func (sv *Server) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	body, err := io.ReadAll(rq.Body)
	if err != nil {
		return
	}
	wr.Header().Set("Keep-Alive", "timeout=20")
	if id := rq.Header.Get(site.HeaderID); id != "" {
		wr.Header().Set(site.HeaderID, id)
	}
	if want := rq.Header.Get(site.HeaderMember); want != "" && want != sv.ID {
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch rq.URL.Path {
	case "/report":
		sv.report(wr)
	case "/stage-run":
		sv.stageRun(wr, rq, body)
	case "/stage-free":
		var list struct {
			Handles []string `json:"handles"`
		}
		_ = json.Unmarshal(body, &list)
		sv.mu.Lock()
		for _, handle := range list.Handles {
			delete(sv.held, handle)
		}
		sv.mu.Unlock()
		if !sv.wo.Quiet {
			sv.wo.Record.Log("free at %s: %v", sv.ID, list.Handles)
		}
	default:
		sv.run(wr, rq, body)
	}
}

func (sv *Server) report(wr http.ResponseWriter) {
	sv.mu.Lock()
	waiting, running := sv.waiting, sv.running
	sv.mu.Unlock()
	wr.Header().Set("Content-Type", "application/json")
	if sv.Spec.Engine {
		fmt.Fprintf(wr, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting-requests":%d,"running-requests":%d,"kv-cache-used":0,"kv-cache-total":400000,"handles":0}`, waiting, running)
		return
	}
	fmt.Fprintf(wr, `{"waiting-requests":%d,"busy":%d,"free-mb":%g}`, waiting, running, 9.0)
}

func refuse(wr http.ResponseWriter, status int) {
	wr.Header().Set("X-Citronstream-Not-Executed", "1")
	wr.WriteHeader(status)
}

// acquire waits for a slot. It returns false if the call was refused or dropped while it waited.
func (sv *Server) acquire(wr http.ResponseWriter, rq *http.Request) bool {
	sv.mu.Lock()
	if sv.running >= sv.Spec.Slots && sv.waiting >= sv.Spec.Queue {
		sv.mu.Unlock()
		if sv.Spec.Batch > 0 {
			wr.Header().Set("X-Citronstream-Server-Load", sv.load())
		}
		refuse(wr, http.StatusServiceUnavailable)
		return false
	}
	sv.waiting++
	sv.mu.Unlock()
	ok := true
	select {
	case sv.turn <- struct{}{}:
	case <-rq.Context().Done():
		ok = false
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.waiting--
	if ok {
		sv.running++
	}
	return ok
}

func (sv *Server) giveBack() {
	<-sv.turn
	sv.mu.Lock()
	sv.running--
	sv.mu.Unlock()
}

func (sv *Server) stageRun(wr http.ResponseWriter, rq *http.Request, body []byte) {
	var call struct {
		Items []Item `json:"items"`
	}
	if json.Unmarshal(body, &call) != nil || len(call.Items) == 0 || len(call.Items) > sv.Spec.Batch {
		refuse(wr, http.StatusBadRequest)
		return
	}
	if !sv.acquire(wr, rq) {
		return
	}
	defer sv.giveBack()
	number := sv.wo.counter.Add(1)
	sv.mu.Lock()
	sv.working[number] = Work{Since: time.Now(), Items: call.Items}
	sv.mu.Unlock()
	defer func() {
		sv.mu.Lock()
		delete(sv.working, number)
		sv.mu.Unlock()
	}()
	answers := make([]map[string]string, len(call.Items))
	took := sv.Spec.CallMs
	for i, it := range call.Items {
		sv.wo.OnItem(sv, it)
		for _, handle := range it.Inputs {
			if !sv.wo.holds(handle) {
				answers[i] = map[string]string{"reason": "gone"}
			}
		}
		if sv.wo.Quiet {
			if answers[i] == nil {
				took += sv.Spec.ItemMs
			}
			continue
		}
		sv.wo.Record.Log("piece at %s: id %s stage %d piece %d key %q inputs %v lost %v", sv.ID, it.ID, it.Stage, it.Piece, it.Key, it.Inputs, answers[i] != nil)
		if answers[i] == nil {
			took += sv.Spec.ItemMs
		}
	}
	time.Sleep(time.Duration(took * float64(time.Millisecond)))
	if sv.Down() {
		panic(http.ErrAbortHandler)
	}
	until := time.Now().Add(time.Duration(sv.Spec.HandleS * float64(time.Second)))
	for i, it := range call.Items {
		if answers[i] != nil {
			continue
		}
		handle := fmt.Sprintf("%s/%012x", sv.Address, rand.Uint64()>>16)
		sv.wo.mu.Lock()
		sv.wo.results[handle] = Result{Request: it.ID, Stage: it.Stage, Piece: it.Piece, Server: sv}
		sv.wo.mu.Unlock()
		sv.mu.Lock()
		sv.held[handle] = until
		sv.mu.Unlock()
		answers[i] = map[string]string{"handle": handle}
	}
	wr.Header().Set("X-Citronstream-Server-Load", sv.load())
	wr.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wr).Encode(map[string]any{"items": answers})
}

// run runs a request of a caller.
func (sv *Server) run(wr http.ResponseWriter, rq *http.Request, body []byte) {
	id := rq.Header.Get(site.HeaderID)
	if id == "" {
		refuse(wr, http.StatusBadRequest)
		return
	}
	if !sv.acquire(wr, rq) {
		return
	}
	defer sv.giveBack()
	var inputs []string
	if text := rq.Header.Get(site.HeaderInputs); text != "" {
		inputs = strings.Split(text, ",")
	}
	if rq.Header.Get(site.HeaderPieces) != "" || rq.Header.Get("X-Needs-Inputs") != "" {
		if len(inputs) == 0 {
			refuse(wr, http.StatusBadRequest)
			return
		}
		for _, handle := range inputs {
			if !sv.wo.holds(strings.TrimSpace(handle)) {
				sv.wo.Record.Log("run at %s: id %s refused, input %s is gone", sv.ID, id, handle)
				refuse(wr, http.StatusConflict)
				return
			}
		}
	}
	sv.wo.OnRun(sv, id, inputs, rq.Header)
	sv.wo.Record.Log("run at %s: id %s %s %s inputs %v body %d", sv.ID, id, rq.Method, rq.RequestURI, inputs, len(body))
	wr.Header().Set(site.HeaderSignature, sv.ID+".sig")
	if !sv.Spec.Engine {
		select {
		case <-time.After(time.Duration(sv.Spec.WorkMs) * time.Millisecond):
		case <-rq.Context().Done():
			return
		}
		text := "answer to " + id
		wr.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(wr, text)
		return
	}
	wr.Header().Set("Content-Type", "text/event-stream")
	wr.Header().Set("X-Citronstream-Weight-Versions", "1")
	first, _ := strconv.Atoi(rq.Header.Get(site.HeaderLastEvent))
	for event := first + 1; event <= sv.Spec.Events; event++ {
		fmt.Fprintf(wr, "id: %d\ndata: token %d of %s\n\n", event, event, id)
		wr.(http.Flusher).Flush()
		select {
		case <-time.After(time.Duration(sv.Spec.GapMs) * time.Millisecond):
		case <-rq.Context().Done():
			return
		}
	}
}
