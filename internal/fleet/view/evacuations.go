package view

import (
	"strings"
	"time"

	"github.com/citronstream/citronstream"
)

// ReplaceEvacuated applies all evacuated zones as of a version of the store, with the
// versions of their rows, and returns the changes. Other zones have been taken back, but for
// those whose rows a copy of the store may lack: operators write these again.
func (vi *View) ReplaceEvacuated(evacuated map[string]uint64, version uint64, source string) []citronstream.Change {
	var changes []citronstream.Change
	add := func(zone string, version uint64, deleted bool) {
		changes = append(changes, citronstream.Change{Row: citronstream.Row{Key: vi.decode.EvacuationPrefix + zone, Version: version}, Deleted: deleted})
	}
	for zone, version := range evacuated {
		add(zone, version, false)
	}
	vi.mu.Lock()
	vi.observe(version)
	known := vi.zones.Evacuated()
	for _, zone := range vi.zones.Missing(evacuated, version) {
		if citronstream.VersionEra(known[zone]) < citronstream.VersionEra(version) && !vi.outage.Over(vi.clk.Now()) {
			vi.missingZones[zone] = version
			continue
		}
		add(zone, version, true)
	}
	vi.mu.Unlock()
	applied := vi.Apply(changes, source)
	vi.mu.Lock()
	defer vi.mu.Unlock()
	vi.zones.Settle(version)
	return applied
}

// takeBackMissing takes back the zones whose rows were not written again after the store came
// back from an older copy. The caller holds the lock.
func (vi *View) takeBackMissing(now time.Time) {
	if len(vi.missingZones) == 0 || !vi.outage.Over(now) {
		return
	}
	var changes []citronstream.Change
	for zone, version := range vi.missingZones {
		changes = append(changes, citronstream.Change{Row: citronstream.Row{Key: vi.decode.EvacuationPrefix + zone, Version: version}, Deleted: true})
	}
	clear(vi.missingZones)
	vi.apply(changes, SourceExpiry)
}

func (vi *View) isEvacuation(key string) bool {
	return vi.decode.EvacuationPrefix != "" && strings.HasPrefix(key, vi.decode.EvacuationPrefix)
}

// applyEvacuation reports whether the state of a zone is news. The value of its row does
// not matter.
func (vi *View) applyEvacuation(ch citronstream.Change, source string) bool {
	zone := strings.TrimPrefix(ch.Key, vi.decode.EvacuationPrefix)
	_, was := vi.zones.Evacuated()[zone]
	if zone == "" || !vi.zones.Apply(zone, ch.Version, !ch.Deleted) {
		return false
	}
	text := "zone evacuated"
	if ch.Deleted {
		text = "zone taken back"
		vi.onTakenBack(zone, ch.Version)
	} else if !was {
		vi.onEvacuated(zone)
	}
	vi.log.Info(text, "zone", zone, "source", source, "revision", citronstream.FormatVersion(ch.Version), "evacuated zones", len(vi.zones.Evacuated()))
	return true
}

// Evacuated returns the zones to whose upstreams nothing more is to be sent, with the
// versions of their rows.
func (vi *View) Evacuated() map[string]uint64 {
	vi.mu.Lock()
	defer vi.mu.Unlock()
	return vi.zones.Evacuated()
}
