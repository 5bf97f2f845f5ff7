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
