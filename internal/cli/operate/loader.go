// Package operate holds the flags, the settings loader and the output helpers
// shared by the commands that work on a running fleet.
package operate

import (
	"fmt"
	"io"
	"os"

	"github.com/citronstream/citronstream/internal/config/check"
	"github.com/citronstream/citronstream/internal/config/settings"
)

// maxReadBytes is one more than the largest document that the decoder accepts,
// so that the decoder reports a file that is too long.
const maxReadBytes = 16<<20 + 1

// Loader reads settings documents.
type Loader struct {
	checker *check.Checker
}

// NewLoader returns a loader that checks documents.
func NewLoader(ch *check.Checker) *Loader { return &Loader{checker: ch} }

// Checker returns the checker.
func (lo *Loader) Checker() *check.Checker { return lo.checker }

// Settings reads a document. If the document has faults, the error names the first one.
func (lo *Loader) Settings(file string) (*settings.Settings, error) {
	fi, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("--settings: %w", err)
	}
	defer fi.Close()
	data, err := io.ReadAll(io.LimitReader(fi, maxReadBytes))
	if err != nil {
		return nil, fmt.Errorf("--settings: %w", err)
	}
	set, faults := lo.checker.Settings(data)
	for _, fa := range faults {
		if !fa.Warning {
			return nil, fmt.Errorf("--settings: %s: %s; citronstream check %s lists all faults", file, fa, file)
		}
	}
	return set, nil
}
