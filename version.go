package citronstream

import (
	"fmt"
	"strconv"
)

// A store that comes back from an older copy gives versions out again, for other writes. Only
// the era of the store tells these apart, so a Version has it in its high bits: versions of a
// later era are greater than all of an earlier one.
const (
	versionCountBits = 44
	versionEraBits   = 64 - versionCountBits
	// MaxVersionCount is the greatest number of a version within its era.
	MaxVersionCount = 1<<versionCountBits - 1
)

// NewVersion returns the version with a number, at most MaxVersionCount, in an era of the store.
// Of the era the low 20 bits count: only eras that are near each other are compared.
func NewVersion(era, count uint64) (uint64, error) {
	if count > MaxVersionCount {
		return 0, fmt.Errorf("version %d: the greatest is %d", count, uint64(MaxVersionCount))
	}
	return era%(1<<versionEraBits)<<versionCountBits | count, nil
}

// VersionEra returns the era of a version, 0 for a store without eras.
func VersionEra(version uint64) uint64 { return version >> versionCountBits }

// VersionCount returns the number of a version within its era, as the store knows it.
func VersionCount(version uint64) uint64 { return version & MaxVersionCount }

// FormatVersion returns a version for logs, as "era.number".
func FormatVersion(version uint64) string {
	return strconv.FormatUint(VersionEra(version), 10) + "." + strconv.FormatUint(VersionCount(version), 10)
}
