package site

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
)

// Arrival is a request that reached an upstream.
type Arrival struct {
	Upstream string
	ID       string // request identifier
	Method   string
	Target   string
	Header   http.Header
	Body     string
	At       time.Time
	Ran      bool // the work was started
	// Ended is closed when the upstream has stopped working on it.
	Ended chan struct{}
}

// Upstream is a server of the platform: a plain service, an engine that
// streams, or a stage that processes batches.
type Upstream struct {
	*httptest.Server
	ID        string
	Service   string
	clk       citronstream.Clock
	log       *Log
	startedMs int64
	// Public is the address in rows and results, such as that of a proxy; empty
	// means the upstream's own. It is set before the upstream is listed.
	Public string

	// Zone is the zone in its row; empty means z. It is set before the upstream is listed.
	Zone string
	Cold atomic.Int64 // rest of its cold time in its row, in ms

	// Fault switches and settings. With the zero values the upstream is healthy.
	Leaving     atomic.Bool  // says in each response that it leaves
	RetryAfter  atomic.Value // string: Retry-After of its refusals
	Refuse      atomic.Bool  // 503 with the header that the work did not run
	Copies      atomic.Int32 // copies of a connection's last refusal that precede its next answer
	Nameless    atomic.Bool  // the copies leave the request identifier out
	Unmarked    atomic.Bool  // 503 without that header, after the work
	Reset       atomic.Bool  // runs the work and resets the connection
	Status      atomic.Int32 // response status; 0 is 200
	Unsigned    atomic.Bool  // leaves the response signature out
	Hang        atomic.Bool  // runs until the caller disconnects
	CutAfter    atomic.Int32 // events of a stream before it breaks in the middle of one
	Drip        atomic.Int32 // events of a stream before it stalls and sends only comments and repeated events
	Events      atomic.Int32 // events of a stream; 0 is 5
	Gap         atomic.Int64 // pause between events, in ns
	Work        atomic.Int64 // time of a plain request or a batch, in ns
	Gone        atomic.Bool  // reports inputs as lost
	CrashPart   atomic.Value // string: prompt part on which the upstream crashes when it begins to answer
	CrashAfter  atomic.Int32 // events of that answer before the crash; a whole answer breaks in its middle
	Taken       atomic.Int64 // bytes reported as used of the 1 MB of memory for results
	resultCount atomic.Int64
	batches     atomic.Int64 // that run
	sequence    atomic.Int64 // of its rows

	// Answer, if set, answers requests once the identifier and the signature are set.
	Answer atomic.Pointer[http.HandlerFunc]
	// Pause, if set, is called for each item of a batch once its inputs have been read. It
	// is set before the upstream is listed.
	Pause func(ctx context.Context, it Item)
	// Early calls Answer before the body of the request is read.
	Early atomic.Bool

	mu      sync.Mutex
	results map[string]bool // by handle
	crashed bool
	address string // of its listener
}

// Item is one piece of a batch.
type Item struct {
	ID     string   `json:"id"` // of the request
	Stage  int      `json:"stage"`
	Piece  int      `json:"piece"`
	Inputs []string `json:"inputs"`
}

// Log records the arrivals at all upstreams of a site, in order.
type Log struct {
	// Fetch makes upstreams report inputs as lost that no running one holds.
	Fetch atomic.Bool

	mu       sync.Mutex
	arrivals []*Arrival
	results  map[string]storedResult // by handle
}

// storedResult is a result of a batch, and the upstream that made it.
type storedResult struct {
	up *Upstream
	it Item
}

// Result returns the piece that a result was computed for; false for an unknown handle.
func (lo *Log) Result(handle string) (Item, bool) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	re, ok := lo.results[handle]
	return re.it, ok
}

func (lo *Log) storeResult(handle string, re storedResult) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	if lo.results == nil {
		lo.results = make(map[string]storedResult)
	}
	lo.results[handle] = re
}

// lost reports whether the upstream that made a result no longer holds it.
func (lo *Log) lost(handle string) bool {
	lo.mu.Lock()
	up := lo.results[handle].up
	lo.mu.Unlock()
	if up == nil {
		return true
	}
	up.mu.Lock()
	defer up.mu.Unlock()
	return !up.results[handle]
}

// All returns the arrivals so far.
func (lo *Log) All() []Arrival {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	list := make([]Arrival, len(lo.arrivals))
	for i, ar := range lo.arrivals {
		list[i] = *ar
	}
	return list
}

// Of returns the arrivals of a request.
func (lo *Log) Of(id string) (list []Arrival) {
	for _, ar := range lo.All() {
		if ar.ID == id {
			list = append(list, ar)
		}
	}
	return list
}

// NewUpstream starts an upstream without a row in the store. The caller closes it.
func NewUpstream(clk citronstream.Clock, lo *Log, id, service string) *Upstream {
	up := &Upstream{ID: id, Service: service, clk: clk, log: lo, startedMs: clk.Now().UnixMilli(), results: make(map[string]bool)}
	up.Server = httptest.NewUnstartedServer(up)
	up.Config.ConnContext = withConn
	up.Start()
	up.address = strings.TrimPrefix(up.URL, "http://")
	return up
}

// conn is a connection of a caller.
type conn struct {
	net.Conn
	refused int // status of the last refusal; 0 if there was none
	header  http.Header
}

// connKey is the key of the conn in the context of a request.
type connKey struct{}

// withConn adds the conn to the context of a connection's requests.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, &conn{Conn: nc})
}

// Address returns the host and port.
func (up *Upstream) Address() string {
	if up.Public != "" {
		return up.Public
	}
	return up.address
}

// StartedMs returns the start of its process, as in its row.
func (up *Upstream) StartedMs() int64 {
	up.mu.Lock()
	defer up.mu.Unlock()
	return up.startedMs
}

// Row returns the value of the upstream's row in the store.
func (up *Upstream) Row(state string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":4,"state":%q,"sequence":%d,"born":%d,"cold-remaining-ms":%d}`,
		up.Service, up.Address(), cmp.Or(up.Zone, "z"), state, up.sequence.Add(1), up.StartedMs(), up.Cold.Load())
}

// Held returns the number of results that the upstream holds.
func (up *Upstream) Held() int {
	up.mu.Lock()
	defer up.mu.Unlock()
	return len(up.results)
}

// ServeHTTP implements http.Handler.
func (up *Upstream) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	var body []byte
	if !up.Early.Load() {
		var err error
		if body, err = io.ReadAll(rq.Body); err != nil {
			return
		}
	}
	ar := &Arrival{
		Upstream: up.ID, ID: rq.Header.Get(HeaderID), Method: rq.Method, Target: rq.RequestURI,
		Header: rq.Header.Clone(), Body: string(body), At: up.clk.Now(), Ended: make(chan struct{}),
	}
	defer close(ar.Ended)
	up.log.mu.Lock()
	up.log.arrivals = append(up.log.arrivals, ar)
	up.log.mu.Unlock()
	if up.Leaving.Load() {
		wr.Header().Set("Server-Leaving", "1")
	}
	co := rq.Context().Value(connKey{}).(*conn)
	up.copyRefusal(co)
	if want := rq.Header.Get(HeaderMember); want != "" && want != up.ID {
		co.refuse(wr, ar, http.StatusMisdirectedRequest, "")
		return
	}
	if up.Refuse.Load() {
		retryAfter, _ := up.RetryAfter.Load().(string)
		co.refuse(wr, ar, http.StatusServiceUnavailable, retryAfter)
		return
	}
	switch rq.URL.Path {
	case PathBatch:
		up.batch(wr, rq, body)
	case pathReport:
		_, _ = fmt.Fprintf(wr, `{"waiting-requests":0,"busy":%d,"free-mb":%d}`, up.batches.Load(), (1e6-up.Taken.Load())/1e6) // fails only if the caller disconnected
	case pathRelease:
		up.releaseResults(body)
	default:
		up.run(wr, rq, ar)
	}
}

// refuse answers that a request did not run. The status of a misdirected request says
// so by itself.
func (co *conn) refuse(wr http.ResponseWriter, ar *Arrival, status int, retryAfter string) {
	header := wr.Header()
	header.Set("Keep-Alive", "timeout=60") // the server itself has no idle timeout
	if ar.ID != "" {
		header.Set(HeaderID, ar.ID)
	}
	if status != http.StatusMisdirectedRequest {
		header.Set(headerRefused, "1")
	}
	if status == http.StatusServiceUnavailable && retryAfter != "" {
		header.Set("Retry-After", retryAfter)
	}
	co.refused, co.header = status, header.Clone()
	wr.WriteHeader(status)
}

// copyRefusal writes copies of the last refusal on a connection.
func (up *Upstream) copyRefusal(co *conn) {
	for range up.Copies.Load() {
		if co.refused == 0 {
			return
		}
		header := co.header.Clone()
		header.Set("Content-Length", "0")
		if up.Nameless.Load() {
			header.Del(HeaderID)
		}
		_, _ = fmt.Fprintf(co, "HTTP/1.1 %d %s\r\n", co.refused, http.StatusText(co.refused)) // fails only if the caller disconnected
		_ = header.Write(co)
		_, _ = io.WriteString(co, "\r\n")
	}
}

// run executes a request.
func (up *Upstream) run(wr http.ResponseWriter, rq *http.Request, ar *Arrival) {
	if up.Gone.Load() && rq.Header.Get(HeaderInputs) != "" {
		rq.Context().Value(connKey{}).(*conn).refuse(wr, ar, http.StatusConflict, "")
		return
	}
	up.log.mu.Lock()
	ar.Ran = true
	up.log.mu.Unlock()
	switch {
	case up.Hang.Load():
		<-rq.Context().Done()
		return
	case up.Reset.Load():
		panic(http.ErrAbortHandler)
	case up.Unmarked.Load():
		wr.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	header := wr.Header()
	header.Set(HeaderID, ar.ID)
	if !up.Unsigned.Load() {
		header.Set(HeaderSignature, up.ID+".sig")
	}
	if part, _ := up.CrashPart.Load().(string); part != "" && strings.Contains(rq.Header.Get(HeaderPrompt), part+":") {
		up.crashWithin(wr, rq)
	}
	if answer := up.Answer.Load(); answer != nil {
		(*answer)(wr, rq)
		return
	}
	if strings.Contains(rq.URL.Path, "/stream") {
		up.stream(wr, rq)
		return
	}
	up.batches.Add(1)
	defer up.batches.Add(-1)
	select {
	case <-up.clk.After(time.Duration(up.Work.Load())):
	case <-rq.Context().Done():
		return
	}
	if status := up.Status.Load(); status != 0 {
		wr.WriteHeader(int(status))
	}
	_, _ = io.WriteString(wr, "answer to "+ar.ID) // fails only if the caller disconnected
}

// stream sends the events after Last-Event-Id.
func (up *Upstream) stream(wr http.ResponseWriter, rq *http.Request) {
	wr.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(rq.Header.Get(HeaderLastEvent))
	count := int(up.Events.Load())
	if count == 0 {
		count = 5
	}
	for id := first + 1; id <= count; id++ {
		if cut := int(up.CutAfter.Load()); cut > 0 && id > cut {
			_, _ = fmt.Fprintf(wr, "id: %d\nda", id)
			wr.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		if drip := int(up.Drip.Load()); drip > 0 && id > drip {
			up.drip(wr, rq, id-1)
			return
		}
		if _, err := fmt.Fprintf(wr, "id: %d\ndata: token %d\n\n", id, id); err != nil {
			return
		}
		wr.(http.Flusher).Flush()
		select {
		case <-up.clk.After(time.Duration(up.Gap.Load())):
		case <-rq.Context().Done():
			return
		}
	}
}

// dripInterval is the pause between the bytes of a stalled stream.
const dripInterval = 50 * time.Millisecond

// drip sends bytes that bring a stream no further until the caller disconnects.
func (up *Upstream) drip(wr http.ResponseWriter, rq *http.Request, last int) {
	for {
		for _, text := range []string{": comment\n\n", "\n", fmt.Sprintf("id: %d\ndata: token %d\n\n", last, last), "d"} {
			if _, err := io.WriteString(wr, text); err != nil {
				return
			}
			wr.(http.Flusher).Flush()
			select {
			case <-up.clk.After(dripInterval):
			case <-rq.Context().Done():
				return
			}
		}
	}
}

// batch computes a result for each item whose inputs are available.
func (up *Upstream) batch(wr http.ResponseWriter, rq *http.Request, body []byte) {
	var batch struct {
		Items []Item `json:"items"`
	}
	if json.Unmarshal(body, &batch) != nil {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	if up.Reset.Load() {
		panic(http.ErrAbortHandler)
	}
	lost := make([]bool, len(batch.Items))
	for i, it := range batch.Items {
		lost[i] = up.Gone.Load() && len(it.Inputs) > 0 || up.log.Fetch.Load() && slices.ContainsFunc(it.Inputs, up.log.lost)
	}
	for i, it := range batch.Items {
		if up.Pause != nil && !lost[i] {
			up.Pause(rq.Context(), it)
		}
	}
	select {
	case <-up.clk.After(time.Duration(up.Work.Load())):
	case <-rq.Context().Done():
	}
	items := make([]map[string]string, len(batch.Items))
	for i, it := range batch.Items {
		if lost[i] {
			items[i] = map[string]string{"reason": "gone"}
			continue
		}
		handle := fmt.Sprintf("%s/%x", up.Address(), up.resultCount.Add(1))
		up.log.storeResult(handle, storedResult{up: up, it: it})
		up.mu.Lock()
		if !up.crashed {
			up.results[handle] = true
		}
		up.mu.Unlock()
		items[i] = map[string]string{"handle": handle}
	}
	wr.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wr).Encode(map[string]any{"items": items}) // fails only if the caller disconnected
}

func (up *Upstream) releaseResults(body []byte) {
	var list struct {
		Handles []string `json:"handles"`
	}
	if json.Unmarshal(body, &list) != nil {
		return
	}
	up.mu.Lock()
	defer up.mu.Unlock()
	for _, handle := range list.Handles {
		delete(up.results, handle)
	}
}
