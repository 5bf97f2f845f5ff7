package view

import (
	"github.com/citronstream/citronstream"
)

// OnRestored sets the function that is called when the store has come back from an older copy,
// with a version that it has reached since. It may call only Routes, Members and Revision.
func (vi *View) OnRestored(onRestored func(version uint64)) { vi.onRestored = onRestored }

// observe records that the store has reached a version. In a new era of the store, rows may be
// missing or older than what is known, until their writers have written them again. The caller
// holds the lock.
func (vi *View) observe(version uint64) {
	if version <= vi.newest {
		return
	}
	before, era := citronstream.VersionEra(vi.newest), citronstream.VersionEra(version)
	first := vi.newest == 0
	vi.newest = version
	if first || era == before {
		return
	}
	vi.log.Info("store came back from an older copy", "era", era, "before", before, "revision", citronstream.FormatVersion(version))
	vi.outage.Restored(vi.clk.Now())
	vi.onRestored(version)
}

// supersedes reports whether the record has later news of an upstream than a row with a version,
// which is the first of a new era that this process sees: the copy may be older than the record.
func (rec *record) supersedes(mb citronstream.Member, version uint64) bool {
	if rec.started == 0 || citronstream.VersionEra(version) == citronstream.VersionEra(rec.Version) {
		return false
	}
	if mb.StartedMs != rec.started {
		return mb.StartedMs < rec.started
	}
	return mb.Sequence < rec.sequence || mb.Sequence == rec.sequence && rec.Deleted
}

// keepState keeps the state of an upstream of which a copy of the store has an older row: whether it
// is in use, leaves or is gone. Its next row is news.
func (vi *View) keepState(rec *record, ch citronstream.Change, source string) {
	if rec.Version, rec.removed = ch.Version, vi.clk.Now(); rec.node == nil || rec.node.Draining {
		vi.log.Info("older row of an upstream in a copy of the store ignored", "key", ch.Key, "gone", rec.node == nil, "source", source, "revision", citronstream.FormatVersion(ch.Version))
	}
}
