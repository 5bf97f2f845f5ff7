package citronstream

import "time"

// Methods of the messages between the entries of a site.
const (
	MethodHandshake      = "Site.Meet"     // answered by PeerInfo
	MethodState          = "Store.State"   // StateQuery, answered by Rows
	MethodRows           = "Store.Rows"    // notification, Rows: upstreams that changed
	MethodPeerUpdate     = "Site.Notice"   // notification, PeerInfo: the sender is leaving or has another configuration
	MethodEntryLoad      = "Site.Places"   // notification, EntryLoad
	MethodRefusals       = "Site.Refusals" // notification, Refusals
	MethodRunJob         = "Stage.Run"     // answered by JobResult
	MethodCancelJob      = "Stage.Cancel"  // notification, JobKey
	MethodInputsFetched  = "Stage.Fetched" // notification, JobKey: its inputs have been fetched
	MethodReleaseResults = "Stage.Free"    // notification, Release
	MethodQueueLoads     = "Stage.Load"    // notification, QueueLoads
	MethodDeath          = "Site.Death"    // notification, a report of an upstream's death
	MethodSoundParts     = "Site.Sound"    // notification, SoundParts
	MethodSuspectParts   = "Site.Suspects" // notification, SuspectParts: new holds, and all to a new peer
	MethodQuarantine     = "Site.Held"     // answered by SuspectParts: all
)

// PeerInfo describes an entry to its peers.
type PeerInfo struct {
	Name    string `json:"Name"`
	Zone    string `json:"Zone"`
	Address string `json:"Address"`
	Boot    string `json:"Boot"` // identifies this run of the process
	Leaving bool   `json:"Leaving,omitempty"`
	// Capacity is for comparison with other entries: processor cores times Mbit/s of the link; 0 when unknown.
	Capacity float64       `json:"Capacity,omitempty"`
	Age      time.Duration `json:"Age,omitempty"` // since the start of the process
	// Revision is the version of the row with the configuration in force, 0 before the first.
	Revision uint64 `json:"StoreRevision"`
	// ConfigBytes is the size of that row.
	ConfigBytes int `json:"ConfigBytes,omitempty"`
}

// StateQuery asks a peer for the rows that it has.
type StateQuery struct {
	// Revision is the version of the row with the asker's configuration, 0 before the first.
	Revision uint64 `json:"Revision"`
	// ConfigOnly asks for no other row.
	ConfigOnly bool `json:"ConfigOnly,omitempty"`
}

// Rows are changed rows of the store, forwarded by the entry that reads the store.
type Rows struct {
	Changes []Change `json:"Changes"`
	// Reading says what the changes are complete for; nil if for nothing.
	Reading *Reading `json:"Reading,omitempty"`
}

// Reading describes a read of a table's changes.
type Reading struct {
	Table string `json:"Table"`
	// After and Version are the versions of the store between which all changes
	// were read.
	After   uint64 `json:"After"`
	Version uint64 `json:"Version"`
	// Revision is the version of the configuration's row, which is not among the
	// changes; 0 for other tables.
	Revision uint64 `json:"Revision,omitempty"`
	// Evacuated has all evacuated zones with the versions of their rows, for the
	// configuration's table; nil if the sender does not tell.
	Evacuated map[string]uint64 `json:"Evacuated"`
	// AsOf is the time of the store's clock until which it is known to have been in
	// this state. The age of a reading can't be told: the message may be held up
	// on its way, as may the process that sends or receives it.
	AsOf time.Duration `json:"AsOf"`
}

// EntryLoad is the load of the sender's requests on the engines.
type EntryLoad struct {
	// Engines has the sender's load by upstream; upstreams that have none and got no request
	// within the last second are omitted.
	Engines map[string]EngineLoad `json:"Engines"`
	// Cached are the shared prompt parts that the sender's requests have added to an
	// engine's prefix cache since its last message, without those it knew to be there.
	Cached []CachedPart `json:"Read,omitempty"`
	// Speeds has the speeds by upstream of which the sender has new measurements.
	Speeds map[string]SpeedReport `json:"Speeds,omitempty"`
	// Gateways is how many gateways the sender knows at present, if upstreams turn cold.
	Gateways int `json:"Gateways,omitempty"`
}

// SpeedReport is what an entry has measured of an upstream since it knows it.
type SpeedReport struct {
	Time    float64 `json:"Time"` // that work takes, relative to the usual time
	Samples float64 `json:"Samples"`
}

// Refusals are the requests that the sender has refused since its last message.
type Refusals struct {
	Refused []FirstAttempt `json:"Refused"`
}

// SuspectRequest is a request that was at an upstream, without a complete answer, when
// the upstream died.
type SuspectRequest struct {
	Digest uint64        `json:"Digest"` // of its content
	Sent   time.Duration `json:"Sent"`   // since it was sent to the upstream
	// Parts are the IDs of the prompt parts that other requests may share. Those of long prompts
	// are told in several reports.
	Parts []uint64 `json:"Parts"`
	// First is the number of parts that earlier reports have.
	First int `json:"First,omitempty"`
}

// SoundParts are suspect prompt parts that have run soundly at the sender.
type SoundParts struct {
	Sound []SoundPart `json:"Sound"`
}

// SoundPart is a prompt part of a request that an upstream has answered completely.
type SoundPart struct {
	Part uint64        `json:"Part"`
	Age  time.Duration `json:"Age"` // since then
}

// SuspectParts are the prompt parts and the whole requests that are suspected of crashing
// upstreams.
type SuspectParts struct {
	Suspects []SuspectPart    `json:"Suspects"`
	Contents []SuspectContent `json:"Contents,omitempty"`
	// Knows says that these are all that the fleet knows: the sender has not just started,
	// or was told by another entry since.
	Knows bool `json:"Knows,omitempty"`
}

// SuspectContent is a request that is suspected of crashing upstreams, or held for it.
type SuspectContent struct {
	Digest   uint64        `json:"Digest"`
	Held     time.Duration `json:"Held,omitempty"`     // the rest of its hold
	Upstream string        `json:"Upstream,omitempty"` // the last one that died of it
}

// SuspectPart is a prompt part that is suspected of crashing upstreams, or held for it.
type SuspectPart struct {
	Part    uint64        `json:"Part"`
	Held    time.Duration `json:"Held,omitempty"` // the rest of its hold
	Crashes []PartCrash   `json:"Crashes"`        // the oldest first
}

// PartCrash is the death of an upstream at which a prompt part was in flight.
type PartCrash struct {
	Death    string        `json:"Death"`
	Age      time.Duration `json:"Age"`
	Requests []uint64      `json:"Requests"` // digests of the requests with the part
	// Explained says that another part of these requests is held for it.
	Explained bool `json:"Explained,omitempty"`
}

// CachedPart is a prompt part in the prefix cache of an engine.
type CachedPart struct {
	Part      uint64 `json:"Part"`
	Engine    string `json:"Engine"` // ID of the upstream
	StartedMs int64  `json:"Born"`   // start of its process, as in Member
}

// FirstAttempt is the time since the first attempt of a refused request.
type FirstAttempt struct {
	Digest uint64        `json:"Digest"`
	Age    time.Duration `json:"Age"`
	// Back is the time until its caller may come back.
	Back time.Duration `json:"Back,omitempty"`
}

// EngineLoad is the load of one entry's requests in flight at an engine.
type EngineLoad struct {
	Running int `json:"Running,omitempty"`
	// PrefillTokens are the prompt tokens of requests without a first event.
	PrefillTokens int `json:"Unread,omitempty"`
	// Started counts the requests sent within the last second, for services whose upstreams
	// turn cold.
	Started int `json:"Sent,omitempty"`
}

// Job is the work of one stage of one request, for the owner of the stage's queue.
type Job struct {
	ID      string   `json:"ID"` // of the request, as the upstreams know it
	Stage   int      `json:"Stage"`
	Service string   `json:"Service"`
	Pieces  []int    `json:"Pieces"` // numbers of the pieces to compute
	Bytes   int      `json:"Bytes"`  // approximate size of a result
	Key     string   `json:"Key,omitempty"`
	Inputs  []string `json:"Inputs,omitempty"`
	// InputBytes is the approximate size of all inputs, which each piece fetches.
	InputBytes int `json:"InputBytes,omitempty"`
	Rank       int `json:"Rank"` // of the request: that of its workspace or its route
	// RouteRank is the rank of the route. It orders kinds of request, Rank those of one kind.
	RouteRank int    `json:"RouteRank,omitempty"`
	Workspace string `json:"Workspace,omitempty"`
	// Returned says that the caller was refused before and came back when it was told to.
	Returned bool `json:"Returned,omitempty"`
	// FreesMemory means that the inputs take more memory of the upstreams than
	// the results, so that running the job frees memory.
	FreesMemory bool `json:"Frees,omitempty"`
	// InputTTL is how long the upstreams that made the inputs keep them; 0 without inputs.
	InputTTL time.Duration `json:"Fresh,omitempty"`
	// Zone is the preferred zone of the results; empty means any.
	Zone string `json:"Zone,omitempty"`
	// CrossZoneBytes is the number of bytes that cross zones if the job runs in another zone.
	CrossZoneBytes int `json:"Cross,omitempty"`
	// Left is the time to the request's deadline, Slack the time within which
	// the work must start for the request to reach its target.
	Left  time.Duration `json:"Left"`
	Slack time.Duration `json:"Slack"`
	// Margin was subtracted from Slack for delays that the estimates don't cover.
	Margin time.Duration `json:"Margin,omitempty"`
	// Early is how much earlier still it should start, as the rest of the request takes
	// longer for some.
	Early time.Duration `json:"Early,omitempty"`
	// LaterStages is the estimated time of the request after this stage.
	LaterStages time.Duration `json:"Rest"`
	// Regions are those in which it may run, as a regions.Set; empty means all.
	Regions string `json:"Regions,omitempty"`
	// Attempt identifies the submission to a queue. Resume asks for the result of an
	// attempt that was submitted over a link that is lost; nothing is started for it.
	Attempt string `json:"Attempt,omitempty"`
	Resume  bool   `json:"Resume,omitempty"`
}

// JobKey identifies a job.
type JobKey struct {
	ID      string `json:"ID"`
	Stage   int    `json:"Stage"`
	Service string `json:"Service"`
	Regions string `json:"Regions,omitempty"` // as in Job
}

// JobResult ends a job. Handles are in the order of Job.Pieces.
type JobResult struct {
	Handles []string `json:"Handles,omitempty"`
	// InputLost means that an input of the job no longer exists.
	InputLost bool   `json:"InputGone,omitempty"`
	Fault     *Fault `json:"Fault,omitempty"`
}

// Release frees results that have been used or will not be used.
type Release struct {
	Service string   `json:"Service"`
	Handles []string `json:"Handles"`
	// Bytes is the approximate size of each.
	Bytes   int    `json:"Bytes,omitempty"`
	Regions string `json:"Regions,omitempty"` // of the job that made them
}

// QueueLoads has the load of the queues that the sender owns, by service. The names of
// queues of restricted jobs also have the regions.
type QueueLoads struct {
	Loads map[string]QueueLoad `json:"Loads"`
}

// QueueLoad is the queued work for the upstreams of a service.
type QueueLoad struct {
	// Waiting counts the queued pieces by the rank of their routes and the time until
	// their latest start: Waiting[rank][i] has those below SlackSteps[i] but not below
	// SlackSteps[i-1]; the last rank has all lower ones too.
	Waiting [Ranks][len(SlackSteps)]int `json:"Waiting"`
	// Late counts the pieces whose requests can no longer reach their target.
	Late int `json:"Late"`
	// Rate is the throughput of the upstreams in pieces a second.
	Rate float64 `json:"Rate"`
	// Arrivals has the pieces that came in a second, by the rank of their routes;
	// the last one has all lower ranks too.
	Arrivals [Ranks]float64 `json:"Arrivals"`
	// Pause is the time until the first upstream takes work again, while all of them are in
	// a pause that they have asked for. Rate is then the throughput afterwards.
	Pause time.Duration `json:"Pause,omitempty"`
}

// Ranks is the number of ranks of routes that queues tell apart.
const Ranks = 4

// SlackSteps are the upper bounds of QueueLoad.Waiting.
var SlackSteps = [...]time.Duration{250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, time.Hour}

// lowerRankShare is the part of the upstreams' throughput that more urgent work
// is assumed to leave to the rest at least.
const lowerRankShare = 0.05

// borderline is how late a job may be by the estimates and still be in time: they are
// rough, and queues are told with some delay.
const borderline = 500 * time.Millisecond

// maxQueueWait bounds the estimates. A greater one of an absurd load would overflow, and mean
// another wait on each processor architecture.
const maxQueueWait = time.Hour

// WaitNew estimates the time until a job that is not admitted yet would start. What
// more urgent routes are expected to bring meanwhile is kept free for them: a job
// with much slack would be admitted behind a short queue and then leave no room
// for those with little. One that is late runs after all others, also those to come.
func (ql *QueueLoad) WaitNew(slack time.Duration, rank int) time.Duration {
	rate, before := ql.Rate, max(0, min(rank, Ranks-1))
	if slack < -borderline {
		before = Ranks
	}
	for _, arrivals := range ql.Arrivals[:before] {
		rate -= arrivals
	}
	return ql.wait(slack, rank, max(rate, lowerRankShare*ql.Rate))
}

// Wait estimates the time until an admitted job with this slack starts: jobs of its
// rank and of more urgent ones with less slack run before it, late jobs run last,
// and less urgent ones give way to it.
func (ql *QueueLoad) Wait(slack time.Duration, rank int) time.Duration {
	return ql.wait(slack, rank, ql.Rate)
}

func (ql *QueueLoad) wait(slack time.Duration, rank int, rate float64) time.Duration {
	rank = max(0, min(rank, Ranks-1))
	pieces, ahead := 0, ql.Waiting[:rank+1]
	if slack < 0 {
		pieces, ahead = ql.Late, ql.Waiting[:]
	}
	for i := range SlackSteps {
		if slack >= 0 && i > 0 && slack < SlackSteps[i-1] {
			break
		}
		for _, waiting := range ahead {
			pieces += waiting[i]
		}
	}
	if pieces <= 0 || !(rate > 0) {
		return ql.Pause
	}
	return ql.Pause + time.Duration(min(float64(pieces)/rate, maxQueueWait.Seconds())*float64(time.Second))
}

// Add counts pieces that wait.
func (ql *QueueLoad) Add(rank int, slack time.Duration, pieces int) {
	at := 0
	for at < len(SlackSteps)-1 && slack >= SlackSteps[at] {
		at++
	}
	ql.Waiting[max(0, min(rank, Ranks-1))][at] += pieces
}
