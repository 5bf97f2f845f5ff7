// Package site simulates the users' platform for tests: its store, the upstreams
// that register there, and switches that inject faults.
package site

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
)

// Store is the platform's store. Each process can reach it through a Door of its own.
type Store struct {
	clk         citronstream.Clock
	mu          sync.Mutex
	rows        map[rowKey]storeRow // includes deleted rows
	lastVersion uint64
	trimmedTo   uint64 // the history no longer has versions up to this one
	era         uint64 // rises with each Restore
	changed     chan struct{}
}

type rowKey struct{ table, part, key string }

type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"record-version"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (ro *storeRow) id() rowKey { return rowKey{ro.Table, ro.Part, ro.Key} }

// NewStore returns an empty store.
func NewStore(clk citronstream.Clock) *Store {
	return &Store{clk: clk, rows: make(map[rowKey]storeRow), era: 1, changed: make(chan struct{})}
}

// Put writes a row as the operator or an upstream does.
func (st *Store) Put(table, key, value string) { st.PutIn(table, "", key, value) }

// PutIn writes a row of a part of a table.
func (st *Store) PutIn(table, part, key, value string) {
	st.write(storeRow{Table: table, Part: part, Key: key, Value: []byte(value)})
}

// Remove removes a row.
func (st *Store) Remove(table, key string) { st.write(storeRow{Table: table, Key: key, Deleted: true}) }

// Forget trims the history: a feed from an earlier version is answered 410.
func (st *Store) Forget() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.trimmedTo = st.lastVersion
}

// Copy is the state of a store at some time.
type Copy struct {
	rows                   map[rowKey]storeRow
	lastVersion, trimmedTo uint64
}

// Copy returns the present state.
func (st *Store) Copy() *Copy {
	st.mu.Lock()
	defer st.mu.Unlock()
	return &Copy{rows: maps.Clone(st.rows), lastVersion: st.lastVersion, trimmedTo: st.trimmedTo}
}

// Restore brings the store back from a copy, in a new era: what was written since is gone, and
// its versions are given out again.
func (st *Store) Restore(co *Copy) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.rows, st.lastVersion, st.trimmedTo = maps.Clone(co.rows), co.lastVersion, co.trimmedTo
	st.era++
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *Store) eraNow() uint64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.era
}

// Value returns the value of a row, empty when there is none.
func (st *Store) Value(table, key string) string {
	st.mu.Lock()
	defer st.mu.Unlock()
	if ro := st.rows[rowKey{table: table, key: key}]; !ro.Deleted {
		return string(ro.Value)
	}
	return ""
}

func (st *Store) write(rows ...storeRow) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.lastVersion++
	for _, ro := range rows {
		ro.Version = st.lastVersion
		st.rows[ro.id()] = ro
	}
	close(st.changed)
	st.changed = make(chan struct{})
}

// Faults of a door.
const (
	Sound    int32 = iota
	Refuses        // responds with 503
	Silent         // never responds
	Loses          // executes the call and never responds
	Trickles       // sends the second half of the response after trickleDelay, as a slow link does
)

// Limits of an answer with a range of rows; the changes of a feed have none.
const (
	pageRows  = 500
	pageBytes = 1e6
)

// trickleDelay is the pause in the middle of a response under the fault Trickles.
const trickleDelay = 3500 * time.Millisecond

// Door is a listening address of the store with its own injected fault.
type Door struct {
	*httptest.Server
	st    *Store
	fault atomic.Int32
	calls atomic.Int64
	// Delay is how long each response takes longer, in ns.
	Delay atomic.Int64
	// TrickleFrom is the size of the smallest response that Trickles applies to, in bytes.
	TrickleFrom atomic.Int64
	// Connections are numbered from 1; those up to dead are silent for good.
	connections, dead atomic.Int64
}

// NewDoor returns a door that the caller serves: Handler with ConnContext.
func (st *Store) NewDoor() *Door { return &Door{st: st} }

// connNumber is the key of a connection's number in the context of its requests.
type connNumber struct{}

// ConnContext numbers the connections, for http.Server.
func (do *Door) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connNumber{}, do.connections.Add(1))
}

// SilenceOpen makes the open connections silent for good, without closing them. New ones work.
func (do *Door) SilenceOpen() { do.dead.Store(do.connections.Load()) }

func (do *Door) silenced(rq *http.Request) bool {
	number, numbered := rq.Context().Value(connNumber{}).(int64)
	return numbered && number <= do.dead.Load()
}

// Open returns a new door. The caller closes it.
func (st *Store) Open() *Door {
	do := st.NewDoor()
	do.Server = httptest.NewUnstartedServer(do)
	do.Config.ConnContext = do.ConnContext
	do.Start()
	return do
}

// Address returns the door's host and port.
func (do *Door) Address() string { return strings.TrimPrefix(do.URL, "http://") }

// Fault sets the injected fault.
func (do *Door) Fault(fault int32) { do.fault.Store(fault) }

// Calls returns the number of calls so far.
func (do *Door) Calls() int { return int(do.calls.Load()) }

// ServeHTTP implements http.Handler.
func (do *Door) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	do.calls.Add(1)
	fault := do.fault.Load()
	if do.silenced(rq) {
		fault = Silent
	}
	switch fault {
	case Refuses:
		wr.WriteHeader(http.StatusServiceUnavailable)
		return
	case Silent:
		// net/http detects a closed connection only after the body was read.
		_, _ = io.Copy(io.Discard, rq.Body)
		<-rq.Context().Done()
		return
	}
	if delay := do.Delay.Load(); delay > 0 {
		<-do.st.clk.After(time.Duration(delay))
	}
	answer, status := do.st.call(rq)
	answer.NowMs = do.st.clk.Now().UnixMilli()
	if do.fault.Load() == Loses || do.silenced(rq) {
		<-rq.Context().Done()
		return
	}
	wr.Header().Set("Content-Type", "application/json")
	wr.Header().Set("Store-Era", strconv.FormatUint(answer.era, 10))
	wr.WriteHeader(status)
	raw, err := json.Marshal(answer)
	if err != nil {
		return
	}
	half := len(raw) / 2
	if do.fault.Load() != Trickles || int64(len(raw)) < do.TrickleFrom.Load() {
		half = 0
	}
	_, _ = wr.Write(raw[:half]) // fails only if the caller disconnected
	if half > 0 {
		wr.(http.Flusher).Flush()
		<-do.st.clk.After(trickleDelay)
	}
	_, _ = wr.Write(raw[half:])
}

type storeAnswer struct {
	Rows    []storeRow `json:"rows"`
	More    bool       `json:"more-pages"`
	Version uint64     `json:"record-version"`
	NowMs   int64      `json:"now-ms"`
	era     uint64
}

func (st *Store) call(rq *http.Request) (storeAnswer, int) {
	query := rq.URL.Query()
	switch rq.URL.Path {
	case "/rows-get":
		return st.get(query.Get("table"), query.Get("part"), query.Get("from"), query.Get("to")), http.StatusOK
	case "/rows-feed":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait-ms"))
		return st.feed(rq, query.Get("table"), after, time.Duration(wait)*time.Millisecond)
	case "/rows-tx":
		return st.transact(rq)
	}
	return storeAnswer{era: st.eraNow()}, http.StatusNotFound
}

func (st *Store) get(table, part, from, to string) storeAnswer {
	st.mu.Lock()
	defer st.mu.Unlock()
	answer := storeAnswer{Rows: []storeRow{}, Version: st.lastVersion, era: st.era}
	for _, ro := range st.rows {
		if ro.Table == table && ro.Part == part && !ro.Deleted && ro.Key >= from && (to == "" || ro.Key < to) {
			answer.Rows = append(answer.Rows, ro)
		}
	}
	sort.Slice(answer.Rows, func(i, j int) bool { return answer.Rows[i].Key < answer.Rows[j].Key })
	size := 0
	for i := range answer.Rows {
		size += len(answer.Rows[i].Value)
		if i > 0 && (i == pageRows || size > pageBytes) {
			answer.Rows, answer.More = answer.Rows[:i], true
			break
		}
	}
	return answer
}

func (st *Store) feed(rq *http.Request, table string, after uint64, wait time.Duration) (storeAnswer, int) {
	timeout := st.clk.After(wait)
	for {
		st.mu.Lock()
		answer := storeAnswer{Rows: []storeRow{}, Version: st.lastVersion, era: st.era}
		trimmed, changed := after < st.trimmedTo || after > st.lastVersion, st.changed
		for _, ro := range st.rows {
			if ro.Table == table && ro.Version > after {
				answer.Rows = append(answer.Rows, ro)
			}
		}
		st.mu.Unlock()
		if trimmed {
			return storeAnswer{era: answer.era}, http.StatusGone
		}
		sort.Slice(answer.Rows, func(i, j int) bool { return answer.Rows[i].Version < answer.Rows[j].Version })
		if len(answer.Rows) > 0 {
			return answer, http.StatusOK
		}
		select {
		case <-changed:
		case <-timeout:
			return answer, http.StatusOK
		case <-rq.Context().Done():
			return answer, http.StatusOK
		}
	}
}

func (st *Store) transact(rq *http.Request) (storeAnswer, int) {
	var tx struct {
		Expected []storeRow `json:"expected-revision"`
		Puts     []storeRow `json:"puts"`
		Remove   []storeRow `json:"remove"`
	}
	if json.NewDecoder(rq.Body).Decode(&tx) != nil {
		return storeAnswer{era: st.eraNow()}, http.StatusBadRequest
	}
	st.mu.Lock()
	answer := storeAnswer{Rows: []storeRow{}, Version: st.lastVersion, era: st.era}
	failed := false
	for _, want := range tx.Expected {
		now := st.rows[want.id()]
		if now.Deleted {
			now.Version = 0
		}
		failed = failed || now.Version != want.Version
		answer.Rows = append(answer.Rows, now)
	}
	st.mu.Unlock()
	if failed {
		return answer, http.StatusPreconditionFailed
	}
	for i := range tx.Remove {
		tx.Remove[i].Deleted = true
	}
	st.write(append(tx.Puts, tx.Remove...)...)
	return answer, http.StatusOK
}
