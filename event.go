package citronstream

// Event is one record of the timeline.
type Event struct {
	// At is a hybrid logical clock: 48 bits of milliseconds since 1970, then a 16-bit counter.
	At        uint64  `json:"At"`
	Process   string  `json:"Process"`
	Kind      string  `json:"Kind"`
	RequestID string  `json:"RequestID,omitempty"`
	AttemptID string  `json:"AttemptID,omitempty"`
	Upstream  string  `json:"Upstream,omitempty"`
	Verdict   string  `json:"Verdict,omitempty"`
	Cost      float64 `json:"Cost,omitempty"`
	Detail    string  `json:"Detail,omitempty"`
}

// Recorder records events. Record never blocks.
type Recorder interface {
	Record(ev Event)
	// Now returns the hybrid logical clock for an outgoing message.
	Now() uint64
	// Observe advances the clock past that of an incoming message.
	Observe(at uint64)
}
