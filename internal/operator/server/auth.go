package server

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"net/netip"
	"strings"

	"github.com/citronstream/citronstream/internal/config/settings"
	"github.com/citronstream/citronstream/internal/ingress/server"
)

// loopback is the author of changes made without a token.
const loopback = "loopback"

// operator is an operator's name and the digest of the token.
type operator struct {
	name   string
	digest [sha256.Size]byte
}

// decodeOperators skips operators without a valid digest; the check of the
// settings reports them.
func decodeOperators(ops []settings.Operator) []operator {
	var list []operator
	for _, op := range ops {
		raw, err := hex.DecodeString(op.TokenSHA256)
		if err != nil || len(raw) != sha256.Size {
			continue
		}
		list = append(list, operator{name: op.Name, digest: [sha256.Size]byte(raw)})
	}
	return list
}

type handler func(wr http.ResponseWriter, rq *http.Request, operator string)

// requireOperator rejects requests that aren't from an operator, and passes the
// operator's name to the handler.
func (se *Server) requireOperator(next handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		name, ok := se.authenticate(rq)
		if !ok {
			wr.Header().Set("WWW-Authenticate", "Bearer")
			writeProblem(wr, http.StatusUnauthorized, "an operator's token is required")
			return
		}
		if rq.Method == http.MethodPost && !strings.HasPrefix(rq.Header.Get("Content-Type"), "application/json") {
			writeProblem(wr, http.StatusUnsupportedMediaType, "Content-Type: want application/json")
			return
		}
		aw := wr.(*answerWriter)
		if rq.Method == http.MethodPost && !aw.readBody(rq, name) {
			return
		}
		server.Count(rq)
		aw.acquire()
		next(aw, rq, name)
	})
}

// authenticate returns the operator of a request. It compares all digests in
// constant time, so that the time of the answer reveals nothing about them. If
// no operators are set, the request must come from loopback and must not come
// from a web page (no Origin).
func (se *Server) authenticate(rq *http.Request) (string, bool) {
	if len(se.operators) == 0 {
		peer, err := netip.ParseAddrPort(rq.RemoteAddr)
		return loopback, err == nil && peer.Addr().Unmap().IsLoopback() && rq.Header.Get("Origin") == ""
	}
	token, ok := strings.CutPrefix(rq.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return "", false
	}
	sum := sha256.Sum256([]byte(token))
	found := -1
	for i := range se.operators {
		found = subtle.ConstantTimeSelect(subtle.ConstantTimeCompare(sum[:], se.operators[i].digest[:]), i, found)
	}
	if found < 0 {
		return "", false
	}
	return se.operators[found].name, true
}
