package owner

import "github.com/citronstream/citronstream/internal/limit/workspaceshare"

// Load pattern: a few workspaces bring most of the work of a kind while not all of it can be
// done. The work of the others does not give way to theirs.

func shareKind(jb *job) workspaceshare.Kind {
	return workspaceshare.Kind{Rank: jb.Priority.Rank, RouteRank: jb.Priority.RouteRank}
}

// queueShare counts a new job for its workspace.
func (ow *Owner) queueShare(jb *job) {
	jb.Tag = ow.shares.Queue(shareKind(jb), jb.Workspace, len(jb.Pieces))
}

// dropShare takes back the pieces of a job that ends before they have begun.
func (ow *Owner) dropShare(jb *job) {
	if len(jb.pending) > 0 && jb.repeats == 0 {
		ow.shares.Drop(shareKind(jb), jb.Workspace, len(jb.pending))
	}
}

// setAlone sets which waiting jobs are of the only workspace of their kind that waits.
func (ow *Owner) setAlone() {
	only, shared := make(map[workspaceshare.Kind]string), make(map[workspaceshare.Kind]bool)
	for _, jb := range ow.waiting {
		of := shareKind(jb)
		workspace, known := only[of]
		if !known {
			only[of] = jb.Workspace
		} else if workspace != jb.Workspace {
			shared[of] = true
		}
	}
	for _, jb := range ow.waiting {
		jb.Alone = !shared[shareKind(jb)]
	}
}
