package citronstream

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// NewID returns an identifier for a request, an attempt or an operation.
func NewID() string { return uuid.Must(uuid.NewV7()).String() }

// Digest returns the hash of content that identifies suspect content and serves
// as the checksum of results.
func Digest(content []byte) uint64 { return xxhash.Sum64(content) }

// Call is one attempt at one stage, as an entry sends it to an agent.
type Call struct {
	RequestID  string `json:"RequestID"`
	AttemptID  string `json:"AttemptID"`
	Workspace  string `json:"Workspace"`
	Owner      string `json:"Owner,omitempty"`
	Rank       int    `json:"Rank"` // index in Fleet.Ranks
	Pipeline   string `json:"Pipeline,omitempty"`
	Stage      string `json:"Stage,omitempty"`
	Service    string `json:"Service"`
	Call       string `json:"Call"`
	Path       string `json:"Path"`
	Model      string `json:"Model,omitempty"`
	Idempotent bool   `json:"Idempotent,omitempty"`
	Streams    bool   `json:"Streams,omitempty"`
	// Key is the idempotency key. KeyGiven means that the caller chose it.
	Key      string `json:"Key,omitempty"`
	KeyGiven bool   `json:"KeyGiven,omitempty"`
	// Left is the time to this stage's deadline when the call was sent. It is
	// relative, so that the processes' clocks need not agree.
	Left time.Duration `json:"Left"`
	// RequestAt is when the caller's request reached its entry, by the entry's clock.
	RequestAt time.Time `json:"RequestAt,omitzero"`
	// SentAt is when the entry sent the call, by the entry's clock. An agent does
	// not run a call under its grant if the call is too old.
	SentAt time.Time `json:"SentAt,omitzero"`
	// After is the estimated time of the later stages, already subtracted from Left.
	After time.Duration `json:"After,omitempty"`
	Cost  float64       `json:"Cost"` // estimated cost units
	// CostPerToken is the cost of a token in cost units. Cost includes it for
	// TokensExpected tokens and is corrected once the number of tokens is known.
	CostPerToken   float64 `json:"CostPerToken,omitempty"`
	TokensExpected int     `json:"TokensExpected,omitempty"`
	Digest         uint64  `json:"Digest"`
	// Suspect marks content that was sent to an upstream that died.
	Suspect bool   `json:"Suspect,omitempty"`
	Trace   string `json:"Trace,omitempty"` // traceparent header
	Body    []byte `json:"Body,omitempty"`
	// ResumeFrom is the number of bytes of output that the caller already has.
	ResumeFrom int    `json:"ResumeFrom,omitempty"`
	Prefix     string `json:"Prefix,omitempty"` // output so far, for a resumed generation
	Version    uint64 `json:"Version"`          // highest configuration version seen
	Clock      uint64 `json:"Clock,omitempty"`  // hybrid logical clock
}

// Chunk is a part of a streamed answer. Seq counts from 0.
type Chunk struct {
	AttemptID string `json:"AttemptID"`
	Seq       int    `json:"Seq"`
	Data      []byte `json:"Data"`
}

// Usage is what a call consumed.
type Usage struct {
	TokensIn  int           `json:"TokensIn,omitempty"`
	TokensOut int           `json:"TokensOut,omitempty"`
	Busy      time.Duration `json:"Busy,omitempty"` // time at the upstream
	Cost      float64       `json:"Cost,omitempty"` // corrected cost units
}

// Result ends an attempt. Body is the whole answer, or empty when it was
// streamed; Length and Checksum cover the whole answer in both cases.
type Result struct {
	AttemptID string        `json:"AttemptID"`
	Upstream  string        `json:"Upstream"`
	Status    int           `json:"Status"` // HTTP status of the upstream; 0 when it gave none
	Body      []byte        `json:"Body,omitempty"`
	Length    int           `json:"Length"`
	Checksum  uint64        `json:"Checksum"`
	Chunks    int           `json:"Chunks,omitempty"`
	Usage     Usage         `json:"Usage"`
	Queued    time.Duration `json:"Queued,omitempty"`
	// Replayed marks the answer of an earlier attempt with the same key.
	Replayed bool `json:"Replayed,omitempty"`
	// Unflushed marks a call that ran under the agent's grant and is not in the table yet.
	Unflushed bool `json:"Unflushed,omitempty"`
	// KeyChecked means that the owner of the call's key has looked it up, so that
	// the verdict holds for the key and not only for this attempt.
	KeyChecked bool   `json:"KeyChecked,omitempty"`
	Died       bool   `json:"Died,omitempty"` // the upstream died while it ran the call
	Fault      *Fault `json:"Fault,omitempty"`
	Load       *Load  `json:"Load,omitempty"`
	Version    uint64 `json:"Version"`
	Clock      uint64 `json:"Clock,omitempty"`
}

// Load is an agent's report on its upstream.
type Load struct {
	Upstream string `json:"Upstream"`
	Seq      uint64 `json:"Seq"`
	// Running and Waiting count calls; Cost is the cost units of both.
	Running int     `json:"Running"`
	Waiting int     `json:"Waiting"`
	Cost    float64 `json:"Cost"`
	// Ranks has the queued cost units by rank, most urgent first. Trailing zeros
	// are omitted, which keeps the report of an empty queue short.
	Ranks []float64 `json:"Ranks,omitempty"`
	// Rate is the upstream's recent throughput in cost units a second.
	Rate     float64 `json:"Rate"`
	Capacity int     `json:"Capacity"`
	Leaving  bool    `json:"Leaving,omitempty"`
	Down     bool    `json:"Down,omitempty"`
	// Models lists the models that are loaded, for engines. Nil means that
	// nothing is known, empty that none is loaded.
	Models []string `json:"Models,omitzero"`
	// Slots lists the idempotency slots that the agent owns.
	Slots   []int  `json:"Slots,omitempty"`
	Epoch   uint64 `json:"Epoch,omitempty"`
	Version uint64 `json:"Version"`
}

// CompactRankCosts returns Load.Ranks for queued cost units by rank: rounded to a
// tenth of a unit, without trailing zeros. It changes costs.
func CompactRankCosts(costs []float64) []float64 {
	for rank, cost := range costs {
		costs[rank] = math.Round(cost*10) / 10
	}
	for len(costs) > 0 && costs[len(costs)-1] <= 0 {
		costs = costs[:len(costs)-1]
	}
	return costs
}
