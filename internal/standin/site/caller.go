package site

import (
	"fmt"
	"net/http"
)

// Headers of requests and responses in the platform's protocol.
const (
	HeaderID        = "X-Citronstream-Request-Id"
	HeaderKey       = "Authorization"
	HeaderLeft      = "X-Citronstream-Deadline-Remaining"
	HeaderWorkspace = "X-Citronstream-Tenant"
	HeaderMember    = "X-Citronstream-Expected-Instance"
	HeaderHold      = "X-Citronstream-Hold"
	HeaderPieces    = "X-Citronstream-Pieces"
	HeaderPieceKey  = "X-Citronstream-Piece-Key"
	HeaderTokens    = "X-Citronstream-Token-Usage"
	HeaderPrompt    = "X-Citronstream-Prompt-Prefix"
	HeaderInputs    = "X-Citronstream-Inputs"
	HeaderSignature = "X-Citronstream-Response-Signature"
	headerRefused   = "X-Citronstream-Not-Executed"
	HeaderLastEvent = "Last-Event-Id"
)

// Paths of an upstream: run a batch, release results, report its load.
const (
	PathBatch   = "/stage-run"
	pathRelease = "/stage-free"
	pathReport  = "/report"
)

// OtherKey is an Authorization value whose key is in no configuration.
const OtherKey = "Token other"

// CallerHeader returns the headers of a caller's request with a known key.
func CallerHeader(id string) http.Header {
	header := http.Header{}
	header.Set(HeaderID, id)
	header.Set(HeaderKey, "Token key")
	header.Set(HeaderLeft, "6000")
	return header
}

// States of an upstream's row.
const (
	Ready    = "ready"
	Draining = "draining"
)

// List writes an upstream's row.
func (st *Store) List(up *Upstream, state string) { st.Put("servers", up.ID, up.Row(state)) }

// Unlist removes an upstream's row.
func (st *Store) Unlist(up *Upstream) { st.Remove("servers", up.ID) }

// Unconfigure removes the configuration, as if the operator had not written one yet.
func (st *Store) Unconfigure() { st.Remove("op", "config") }

// Configure writes a configuration with the routes of the tests. More routes
// are JSON text that starts with a comma. Paths under /stream/ are streamed.
func (st *Store) Configure(version int, more string) {
	st.Put("op", "config", fmt.Sprintf(configuration, version, more, 16384, 100000))
}

// ConfigureLimits writes the same configuration with other limits on the bytes of heads
// and bodies.
func (st *Store) ConfigureLimits(version, headerBytes, bodyBytes int) {
	st.Put("op", "config", fmt.Sprintf(configuration, version, "", headerBytes, bodyBytes))
}

const configuration = `{"version":%d,"routes":[
{"name":"order","host":"h","prefix":"/order/","kind":"unsafe","timeout-ms":3000,"target-latency-ms":100,"service":"desk","max-attempts":2},
{"name":"look","host":"h","prefix":"/look/","kind":"safe","timeout-ms":3000,"target-latency-ms":300,"service":"desk","max-attempts":2},
{"name":"short","host":"h","prefix":"/short/","kind":"unsafe","timeout-ms":200,"target-latency-ms":100,"service":"desk","max-attempts":1},
{"name":"draft","host":"h","prefix":"/draft/stream/","kind":"streaming","timeout-ms":8000,"target-latency-ms":4000,"service":"pool","max-attempts":2,"resume-streams":true,"gap-target-ms":500},
{"name":"once","host":"h","prefix":"/once/stream/","kind":"streaming","timeout-ms":8000,"target-latency-ms":4000,"service":"pool","max-attempts":2,"gap-target-ms":500},
{"name":"staged","host":"h","prefix":"/staged/stream/","kind":"streaming","timeout-ms":8000,"target-latency-ms":6000,"service":"pool","max-attempts":2,"resume-streams":true,"gap-target-ms":500,
 "stages":[{"service":"cut","after":[],"bytes":100},{"service":"glue","after":[0],"bytes":100}]},
{"name":"open","host":"h","prefix":"/open/","kind":"safe","timeout-ms":3000,"service":"desk","max-attempts":1,"allow-anonymous":true}%s],
"services":[{"name":"desk","max-connections":50},{"name":"pool","max-connections":50,"engine":{"slots":4,"kv-cache-tokens":1000}},
{"name":"cut","pieces":{"slots":1,"queue":2,"batch":8,"call-ms":20,"item-ms":1,"headroom-mb":1,"handle-s":4,"link-mbps":10000}},
{"name":"glue","pieces":{"slots":1,"queue":2,"batch":8,"call-ms":300,"item-ms":1,"headroom-mb":1,"handle-s":4,"link-mbps":10000}},
{"name":"trim","pieces":{"slots":1,"queue":2,"batch":8,"call-ms":20,"item-ms":1,"headroom-mb":1,"handle-s":4,"link-mbps":10000}}],
"limits":{"max-header-bytes":%d,"max-body-bytes":%d,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"w","api-keys":["key"]}]}`
