package citronstream

import "time"

// Methods of the messages between entries and agents.
const (
	MethodHello       = "Peer.Hello"
	MethodLoad        = "Peer.Load"  // agent to entry, notification, Load
	MethodDrain       = "Peer.Drain" // agent to entry, notification, Load with Leaving
	MethodStart       = "Call.Start"
	MethodChunk       = "Call.Chunk"     // agent to entry, notification, Chunk
	MethodCancel      = "Call.Cancel"    // answered by CancelReply
	MethodQuery       = "Call.Query"     // answered by Result, as Call.Start
	MethodConfig      = "Config.Get"     // both ways, answered by a document
	MethodVersion     = "Config.Version" // both ways, notification, VersionNotice
	MethodSlotUnowned = "Once.Poke"      // entry to agent, notification: a slot has no owner
	MethodPoison      = "Poison.Report"  // both ways; answered by an entry, a notification to an agent
	MethodCache       = "Peer.Cache"     // agent to entry, notification, changes of an engine's prefix cache
	MethodFlushed     = "Once.Flushed"   // agent to entry, notification, Flushed
	MethodResolve     = "Once.Settle"    // agent to entry
	MethodAdminStatus = "Admin.Status"
	MethodTimeline    = "Admin.Timeline"
	MethodAdminDrain  = "Admin.Drain"
)

// Hello is the first message on a link, in both directions.
type Hello struct {
	Name    string    `json:"Name"`
	Role    string    `json:"Role"` // entry, agent or operator
	Zone    string    `json:"Zone,omitempty"`
	Epoch   uint64    `json:"Epoch,omitempty"`
	Started time.Time `json:"Started,omitzero"`
	// Boot identifies this run of the process. A replacement under the same name
	// has another one and does not know earlier attempts.
	Boot    string `json:"Boot,omitempty"`
	Token   string `json:"Token,omitempty"` // shared secret of the peers
	Version uint64 `json:"Version"`
	Load    *Load  `json:"Load,omitempty"` // from an agent
	Clock   uint64 `json:"Clock,omitempty"`
}

// Query asks an agent about an attempt that was in flight on a lost link. The
// agent attaches the attempt to the new link and answers with its Result.
// An attempt that the agent does not know has not run, and the agent rejects its
// identifier from then on.
type Query struct {
	AttemptID string        `json:"AttemptID"`
	Have      int           `json:"Have"` // bytes of streamed output already received
	NextSeq   int           `json:"NextSeq"`
	Left      time.Duration `json:"Left"`
}

// Cancel cancels an attempt.
type Cancel struct {
	AttemptID string `json:"AttemptID"`
}

// CancelReply has the verdict on the cancelled attempt.
type CancelReply struct {
	Verdict Verdict `json:"Verdict"`
}

// ConfigRequest asks for an accepted configuration of at least this version.
type ConfigRequest struct {
	Version uint64 `json:"Version"`
	// Holds is the version that the sender has. The answer may then be a
	// difference to it. 0 requests the whole document.
	Holds uint64 `json:"Holds,omitempty"`
}

// VersionNotice has the highest configuration version that the sender has.
type VersionNotice struct {
	Version uint64 `json:"Version"`
}

// ResolveRequest asks an entry to write the rows that it keeps for an epoch of a
// dead agent.
type ResolveRequest struct {
	Upstream string `json:"Upstream"`
	Epoch    uint64 `json:"Epoch"`
}

// ResolveReply confirms that the rows are written. Started is the entry's start time.
type ResolveReply struct {
	Started time.Time `json:"Started"`
}
