package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/snapshot"
	"github.com/citronstream/citronstream/platform"
)

// restoreRetry is the time between two reads of the snapshot that fail.
const restoreRetry = 200 * time.Millisecond

// membersInUse returns the upstreams that take work, in evacuated zones too.
func (ga *Gateway) membersInUse() []citronstream.Member {
	var list []citronstream.Member
	for nd := range ga.view.Members().All() {
		if !nd.Draining {
			list = append(list, nd.Member)
		}
	}
	return list
}

// writesSnapshot reports whether this process writes the snapshot of the upstreams.
func (ga *Gateway) writesSnapshot() bool {
	return !ga.leaving.Load() && !ga.follower.StoreDown() && !ga.view.StoreWasAway() && ga.broker.Owns(snapshot.Key)
}

// storeRestored reads the store anew and writes the rows of this process again: the store has
// come back from an older copy.
func (ga *Gateway) storeRestored(before, now uint64) {
	ga.storeRestores.Add(1)
	ga.log.Info("era of the store has risen, reading it anew", "before", before, "now", now)
	ga.discovery.Renew()
	ga.snapshot.Renew()
	ga.follower.Refresh(platform.TableConfig)
	ga.follower.Refresh(platform.TableMembers)
}

// tableRead restores upstreams when their table was read for the first time. Whether the
// store returned just before the start of this process shows only in the snapshot.
func (ga *Gateway) tableRead(table string) {
	if table == platform.TableMembers {
		ga.runInBackground(ga.restore)
	}
}

// restore puts the upstreams of the snapshot in use until their rows are back. A read that
// fails is repeated while the store is known to have been away.
func (ga *Gateway) restore(ctx context.Context) {
	for {
		away := ga.view.StoreWasAway()
		list, err := ga.snapshot.Read(ctx)
		switch {
		case err == nil && (away || ga.view.StoreWasAway()):
			ga.view.Restore(list)
			return
		case err == nil:
			ga.view.RestoreExpired(list)
			return
		case errors.Is(err, citronstream.ErrNotFound):
			return
		}
		ga.log.Info("snapshot of the upstreams not read", "reason", err.Error())
		if !away {
			return
		}
		timer := ga.clk.NewTimer(restoreRetry)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.Chan():
		}
		if !ga.view.StoreWasAway() {
			return
		}
	}
}
