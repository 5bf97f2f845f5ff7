package citronstream

import "context"

// Protocol is the client of one kind of upstream. It is a plug-in.
type Protocol interface {
	// Run sends the call to the upstream at address and passes each part of
	// the answer to emit as it arrives; emit may block, which pauses reading
	// from the upstream. Status and Usage of the result are set; Body
	// is left empty. An error carries a Fault whose verdict is NotRun only if
	// no byte of the request was sent, and Ran if the upstream answered with
	// an error status. Cancelling ctx closes the stream.
	Run(ctx context.Context, address string, ca Call, emit func([]byte) error) (Result, error)
}

// EngineOrder tells an engine which models to load and which role to take.
type EngineOrder struct {
	// Models are those that the engine may keep loaded; it unloads all others.
	Models []string `json:"Models"`
	// Load are those of Models to be loaded with these adapters in this
	// version; empty means all.
	Load []string `json:"Load,omitempty"`
	// Keep loads no models, also when Load is empty.
	Keep     bool     `json:"Keep,omitempty"`
	Adapters []string `json:"Adapters,omitempty"`
	Role     string   `json:"Role,omitempty"`
	Version  string   `json:"Version,omitempty"`
	// Token is the fencing token. It grows with the configuration version and the agent's epoch.
	Token uint64 `json:"Token"`
}

// EngineController sends orders to an engine. Errors: a Fault with CodeStale for a
// token that the engine refused.
type EngineController interface {
	Order(ctx context.Context, address string, or EngineOrder) error
}
