// Package workspaceshare tells by how much a workspace is ahead of its share of a queue.
// Load pattern: a few workspaces bring most of the work of a kind while not all of it can
// be done. Each workspace has the same share; what it does not use goes to the others
// (start-time fair queueing).
package workspaceshare

// maxWorkspaces bounds the workspaces that are kept for a kind. Those that are not ahead
// are forgotten first.
const maxWorkspaces = 1024

// maxKinds bounds the kinds that are kept, as peers name the ranks. With more of them all
// shares begin anew.
const maxKinds = 64

// Kind is the urgency within which workspaces have shares.
type Kind struct{ Rank, RouteRank int }

// Shares keeps the work that was queued by kind and workspace. It is not safe for
// concurrent use.
type Shares struct {
	kinds map[Kind]*kind
}

type kind struct {
	reached int            // tag of the work that began last
	next    map[string]int // tag of the next work of a workspace
}

// New returns shares without work.
func New() *Shares { return &Shares{kinds: make(map[Kind]*kind)} }

// Queue adds pieces of a workspace and returns their tag. Among pieces of one kind, those
// with the higher tag belong to a workspace that has queued more.
func (sh *Shares) Queue(of Kind, workspace string, pieces int) (tag int) {
	ki := sh.kinds[of]
	if ki == nil {
		if len(sh.kinds) >= maxKinds {
			clear(sh.kinds)
		}
		ki = &kind{next: make(map[string]int)}
		sh.kinds[of] = ki
	}
	if _, known := ki.next[workspace]; !known && len(ki.next) >= maxWorkspaces {
		ki.forget()
	}
	tag = max(ki.next[workspace], ki.reached)
	ki.next[workspace] = tag + pieces
	return tag
}

// Begin records that work with this tag has begun.
func (sh *Shares) Begin(of Kind, tag int) {
	if ki := sh.kinds[of]; ki != nil {
		ki.reached = max(ki.reached, tag)
	}
}

// Drop takes pieces back that have not begun, so that a workspace does not pay for them.
func (sh *Shares) Drop(of Kind, workspace string, pieces int) {
	if ki := sh.kinds[of]; ki != nil && ki.next[workspace] > 0 {
		ki.next[workspace] -= pieces
	}
}

// forget drops the workspaces that are not ahead, or all if all are.
func (ki *kind) forget() {
	for workspace, next := range ki.next {
		if next <= ki.reached {
			delete(ki.next, workspace)
		}
	}
	if len(ki.next) >= maxWorkspaces {
		clear(ki.next)
	}
}
