package server

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"net/netip"
	"strings"

	"github.com/citronstream/citronstream/internal/config/settings"
)

// loopback is the author of changes made without a token.
const loopback = "loopback"

// operator is an operator with the digest of the token.
type operator struct {
	name   string
	digest [sha256.Size]byte
}

// decode leaves out operators without a valid digest; the checker reports them.
func decode(ops []settings.Operator) []operator {
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

// admit lets operators through and tells the handler who asks.
func (se *Server) admit(next handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		name, ok := se.authenticate(rq)
		if !ok {
			wr.Header().Set("WWW-Authenticate", "Bearer")
			problem(wr, http.StatusUnauthorized, "an operator's token is needed")
			return
		}
		if rq.Method == http.MethodPost && !strings.HasPrefix(rq.Header.Get("Content-Type"), "application/json") {
			problem(wr, http.StatusUnsupportedMediaType, "Content-Type: want application/json")
			return
		}
		next(wr, rq, name)
	})
}

// authenticate finds the operator of a request. Each digest is compared in
// full, so that the time tells nothing about them. Without operators the
// request must come from loopback, and not from a page in a browser there.
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
