// Package evacuation records which availability zones operators have evacuated. Rows
// arrive from the store and from peers in any order; of each zone the newest revision
// wins. Load pattern: the whole load of a zone that moves to the others and returns,
// within seconds and more than once.
package evacuation

import (
	"maps"
	"slices"
)

// maxZones bounds the zones on record. A site has tens.
const maxZones = 1024

// record is the newest row of a zone.
type record struct {
	version   uint64
	evacuated bool
}

// Zones is the state of all zones. The caller serializes the calls.
type Zones struct {
	zones map[string]record
	// settled is the version up to which the record is complete: a zone without a
	// record had no row then.
	settled uint64
}

// New returns a record without zones.
func New() *Zones { return &Zones{zones: make(map[string]record)} }

// Apply applies the row of a zone, or its removal, and reports whether it was news.
func (zo *Zones) Apply(zone string, version uint64, evacuated bool) bool {
	old, known := zo.zones[zone]
	if known && version <= old.version || !known && version <= zo.settled {
		return false
	}
	if !known && len(zo.zones) >= maxZones && !zo.forgetOldest() {
		return false
	}
	zo.zones[zone] = record{version: version, evacuated: evacuated}
	return true
}

// forgetOldest removes the oldest record of a zone that is in use. Later news of it that is
// not newer than the removal is ignored by its version.
func (zo *Zones) forgetOldest() bool {
	oldest := ""
	for zone, rec := range zo.zones {
		if !rec.evacuated && (oldest == "" || rec.version < zo.zones[oldest].version) {
			oldest = zone
		}
	}
	if oldest == "" {
		return false
	}
	zo.settled = max(zo.settled, zo.zones[oldest].version)
	delete(zo.zones, oldest)
	return true
}

// Missing returns the evacuated zones that a complete read of the table at a version
// proves to be taken back, as it lacks their rows.
func (zo *Zones) Missing(present map[string]uint64, version uint64) []string {
	var missing []string
	for zone, rec := range zo.zones {
		if _, ok := present[zone]; rec.evacuated && !ok && rec.version <= version {
			missing = append(missing, zone)
		}
	}
	slices.Sort(missing)
	return missing
}

// Settle records that the rows of a complete read at a version have been applied. Peers
// that tell older rows of other zones are then not believed.
func (zo *Zones) Settle(version uint64) { zo.settled = max(zo.settled, version) }

// Evacuated returns the zones to which nothing more is to be sent, with the versions of
// their rows.
func (zo *Zones) Evacuated() map[string]uint64 {
	evacuated := make(map[string]uint64)
	for zone, rec := range zo.zones {
		if rec.evacuated {
			evacuated[zone] = rec.version
		}
	}
	return evacuated
}

// Row is the newest row of a zone.
type Row struct {
	Zone      string
	Version   uint64
	Evacuated bool
}

// Rows returns the newest row of each zone, sorted by zone.
func (zo *Zones) Rows() []Row {
	rows := make([]Row, 0, len(zo.zones))
	for _, zone := range slices.Sorted(maps.Keys(zo.zones)) {
		rec := zo.zones[zone]
		rows = append(rows, Row{Zone: zone, Version: rec.version, Evacuated: rec.evacuated})
	}
	return rows
}
