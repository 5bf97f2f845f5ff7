package citronstream

import "time"

// Routing is the accepted configuration of a site: which requests are served,
// by which services, and for whom. It is immutable once it is in force.
type Routing struct {
	Version  uint64
	Routes   []Route
	Services map[string]ServiceSpec
	// Keys maps an API key to its workspace. It is nil when the site has no workspaces.
	Keys   map[string]KeyHolder
	Limits CallerLimits
}

// KeyHolder is the workspace that an API key belongs to.
type KeyHolder struct {
	Workspace string
	// Rank replaces the route's rank; negative when the workspace has none of its own.
	Rank int
	// Regions are those in which requests of the workspace may run and their bodies may be
	// sent; empty means all.
	Regions []string
}

// Repeat says whether the work of a request may be repeated.
type Repeat uint8

// The kinds of Repeat.
const (
	RepeatNever  Repeat = iota // at most once for each attempt of the caller
	RepeatAlways               // idempotent
	RepeatResume               // a stream that may continue at another upstream after its last event
)

// Idempotent reports whether the work may be done more than once.
func (re Repeat) Idempotent() bool { return re != RepeatNever }

// Route says how requests for a host and a path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Repeat Repeat
	Stream bool // the answer is a stream of events
	Rank   int  // priority class, 0 is the most urgent
	// Timeout is the longest time to the final answer. An answer (of a stream:
	// the first event) has its full value within Target.
	Timeout time.Duration
	Target  time.Duration
	// MaxGap is the longest pause between two events of a stream that counts as on time.
	MaxGap time.Duration
	// Attempts is the maximum number of upstreams to which one attempt of a caller is sent.
	Attempts  int
	Split     []Share
	Stages    []RouteStage
	Anonymous bool // no API key is required
	// Regions are those in which its requests may run and their bodies may be sent; empty
	// means all.
	Regions []string
}

// Share is the part of a route's requests that a service gets.
type Share struct {
	Service string
	Weight  float64
}

// RouteStage is work that is done before a request runs. Its number is its index
// in Route.Stages.
type RouteStage struct {
	Service string
	After   []int // stages whose results it uses
	Bytes   int   // approximate size of a result
}

// ServiceSpec describes the upstreams of a service.
type ServiceSpec struct {
	Name           string
	MaxConnections int        // of one upstream, from all callers together
	Batch          *BatchSpec // nil unless stages use the service
	Engine         bool       // the upstreams are model engines
	// An upstream is cold for ColdStart after its start. While it is, it can take ColdRate
	// requests a second; 0 means any number.
	ColdStart time.Duration
	ColdRate  float64
}

// BatchSpec describes one upstream of a service that works on batches.
type BatchSpec struct {
	Calls       int           // concurrent batches
	Items       int           // items in a batch
	CallTime    time.Duration // fixed time of a batch, without its items
	ItemTime    time.Duration // time added by each item, approximately
	ResultBytes int           // memory for results
	ResultLife  time.Duration // how long a result is kept unless it is released
	LinkRate    float64       // of the upstream's network link, in Mbit/s; 0 when it is not known
}

// CallerLimits bounds what callers may send and how long they may take.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Member is an upstream in the platform's list.
type Member struct {
	ID       string
	Service  string
	Address  string // host:port
	Zone     string
	Slots    int
	Draining bool
	// Cold is how much longer the upstream stays cold, when it wrote its row.
	Cold time.Duration
	// StartedMs is the start of the process, in milliseconds since 1970. It tells
	// a restarted process, which has lost its state, from the one before.
	StartedMs int64
	// Sequence grows with each row that the process writes.
	Sequence float64
	// Revision is the version of the row that described it.
	Revision uint64
}

// PromptPart is a part of a prompt. Requests with equal IDs share the part.
type PromptPart struct {
	ID     uint64 // digest of the part's name
	Tokens int
}
