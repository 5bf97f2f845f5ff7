package citronstream

import "time"

// Methods of the messages between entries and agents.
const (
	MethodHello        = "Peer.Hello"
	MethodLoad         = "Peer.Load"  // agent to entry, notification, Load
	MethodDrain        = "Peer.Drain" // agent to entry, notification, Load with Leaving
	MethodStart        = "Call.Start"
	MethodChunk        = "Call.Chunk"     // agent to entry, notification, Chunk
	MethodCancel       = "Call.Cancel"    // answered by CancelReply
	MethodQuery        = "Call.Query"     // answered by Result, as Call.Start
	MethodConfig       = "Config.Get"     // both ways, answered by a document
	MethodVersion      = "Config.Version" // both ways, notification, VersionNotice
	MethodSlotUnowned  = "Once.Poke"      // entry to agent, notification: a slot has no owner
	MethodPoison       = "Poison.Report"  // both ways; answered by an entry, a notification to an agent
	MethodCache        = "Peer.Cache"     // agent to entry, notification, changes of an engine's prefix cache
	MethodFlushed      = "Once.Flushed"   // agent to entry, notification, Flushed
	MethodResolveCalls = "Once.Settle"    // agent to entry
	MethodAdminStatus  = "Admin.Status"
	MethodTimeline     = "Admin.Timeline"
	MethodAdminDrain   = "Admin.Drain"
)

// Hello opens a link in both directions.
type Hello struct {
	Name    string    `json:"Name"`
	Role    string    `json:"Role"` // entry, agent or operator
	Zone    string    `json:"Zone,omitempty"`
	Epoch   uint64    `json:"Epoch,omitempty"`
	Started time.Time `json:"Started,omitzero"`
	// Boot names this run of the process. A process that was replaced under
	// the same name has another one and knows nothing of earlier attempts.
	Boot    string `json:"Boot,omitempty"`
	Token   string `json:"Token,omitempty"` // shared secret of the peers
	Version uint64 `json:"Version"`
	Load    *Load  `json:"Load,omitempty"` // from an agent
	Clock   uint64 `json:"Clock,omitempty"`
}

// Query asks an agent about an attempt that was in flight on a lost link. The
// agent attaches the attempt to the new link and answers with its Result.
// An attempt that the agent does not know is proved not to have run, and its
// identifier is refused from then on.
type Query struct {
	AttemptID string        `json:"AttemptID"`
	Have      int           `json:"Have"` // bytes of streamed output already received
	NextSeq   int           `json:"NextSeq"`
	Left      time.Duration `json:"Left"`
}

// Cancel withdraws an attempt.
type Cancel struct {
	AttemptID string `json:"AttemptID"`
}

// CancelReply says what the cancelled attempt had come to.
type CancelReply struct {
	Verdict Verdict `json:"Verdict"`
}

// ConfigRequest asks for an accepted configuration of at least this version.
type ConfigRequest struct {
	Version uint64 `json:"Version"`
	// Holds is the version that the asking process holds. The answer may then
	// be a difference against it. 0 asks for the whole document.
	Holds uint64 `json:"Holds,omitempty"`
}

// VersionNotice names the highest configuration version that the sender holds.
type VersionNotice struct {
	Version uint64 `json:"Version"`
}

// ResolveRequest asks an entry to write what it keeps for a dead agent's epoch.
type ResolveRequest struct {
	Upstream string `json:"Upstream"`
	Epoch    uint64 `json:"Epoch"`
}

// ResolveReply confirms. Started is the entry's start time.
type ResolveReply struct {
	Started time.Time `json:"Started"`
}
