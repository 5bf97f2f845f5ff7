//go:build review

// Package stand3 has the stand-ins of the third review: the platform's store, plain
// servers, clients, and the processes of the system.
package stand3

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// historyFor is how long the store keeps its history.
const historyFor = 20 * time.Second

// ErrAway is the error of a write while the store is away.
var ErrAway = errors.New("the store is away")

// Row is a row of the store.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"record-version"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowID struct{ table, part, key string }

func (ro *Row) id() rowID { return rowID{ro.Table, ro.Part, ro.Key} }

type change struct {
	at  time.Time
	row Row
}

// Store is the platform's store.
type Store struct {
	began time.Time
	srv   *http.Server
	ln    net.Listener

	mu      sync.Mutex
	log     []change // all changes that are in force
	version uint64
	era     int
	away    bool
	changed chan struct{}
}

// NewStore starts a store at an address.
func NewStore(address string) (*Store, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	st := &Store{began: time.Now(), ln: ln, era: 1, changed: make(chan struct{})}
	st.srv = &http.Server{Handler: st}
	go func() { _ = st.srv.Serve(ln) }()
	return st, nil
}

// Address returns the host and port.
func (st *Store) Address() string { return st.ln.Addr().String() }

// Close ends the store.
func (st *Store) Close() { _ = st.srv.Close() }

// Put writes a row as the operator or a server does, and returns its version.
func (st *Store) Put(table, key string, value any) (uint64, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	return st.write(Row{Table: table, Key: key, Value: raw})
}

// Remove removes a row, and returns the version at which that was done.
func (st *Store) Remove(table, key string) (uint64, error) {
	return st.write(Row{Table: table, Key: key, Deleted: true})
}

func (st *Store) write(rows ...Row) (uint64, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.away {
		return 0, ErrAway
	}
	return st.apply(rows), nil
}

func (st *Store) apply(rows []Row) uint64 {
	st.version++
	for _, ro := range rows {
		ro.Version = st.version
		st.log = append(st.log, change{time.Now(), ro})
	}
	st.wake()
	return st.version
}

func (st *Store) wake() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// Expire makes the store remove the entries of servers that are silent for some time.
func (st *Store) Expire(silence time.Duration) {
	for {
		time.Sleep(100 * time.Millisecond)
		st.mu.Lock()
		written := make(map[string]time.Time)
		for _, ch := range st.log {
			if ch.row.Table == "servers" {
				written[ch.row.Key] = ch.at
				if ch.row.Deleted {
					delete(written, ch.row.Key)
				}
			}
		}
		for key, at := range written {
			if !st.away && time.Since(at) > silence {
				st.apply([]Row{{Table: "servers", Key: key, Deleted: true}})
			}
		}
		st.mu.Unlock()
	}
}

// Drill makes the store go away for a moment and come back from a copy of some age. What
// was written since is gone, and its versions are given out again.
func (st *Store) Drill(copyAge, away time.Duration) (before, after uint64) {
	st.mu.Lock()
	copied := time.Now().Add(-copyAge)
	before = st.version
	st.away = true
	st.wake()
	st.mu.Unlock()
	time.Sleep(away)
	st.mu.Lock()
	defer st.mu.Unlock()
	kept, newest := st.log[:0], uint64(0)
	for _, ch := range st.log {
		if ch.at.Before(copied) {
			kept, newest = append(kept, ch), ch.row.Version
		}
	}
	st.log, st.version = kept, newest
	st.era++
	st.away = false
	st.wake()
	return before, newest
}

// rows returns the newest rows of a table, those that were removed too.
func (st *Store) rows(table string) map[rowID]Row {
	found := make(map[rowID]Row)
	for _, ch := range st.log {
		if ch.row.Table == table {
			found[ch.row.id()] = ch.row
		}
	}
	return found
}

type answer struct {
	Rows    []Row    `json:"rows"`
	Parts   []string `json:"parts,omitempty"`
	More    bool     `json:"more-pages"`
	Version uint64   `json:"record-version"`
	NowMs   int64    `json:"now-ms"`
}

// ServeHTTP implements http.Handler.
func (st *Store) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	var an answer
	status := http.StatusOK
	switch rq.URL.Path {
	case "/rows-get":
		an, status = st.get(rq)
	case "/rows-feed":
		an, status = st.feed(rq)
	case "/rows-tx":
		an, status = st.transact(rq)
	case "/rows-parts":
		an.Parts = []string{""}
	default:
		status = http.StatusNotFound
	}
	st.mu.Lock()
	if st.away {
		status = http.StatusServiceUnavailable
	}
	wr.Header().Set("Store-Era", strconv.Itoa(st.era))
	st.mu.Unlock()
	an.NowMs = time.Since(st.began).Milliseconds() + 1000
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	if status == http.StatusOK || status == http.StatusPreconditionFailed {
		_ = json.NewEncoder(wr).Encode(an)
	}
}

func (st *Store) get(rq *http.Request) (answer, int) {
	query := rq.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	an := answer{Rows: []Row{}, Version: st.version}
	for _, ro := range st.rows(query.Get("table")) {
		if !ro.Deleted && ro.Part == query.Get("part") && ro.Key >= query.Get("from") && (query.Get("to") == "" || ro.Key < query.Get("to")) {
			an.Rows = append(an.Rows, ro)
		}
	}
	sort.Slice(an.Rows, func(i, j int) bool { return an.Rows[i].Key < an.Rows[j].Key })
	if len(an.Rows) > limit {
		an.Rows, an.More = an.Rows[:limit], true
	}
	return an, http.StatusOK
}

func (st *Store) feed(rq *http.Request) (answer, int) {
	query := rq.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		st.mu.Lock()
		an, away, changed := answer{Rows: []Row{}, Version: st.version}, st.away, st.changed
		gone := after > st.version
		oldest := time.Now().Add(-historyFor)
		for _, ch := range st.log {
			if ch.row.Version > after && ch.at.Before(oldest) {
				gone = true
			}
		}
		for _, ro := range st.rows(query.Get("table")) {
			if ro.Version > after {
				an.Rows = append(an.Rows, ro)
			}
		}
		st.mu.Unlock()
		if away {
			return answer{}, http.StatusServiceUnavailable
		}
		if gone {
			return answer{}, http.StatusGone
		}
		if len(an.Rows) > 0 {
			sort.Slice(an.Rows, func(i, j int) bool { return an.Rows[i].Version < an.Rows[j].Version })
			return an, http.StatusOK
		}
		select {
		case <-changed:
		case <-timeout:
			return an, http.StatusOK
		case <-rq.Context().Done():
			return an, http.StatusOK
		}
	}
}

func (st *Store) transact(rq *http.Request) (answer, int) {
	var tx struct {
		Expected []Row `json:"expected-revision"`
		Puts     []Row `json:"puts"`
		Remove   []Row `json:"remove"`
	}
	if json.NewDecoder(rq.Body).Decode(&tx) != nil {
		return answer{}, http.StatusBadRequest
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.away {
		return answer{}, http.StatusServiceUnavailable
	}
	for _, ro := range append(tx.Puts, tx.Remove...) {
		if ro.Table == "op" || ro.Table == "servers" {
			return answer{}, http.StatusForbidden
		}
	}
	an := answer{Rows: []Row{}, Version: st.version}
	failed := false
	for _, want := range tx.Expected {
		now := st.rows(want.Table)[want.id()]
		if now.Deleted {
			now.Version = 0
		}
		failed = failed || now.Version != want.Version
		an.Rows = append(an.Rows, now)
	}
	if failed {
		return an, http.StatusPreconditionFailed
	}
	for i := range tx.Remove {
		tx.Remove[i].Deleted = true
	}
	an.Version = st.apply(append(tx.Puts, tx.Remove...))
	return an, http.StatusOK
}
