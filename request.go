package citronstream

import "time"

// CallerRequest is what a request says of itself besides method, path and body.
type CallerRequest struct {
	ID   string // one attempt of the caller; a repeat has another one
	Key  string // API key, empty when none was sent
	Left time.Duration
	// Unbounded says that the caller named no time that it will wait.
	Unbounded bool

	Model     string
	TokensIn  int
	TokensOut int // at most
	Prompt    []PromptPart
	// Pieces are the numbers of results that each stage makes; 0 leaves a stage out.
	Pieces   []int
	PieceKey string
	// LastEvent is the last event of a broken stream that the caller has.
	LastEvent string
}

// Shared returns the parts of the prompt that other requests share. The last
// part belongs to the request or its session alone.
func (cr *CallerRequest) Shared() []PromptPart {
	return cr.Prompt[:max(0, len(cr.Prompt)-1)]
}

// ForwardOptions is what the system adds to a request for an upstream.
type ForwardOptions struct {
	Left      time.Duration
	Member    string // the upstream that must be the one to answer
	Workspace string
	Inputs    []string // results of the last stages
	// Priority orders the work of an engine, 0 first; negative leaves it to the engine.
	Priority int
	// LastEvent is the event after which a stream goes on; empty keeps the caller's.
	LastEvent string
}

// AnswerHead is what the head of an upstream's answer says besides its status.
type AnswerHead struct {
	RequestID string
	// Refused says that the work did not run and will not.
	Refused bool
	Signed  bool // the upstream vouches for the answer
	Encoded bool // the body isn't the upstream's own
	// IdleTimeout is how long the upstream keeps the connection; 0 when unknown.
	IdleTimeout time.Duration
}

// BatchItem is one piece of work of a batch.
type BatchItem struct {
	RequestID string
	Stage     int
	Piece     int
	Left      time.Duration
	Key       string   // of the request; for stages that take no results
	Inputs    []string // handles of the results that it takes
}

// ItemFault says why an item has no result.
type ItemFault uint8

// The kinds of ItemFault.
const (
	ItemDone      ItemFault = iota
	ItemLate                // its time had passed at its turn
	ItemInputLost           // a result that it takes is gone
	ItemNoMemory            // there was no memory for its result
	ItemFailed
)

var itemFaultNames = [...]string{"done", "late", "input-gone", "no-room", "failed"}

// String returns the name used in logs and metrics.
func (fa ItemFault) String() string { return itemFaultNames[fa] }

// ItemResult is the outcome of an item. Handle names the result at its maker.
type ItemResult struct {
	Handle string
	Fault  ItemFault
}
