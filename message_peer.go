package citronstream

import "time"

// Methods of the messages between the entries of a site.
const (
	MethodHandshake      = "Site.Meet"     // answered by PeerInfo
	MethodState          = "Site.State"    // answered by Rows: all that the peer knows
	MethodRows           = "Site.Rows"     // notification, Rows: upstreams that changed
	MethodPeerUpdate     = "Site.Notice"   // notification, PeerInfo: the sender leaves or has another configuration
	MethodEntryLoad      = "Site.Places"   // notification, EntryLoad
	MethodRunJob         = "Stage.Run"     // answered by JobResult
	MethodCancelJob      = "Stage.Cancel"  // notification, JobKey
	MethodInputsFetched  = "Stage.Fetched" // notification, JobKey: its inputs have been read
	MethodReleaseResults = "Stage.Free"    // notification, Release
	MethodQueueLoads     = "Stage.Load"    // notification, QueueLoads
	MethodDeath          = "Site.Death"    // notification, a report of an upstream's death
)

// PeerInfo introduces two entries to each other.
type PeerInfo struct {
	Name    string `json:"Name"`
	Zone    string `json:"Zone"`
	Address string `json:"Address"`
	Boot    string `json:"Boot"` // names this run of the process
	Leaving bool   `json:"Leaving,omitempty"`
	// Capacity compares entries: processor cores times Mbit/s of the link; 0 when it is not known.
	Capacity float64 `json:"Capacity,omitempty"`
	// Revision is the version of the row with the configuration in force, 0 before the first.
	Revision uint64 `json:"Revision"`
}

// Rows are rows of the store as their reader passes them on.
type Rows struct {
	Changes []Change `json:"Changes"`
}

// EntryLoad says how much of the upstreams' capacity the sender's requests take.
type EntryLoad struct {
	// Engines has the sender's load by upstream; one without load is left out.
	Engines map[string]EngineLoad `json:"Engines"`
	// Cached are the shared parts of prompts that the sender's requests have brought
	// to an engine since its last message, unless it knew them there already.
	Cached []CachedPart `json:"Read,omitempty"`
	// Refused are requests that the sender has refused since its last message.
	Refused []FirstAttempt `json:"Refused,omitempty"`
}

// CachedPart says which engine has read a part of prompts.
type CachedPart struct {
	Part      uint64 `json:"Part"`
	Engine    string `json:"Engine"` // ID of the upstream
	StartedMs int64  `json:"Born"`   // its start, as in Member
}

// FirstAttempt says how long ago a refused request first came.
type FirstAttempt struct {
	Digest uint64        `json:"Digest"`
	Age    time.Duration `json:"Age"`
}

// EngineLoad is what one entry has in flight at an engine.
type EngineLoad struct {
	Running int `json:"Running"`
	// PrefillTokens are the prompt tokens of requests without a first event.
	PrefillTokens int `json:"Unread,omitempty"`
}

// Job is the work of one stage of one request, for the owner of the stage's queue.
type Job struct {
	ID      string   `json:"ID"` // of the request, as the upstreams know it
	Stage   int      `json:"Stage"`
	Service string   `json:"Service"`
	Pieces  []int    `json:"Pieces"` // numbers of the pieces to make
	Bytes   int      `json:"Bytes"`  // approximate size of a result
	Key     string   `json:"Key,omitempty"`
	Inputs  []string `json:"Inputs,omitempty"`
	// InputBytes is the approximate size of all inputs, which each piece fetches.
	InputBytes int    `json:"InputBytes,omitempty"`
	Rank       int    `json:"Rank"`
	Workspace  string `json:"Workspace,omitempty"`
	// FreesMemory says that the inputs take more memory of the upstreams than the
	// results, so that the job makes room for others.
	FreesMemory bool `json:"Frees,omitempty"`
	// InputTTL is how long the inputs are kept by their makers; 0 without inputs.
	InputTTL time.Duration `json:"Fresh,omitempty"`
	// Zone is where the results are best made; empty means anywhere.
	Zone string `json:"Zone,omitempty"`
	// CrossZoneBytes is the number of bytes that cross zones if they are made elsewhere.
	CrossZoneBytes int `json:"Cross,omitempty"`
	// Left is the time to the request's deadline, Slack the time within which
	// the work must start for the request to reach its target.
	Left  time.Duration `json:"Left"`
	Slack time.Duration `json:"Slack"`
	// Margin was taken off Slack for what the estimates leave out.
	Margin time.Duration `json:"Margin,omitempty"`
	// LaterStages is the estimated time of the request after this stage.
	LaterStages time.Duration `json:"Rest"`
}

// JobKey names a job.
type JobKey struct {
	ID      string `json:"ID"`
	Stage   int    `json:"Stage"`
	Service string `json:"Service"`
}

// JobResult ends a job. Handles are in the order of Job.Pieces.
type JobResult struct {
	Handles []string `json:"Handles,omitempty"`
	// InputLost says that a result that the job takes is gone.
	InputLost bool   `json:"InputGone,omitempty"`
	Fault     *Fault `json:"Fault,omitempty"`
}

// Release gives up results that are used or will not be.
type Release struct {
	Service string   `json:"Service"`
	Handles []string `json:"Handles"`
}

// QueueLoads has the load of the queues that the sender owns, by service.
type QueueLoads struct {
	Loads map[string]QueueLoad `json:"Loads"`
}

// QueueLoad says how much work waits for the upstreams of a service.
type QueueLoad struct {
	// Pending are the pieces that wait, by the time until their latest start:
	// Pending[i] those with less than SlackSteps[i] and not less than the step before.
	Pending [len(SlackSteps)]int `json:"Pending"`
	// Late are the pieces whose requests can no longer reach their target.
	Late int `json:"Late"`
	// Rate is the pieces that the upstreams make in a second.
	Rate float64 `json:"Rate"`
}

// SlackSteps are the bounds of QueueLoad.Pending.
var SlackSteps = [...]time.Duration{250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, time.Hour}

// Wait returns the time until a job starts that has a slack of its own:
// those with less come before it, and late ones come last.
func (ql *QueueLoad) Wait(slack time.Duration) time.Duration {
	pieces := 0
	if slack < 0 {
		pieces = ql.Late
	}
	for i := range SlackSteps {
		if slack >= 0 && i > 0 && slack < SlackSteps[i-1] {
			break
		}
		pieces += ql.Pending[i]
	}
	if pieces == 0 || ql.Rate <= 0 {
		return 0
	}
	return time.Duration(float64(pieces) / ql.Rate * float64(time.Second))
}
