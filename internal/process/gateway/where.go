package gateway

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/ingress/flow"
)

// maxWhereBytes bounds the body of a query. A request with 1,000 prompt parts has 50 kB.
const maxWhereBytes = 64 << 10

// operators returns the handler of the metrics address: the metrics, and POST /where.
func (ga *Gateway) operators() http.Handler {
	mux := http.NewServeMux()
	// One query at a time, as its work competes with that for callers.
	one := make(chan struct{}, 1)
	mux.HandleFunc("POST /where", func(wr http.ResponseWriter, rq *http.Request) {
		select {
		case one <- struct{}{}:
			defer func() { <-one }()
			ga.serveWhere(wr, rq)
		default:
			writeJSON(wr, http.StatusTooManyRequests, whereFailure{"another query is being answered"})
		}
	})
	mux.HandleFunc("/where", func(wr http.ResponseWriter, _ *http.Request) {
		wr.Header().Set("Allow", http.MethodPost)
		writeJSON(wr, http.StatusMethodNotAllowed, whereFailure{"a query is sent by POST"})
	})
	mux.Handle("/", ga.metrics())
	return mux
}

// whereFailure is the body of an answer without a result.
type whereFailure struct {
	Error string `json:"Error"`
}

// serveWhere answers a WhereQuery. It contacts no upstream and changes no state.
func (ga *Gateway) serveWhere(wr http.ResponseWriter, rq *http.Request) {
	var qu citronstream.WhereQuery
	decoder := json.NewDecoder(http.MaxBytesReader(wr, rq.Body, maxWhereBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&qu); err != nil {
		writeJSON(wr, http.StatusBadRequest, whereFailure{"malformed query: " + err.Error()})
		return
	}
	if !ga.Ready() {
		writeJSON(wr, http.StatusServiceUnavailable, whereFailure{"this gateway is not ready"})
		return
	}
	wh, err := ga.flow.Explain(&qu)
	var failed *flow.WhereError
	if errors.As(err, &failed) {
		writeJSON(wr, failed.Status, whereFailure{failed.Text})
		return
	}
	wh.Gateway = ga.site.Process
	writeJSON(wr, http.StatusOK, wh)
}

func writeJSON(wr http.ResponseWriter, status int, body any) {
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	_ = json.NewEncoder(wr).Encode(body) // the operator has left
}
