package citronstream

import "time"

// CallerRequest is the metadata of a caller's request, besides method, path and body.
type CallerRequest struct {
	ID   string // of one attempt of the caller; a retry has another one
	Key  string // API key, empty when none was sent
	Left time.Duration
	// Unbounded means that the caller set no deadline.
	Unbounded bool

	Model     string
	TokensIn  int
	TokensOut int // at most
	Prompt    []PromptPart
	// Pieces has the number of results of each stage; 0 skips the stage.
	Pieces   []int
	PieceKey string
	// LastEvent is the last event that the caller received of an interrupted stream.
	LastEvent string
}

// Shared returns the prompt parts that other requests may share. The last part
// belongs to this request or its session alone.
func (cr *CallerRequest) Shared() []PromptPart {
	return cr.Prompt[:max(0, len(cr.Prompt)-1)]
}

// ForwardOptions has what the system adds to a request for an upstream.
type ForwardOptions struct {
	Left      time.Duration
	Member    string // ID of the upstream that must answer
	Workspace string
	Inputs    []string // handles of the results of the last stages
	// Priority orders the work of an engine, 0 first; negative leaves it to the engine.
	Priority int
	// LastEvent is the event after which a stream resumes; empty keeps the caller's.
	LastEvent string
}

// AnswerHead is the metadata of an upstream's answer, besides its status.
type AnswerHead struct {
	RequestID string
	// Refused means that the work did not run and will not.
	Refused bool
	Signed  bool // the answer has the upstream's signature
	Encoded bool // the body has a Content-Encoding; upstreams send none of their own
	// IdleTimeout is how long the upstream keeps the connection; 0 when unknown.
	IdleTimeout time.Duration
	Load        ServerLoad
	Leaving     bool // the upstream says that it is about to end
}

// ServerLoad is what an upstream says of its load with an answer. The zero value means
// that it said nothing, or nothing plausible.
type ServerLoad struct {
	Running, Waiting int // requests or batches
	Slots            int // at least 1 if anything was said
	// Pace is how long work takes there now, relative to the usual time; 0 when not said.
	Pace float64
}

// BatchItem is one piece of a stage's work in a batch.
type BatchItem struct {
	RequestID string
	Stage     int
	Piece     int
	Left      time.Duration
	Key       string   // of the request; for stages without inputs
	Inputs    []string // handles of the results that it uses
}

// ItemFault says why an item has no result.
type ItemFault uint8

// The kinds of ItemFault.
const (
	ItemDone      ItemFault = iota
	ItemLate                // its deadline had passed when its turn came
	ItemInputLost           // a result that it uses no longer exists
	ItemNoMemory            // there was no memory for its result
	ItemFailed
)

var itemFaultNames = [...]string{"done", "late", "input-gone", "no-room", "failed"}

// String returns the name used in logs and metrics.
func (fa ItemFault) String() string { return itemFaultNames[fa] }

// ItemResult is the outcome of an item. Handle identifies the result at the
// upstream that made it.
type ItemResult struct {
	Handle string
	Fault  ItemFault
}
