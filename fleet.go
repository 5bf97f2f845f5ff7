package citronstream

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration that reads and writes JSON as text such as "250ms".
type Duration time.Duration

// MarshalJSON implements json.Marshaler.
func (du Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(du).String()) }

// UnmarshalJSON implements json.Unmarshaler.
func (du *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("a duration is text such as \"250ms\", got %s", data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("a duration is text such as \"250ms\", got %q", text)
	}
	*du = Duration(parsed)
	return nil
}

// Std returns the value as a time.Duration.
func (du Duration) Std() time.Duration { return time.Duration(du) }

// Fleet is the accepted configuration: the inventory and the rules.
// The table service assigns Version when the configuration is accepted.
type Fleet struct {
	Version    uint64      `json:"Version,omitempty"`
	Site       string      `json:"Site"`
	Owners     []Owner     `json:"Owners"`
	Regions    []Region    `json:"Regions"`
	Ranks      []Rank      `json:"Ranks"` // most urgent first
	Workspaces []Workspace `json:"Workspaces"`
	Models     []Model     `json:"Models"`
	Services   []Service   `json:"Services"`
	Instances  []Instance  `json:"Instances"`
	Upstreams  []Upstream  `json:"Upstreams"`
	Entries    []Entry     `json:"Entries"`
	Pipelines  []Pipeline  `json:"Pipelines"`
	Limits     Limits      `json:"Limits"`
}

// Owner is a company that pays a share of the costs.
type Owner struct {
	Name string `json:"Name"`
}

// Region is a set of zones that are near each other.
type Region struct {
	Name  string `json:"Name"`
	Zones []Zone `json:"Zones"`
}

// Zone is an availability zone.
type Zone struct {
	Name string `json:"Name"`
	// Distance is the one-way delay to another zone of the same region.
	Distance Duration `json:"Distance"`
}

// Rank is a priority class.
type Rank struct {
	Name     string   `json:"Name"`
	Deadline Duration `json:"Deadline"`
	// Worth is the value of a request of this rank that meets its deadline.
	Worth float64 `json:"Worth"`
	// Floor is the share of an upstream's service, 0 to 1, that this rank gets under any overload.
	Floor float64 `json:"Floor"`
}

// Workspace is a customer with an access token and a fair share.
type Workspace struct {
	Name  string `json:"Name"`
	Owner string `json:"Owner"`
	// Weight sets the share inside a rank. It is greater than 0.
	Weight float64 `json:"Weight"`
	// TokenSHA256 is the hex SHA-256 digest of the caller's access token.
	TokenSHA256 string `json:"TokenSHA256,omitempty"`
	// Ranks lists the ranks that the workspace may use; empty means all.
	Ranks []string `json:"Ranks,omitempty"`
	// MaxConcurrent bounds the workspace's requests in flight at one entry; 0 means Limits.MaxConcurrent.
	MaxConcurrent int `json:"MaxConcurrent,omitempty"`
}

// Model is a model that engines can load.
type Model struct {
	Name     string   `json:"Name"`
	Version  string   `json:"Version"`
	Bytes    int64    `json:"Bytes"`
	Adapters []string `json:"Adapters,omitempty"`
	// Replicas is the number of engines that hold the model; 0 means all.
	Replicas int `json:"Replicas,omitempty"`
}

// Kinds of a Service.
const (
	KindEngine    = "engine"
	KindEncoder   = "encoder"
	KindRetriever = "retriever"
	KindReranker  = "reranker"
	KindPlain     = "plain"
)

// Service is a set of upstreams that serve the same calls.
type Service struct {
	Name string `json:"Name"`
	Kind string `json:"Kind"`
	// Protocol names a registered upstream protocol.
	Protocol string `json:"Protocol"`
	Owner    string `json:"Owner"`
	// Policy names a registered routing policy; empty means the default.
	Policy string `json:"Policy,omitempty"`
	// ReportsLoad means that the upstreams report their own load.
	ReportsLoad bool `json:"ReportsLoad,omitempty"`
	// ChecksFencing means that the engines reject an order with an old fencing token.
	ChecksFencing bool          `json:"ChecksFencing,omitempty"`
	Calls         []ServiceCall `json:"Calls"`
}

// ServiceCall is one operation of a Service.
type ServiceCall struct {
	Name       string `json:"Name"`
	Path       string `json:"Path"`
	Idempotent bool   `json:"Idempotent,omitempty"`
	// Rank is the rank of calls that do not set one.
	Rank string `json:"Rank,omitempty"`
	// Cost is the cost of a call, in cost units.
	Cost float64 `json:"Cost,omitempty"`
	// CostPer1KTokens is added for each 1,000 tokens of prompt and answer. The
	// estimate assumes an answer of max_tokens, the final cost has the tokens generated.
	CostPer1KTokens float64 `json:"CostPer1KTokens,omitempty"`
	// Streams means that the answer is forwarded while it is generated.
	Streams bool `json:"Streams,omitempty"`
}

// Instance is a machine of the platform.
type Instance struct {
	Name    string `json:"Name"`
	Zone    string `json:"Zone"`
	Address string `json:"Address"` // IP address
}

// Upstream is one server process with an agent beside it.
type Upstream struct {
	Name     string `json:"Name"`
	Service  string `json:"Service"`
	Instance string `json:"Instance"`
	// Address is the host:port of the server process.
	Address string `json:"Address"`
	// Agent is the host:port at which the agent listens for entries.
	Agent string `json:"Agent"`
	// Capacity is the number of calls that the upstream runs concurrently.
	Capacity     int      `json:"Capacity"`
	Accelerators int      `json:"Accelerators,omitempty"`
	Models       []string `json:"Models,omitempty"`
}

// Entry is one entry process.
type Entry struct {
	Name     string `json:"Name"`
	Instance string `json:"Instance"`
	// Address is the host:port for callers.
	Address string `json:"Address"`
	// Admin is the host:port for operators.
	Admin string `json:"Admin"`
}

// Pipeline is a sequence of stages behind one name.
type Pipeline struct {
	Name   string  `json:"Name"`
	Rank   string  `json:"Rank"` // rank of requests that do not set one
	Stages []Stage `json:"Stages"`
}

// Stage is one call of a pipeline. After names the earlier stages whose
// results it uses; empty means the stage before it.
type Stage struct {
	Name    string   `json:"Name"`
	Service string   `json:"Service"`
	Call    string   `json:"Call"`
	Model   string   `json:"Model,omitempty"`
	After   []string `json:"After,omitempty"`
}

// Limits bounds what callers can send and what the processes keep.
type Limits struct {
	MaxBodyBytes   int      `json:"MaxBodyBytes"`
	MaxHeaderBytes int      `json:"MaxHeaderBytes"`
	MaxJSONDepth   int      `json:"MaxJSONDepth"`
	MaxConnections int      `json:"MaxConnections"`
	MaxConcurrent  int      `json:"MaxConcurrent"` // requests in flight at one entry
	MaxQueued      int      `json:"MaxQueued"`     // calls waiting at one agent
	MaxAnswerBytes int      `json:"MaxAnswerBytes"`
	IdleTimeout    Duration `json:"IdleTimeout"`
	HeaderTimeout  Duration `json:"HeaderTimeout"`
	// StallTimeout is the time in which a body must bring 1 KB, and 64 KB of an answer must
	// be taken.
	StallTimeout Duration `json:"StallTimeout"`
	// MaxCallerMemory bounds what one entry holds for its callers: connections, headers,
	// bodies and answers, in bytes. The process takes twice as much.
	MaxCallerMemory int `json:"MaxCallerMemory"`
	// MaxOperatorMemory is the same for the operators of one entry or agent.
	MaxOperatorMemory int `json:"MaxOperatorMemory"`
	// MaxPeerConnections bounds the links that an agent accepts.
	MaxPeerConnections int `json:"MaxPeerConnections"`
	// RetryRatio caps extra attempts as a share of requests, 0 to 1.
	RetryRatio float64 `json:"RetryRatio"`
	// RetriesPerRequest caps the extra attempts of one request over all its stages.
	RetriesPerRequest int      `json:"RetriesPerRequest"`
	HoldFor           Duration `json:"HoldFor"`           // how long poison content is quarantined
	CostFlush         Duration `json:"CostFlush"`         // interval of cost records
	GrantFor          Duration `json:"GrantFor"`          // validity of an ownership grant
	GrantRenew        Duration `json:"GrantRenew"`        // renewal interval of a grant
	KeyRetention      Duration `json:"KeyRetention"`      // how long an idempotency key is remembered
	ConfigPoll        Duration `json:"ConfigPoll"`        // interval at which entries read the version row
	WeightBytesPerSec int64    `json:"WeightBytesPerSec"` // rate limit of the weight store
}

// DefaultLimits returns the documented defaults.
func DefaultLimits() Limits {
	return Limits{
		MaxBodyBytes:       1 << 20,
		MaxHeaderBytes:     16 << 10,
		MaxJSONDepth:       32,
		MaxConnections:     20000,
		MaxConcurrent:      10000,
		MaxQueued:          10000,
		MaxAnswerBytes:     4 << 20,
		IdleTimeout:        Duration(2 * time.Minute),
		HeaderTimeout:      Duration(10 * time.Second),
		StallTimeout:       Duration(30 * time.Second),
		MaxCallerMemory:    2 << 30,
		MaxOperatorMemory:  256 << 20,
		MaxPeerConnections: 4096,
		RetryRatio:         0.1,
		RetriesPerRequest:  2,
		HoldFor:            Duration(10 * time.Minute),
		CostFlush:          Duration(30 * time.Second),
		GrantFor:           Duration(90 * time.Minute),
		GrantRenew:         Duration(30 * time.Second),
		KeyRetention:       Duration(24 * time.Hour),
		ConfigPoll:         Duration(2 * time.Second),
		WeightBytesPerSec:  1 << 30,
	}
}
