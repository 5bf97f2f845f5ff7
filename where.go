package citronstream

import "time"

// WhereQuery asks a gateway where a request, or a job of a stage, would go now.
type WhereQuery struct {
	Host string `json:"Host,omitempty"`
	Path string `json:"Path,omitempty"`
	// Key is the API key of the caller; Workspace stands for any of its keys.
	Key       string `json:"Key,omitempty"`
	Workspace string `json:"Workspace,omitempty"`
	// Service is the one that runs the request, where the route splits its requests among
	// several; the default is that with the greatest weight.
	Service string      `json:"Service,omitempty"`
	Tokens  int         `json:"Tokens,omitempty"` // of the prompt; the default is the sum of its parts
	Prompt  []WherePart `json:"Prompt,omitempty"`
	// Pieces has the number of results of each stage; the default is one for each stage.
	Pieces []int `json:"Pieces,omitempty"`
	// LeftMs is the time to the caller's deadline; 0 means that of the route.
	LeftMs float64 `json:"LeftMs,omitempty"`
	// Job asks for a job of a stage instead.
	Job *WhereJob `json:"Job,omitempty"`
}

// WherePart is a part of a prompt. As in a request, the last one is not shared.
type WherePart struct {
	Name   string `json:"Name"`
	Tokens int    `json:"Tokens"`
}

// WhereJob is a job of a stage.
type WhereJob struct {
	Service string  `json:"Service"`
	Rank    int     `json:"Rank,omitempty"`
	SlackMs float64 `json:"SlackMs,omitempty"` // time within which it must start
	// Admitted says that its request was admitted: what more urgent routes bring is not
	// kept free then.
	Admitted bool `json:"Admitted,omitempty"`
	// Regions are those to which its request is restricted; empty means all.
	Regions []string `json:"Regions,omitempty"`
}

// Where says where a request or a job would go, and why.
type Where struct {
	Gateway   string `json:"Gateway"`
	Route     string `json:"Route,omitempty"`
	Workspace string `json:"Workspace,omitempty"`
	Rank      int    `json:"Rank"`
	RouteRank int    `json:"RouteRank"`
	// Raised says that the route is hardly served and its requests count as urgent.
	Raised bool `json:"Raised,omitempty"`
	// Regions are those to which the request is restricted, empty for none.
	Regions string `json:"Regions,omitempty"`
	// Service runs the request; Split has the weights of all services of the route.
	Service   string             `json:"Service,omitempty"`
	Split     map[string]float64 `json:"Split,omitempty"`
	Admission *WhereAdmission    `json:"Admission,omitempty"`
	Queues    []WhereQueue       `json:"Queues"`
	// Chosen is the upstream that the request would get if its stages were done, empty if
	// it would get none; NoChoice says why.
	Chosen   string `json:"Chosen,omitempty"`
	NoChoice string `json:"NoChoice,omitempty"`
	// Home is the engine that would get the shared prompt parts; HomeKnown says that it is
	// known to have them.
	Home       string           `json:"Home,omitempty"`
	HomeKnown  bool             `json:"HomeKnown,omitempty"`
	Candidates []WhereCandidate `json:"Candidates"`
	Excluded   []WhereExcluded  `json:"Excluded"`
}

// WhereAdmission is the decision whether the request is admitted. Times are in ms.
type WhereAdmission struct {
	Admit  bool   `json:"Admit"`
	Reason string `json:"Reason"`
	// RetryAfterMs is the middle of the range from which the time is drawn.
	RetryAfterMs float64 `json:"RetryAfterMs,omitempty"`
	NeedsMs      float64 `json:"NeedsMs"`           // to the first event, with the waits in queues
	RestMs       float64 `json:"RestMs"`            // from there to the end of the response
	WaitMs       float64 `json:"WaitMs"`            // the longest in a queue
	WaitFor      string  `json:"WaitFor,omitempty"` // its service
	TargetMs     float64 `json:"TargetMs"`          // time to the target
	LeftMs       float64 `json:"LeftMs"`            // time to the deadline
	ReadMs       float64 `json:"ReadMs,omitempty"`  // to read the prompt on an idle engine
	Suspect      string  `json:"Suspect,omitempty"` // prompt part for which it is refused
}

// WhereQueue is the queue of a stage as the gateway knows it. Times are in ms.
type WhereQueue struct {
	Stage   int     `json:"Stage"`
	Service string  `json:"Service"`
	Owner   string  `json:"Owner"`   // address of the gateway that owns it
	Own     bool    `json:"Own"`     // it is the one that answers
	Pieces  int     `json:"Pieces"`  // of the request
	WaitMs  float64 `json:"WaitMs"`  // until the job would start
	Known   bool    `json:"Known"`   // the owner has told its load lately
	AgeMs   float64 `json:"AgeMs"`   // of the load
	Waiting int     `json:"Waiting"` // pieces, late ones included
	Late    int     `json:"Late"`
	Rate    float64 `json:"Rate"` // pieces a second
	// PausedMs is the time until the first upstream takes work again, if all are in a pause.
	PausedMs float64 `json:"PausedMs,omitempty"`
}

// WhereCandidate is an upstream that could get the request. Candidates with a lower cost
// come first.
type WhereCandidate struct {
	Upstream string      `json:"Upstream"`
	Zone     string      `json:"Zone"`
	Cost     float64     `json:"Cost"`
	Terms    []WhereTerm `json:"Terms"`
	// Figures are what the terms follow from.
	Figures []WhereFigure `json:"Figures"`
}

// WhereTerm is a part of a cost.
type WhereTerm struct {
	Name string  `json:"Name"`
	Cost float64 `json:"Cost"`
}

// WhereFigure is a figure with its source: the gateway's own requests, or a peer.
type WhereFigure struct {
	Name   string  `json:"Name"`
	Value  float64 `json:"Value"`
	Source string  `json:"Source"`
	AgeMs  float64 `json:"AgeMs"`
}

// WhereExcluded is an upstream of the service that can't get the request.
type WhereExcluded struct {
	Upstream string `json:"Upstream"`
	Zone     string `json:"Zone"`
	Reason   string `json:"Reason"`
}

// Milliseconds converts a time for WhereQuery and Where.
func Milliseconds(du time.Duration) float64 { return float64(du.Microseconds()) / 1e3 }
