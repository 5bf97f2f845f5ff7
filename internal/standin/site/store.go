// Package site is a stand-in for the users' platform: its store, the upstreams
// that register there, and switches for their faults.
package site

import (
	"encoding/json"
	"io"
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

// Store is the platform's store. Each process can reach it by a door of its own.
type Store struct {
	clk  citronstream.Clock
	mu   sync.Mutex
	rows map[string]storeRow // by table and key, removed ones included
	last uint64
	kept uint64 // versions up to this one are no longer in the history
	wake chan struct{}
}

type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"record-version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// NewStore returns an empty store.
func NewStore(clk citronstream.Clock) *Store {
	return &Store{clk: clk, rows: make(map[string]storeRow), wake: make(chan struct{})}
}

// Put writes a row as the operator or an upstream does.
func (st *Store) Put(table, key, value string) {
	st.write(storeRow{Table: table, Key: key, Value: []byte(value)})
}

// Remove removes a row.
func (st *Store) Remove(table, key string) { st.write(storeRow{Table: table, Key: key, Deleted: true}) }

// Forget drops the history.
func (st *Store) Forget() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.kept = st.last
}

// Value returns the value of a row, empty when there is none.
func (st *Store) Value(table, key string) string {
	st.mu.Lock()
	defer st.mu.Unlock()
	if ro := st.rows[table+"/"+key]; !ro.Deleted {
		return string(ro.Value)
	}
	return ""
}

func (st *Store) write(rows ...storeRow) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.last++
	for _, ro := range rows {
		ro.Version = st.last
		st.rows[ro.Table+"/"+ro.Key] = ro
	}
	close(st.wake)
	st.wake = make(chan struct{})
}

// Faults of a door.
const (
	Sound    int32 = iota
	Refuses        // answers 503
	Silent         // does not answer
	Loses          // does what it is asked and does not answer
	Trickles       // sends the second half of an answer after a while, as a slow link does
)

// trickle is the pause in the middle of an answer of a door that trickles.
const trickle = 3500 * time.Millisecond

// Door is an address of the store with its own faults.
type Door struct {
	*httptest.Server
	st    *Store
	fault atomic.Int32
	calls atomic.Int64
}

// Open returns a new door. The caller closes it.
func (st *Store) Open() *Door {
	do := &Door{st: st}
	do.Server = httptest.NewServer(do)
	return do
}

// Address returns the door's host and port.
func (do *Door) Address() string { return strings.TrimPrefix(do.URL, "http://") }

// Fault sets how the door answers.
func (do *Door) Fault(fault int32) { do.fault.Store(fault) }

// Calls returns the calls so far.
func (do *Door) Calls() int { return int(do.calls.Load()) }

// ServeHTTP implements http.Handler.
func (do *Door) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	do.calls.Add(1)
	switch do.fault.Load() {
	case Refuses:
		wr.WriteHeader(http.StatusServiceUnavailable)
		return
	case Silent:
		// The server notices that its caller has left only after the body was read.
		_, _ = io.Copy(io.Discard, rq.Body)
		<-rq.Context().Done()
		return
	}
	answer, status := do.st.call(rq)
	if do.fault.Load() == Loses {
		<-rq.Context().Done()
		return
	}
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	raw, err := json.Marshal(answer)
	if err != nil {
		return
	}
	half := len(raw) / 2
	if do.fault.Load() != Trickles {
		half = 0
	}
	_, _ = wr.Write(raw[:half]) // a caller that left needs no answer
	if half > 0 {
		wr.(http.Flusher).Flush()
		<-do.st.clk.After(trickle)
	}
	_, _ = wr.Write(raw[half:])
}

type storeAnswer struct {
	Rows    []storeRow `json:"rows"`
	More    bool       `json:"more-pages"`
	Version uint64     `json:"record-version"`
}

func (st *Store) call(rq *http.Request) (storeAnswer, int) {
	query := rq.URL.Query()
	switch rq.URL.Path {
	case "/rows-get":
		return st.get(query.Get("table"), query.Get("from"), query.Get("to")), http.StatusOK
	case "/rows-feed":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait-ms"))
		return st.feed(rq, query.Get("table"), after, time.Duration(wait)*time.Millisecond)
	case "/rows-tx":
		return st.transact(rq)
	}
	return storeAnswer{}, http.StatusNotFound
}

func (st *Store) get(table, from, to string) storeAnswer {
	st.mu.Lock()
	defer st.mu.Unlock()
	answer := storeAnswer{Rows: []storeRow{}, Version: st.last}
	for _, ro := range st.rows {
		if ro.Table == table && !ro.Deleted && ro.Key >= from && (to == "" || ro.Key < to) {
			answer.Rows = append(answer.Rows, ro)
		}
	}
	sort.Slice(answer.Rows, func(i, j int) bool { return answer.Rows[i].Key < answer.Rows[j].Key })
	return answer
}

func (st *Store) feed(rq *http.Request, table string, after uint64, wait time.Duration) (storeAnswer, int) {
	timeout := st.clk.After(wait)
	for {
		st.mu.Lock()
		answer := storeAnswer{Rows: []storeRow{}, Version: st.last}
		gone, wake := after < st.kept, st.wake
		for _, ro := range st.rows {
			if ro.Table == table && ro.Version > after {
				answer.Rows = append(answer.Rows, ro)
			}
		}
		st.mu.Unlock()
		if gone {
			return storeAnswer{}, http.StatusGone
		}
		sort.Slice(answer.Rows, func(i, j int) bool { return answer.Rows[i].Version < answer.Rows[j].Version })
		if len(answer.Rows) > 0 {
			return answer, http.StatusOK
		}
		select {
		case <-wake:
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
		return storeAnswer{}, http.StatusBadRequest
	}
	st.mu.Lock()
	answer := storeAnswer{Rows: []storeRow{}, Version: st.last}
	failed := false
	for _, want := range tx.Expected {
		now := st.rows[want.Table+"/"+want.Key]
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
