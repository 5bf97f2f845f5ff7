// Package check finds all faults of a settings document or a Fleet at once.
package check

import (
	"regexp"
	"strings"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/settings"
	"github.com/citronstream/citronstream/internal/config/strictjson"
)

// Fault is one fault or warning.
type Fault = strictjson.Fault

// Checker checks documents. It keeps no state between calls.
type Checker struct {
	protocols []string
	policies  []string
}

// Option changes a Checker.
type Option func(*Checker)

// WithProtocols gives the names of the registered upstream protocols.
// Without them any name passes.
func WithProtocols(names ...string) Option { return func(ch *Checker) { ch.protocols = names } }

// WithPolicies gives the names of the registered routing policies. Without
// them any name passes.
func WithPolicies(names ...string) Option { return func(ch *Checker) { ch.policies = names } }

// New returns a Checker.
func New(opts ...Option) *Checker {
	ch := &Checker{}
	for _, opt := range opts {
		opt(ch)
	}
	return ch
}

// Settings reads a settings document and returns its faults: those of the
// form in document order, then those of the content by section. The content
// of a text that is not JSON isn't checked.
func (ch *Checker) Settings(data []byte) (*settings.Settings, []Fault) {
	se, faults, ok := settings.Decode(data)
	if !ok {
		return se, faults
	}
	ru := newRun(ch, "Fleet", se.Fleet, faults)
	if se.Fleet != nil {
		ru.fleet()
	}
	ru.process(&se.Process)
	ru.platform(&se.Platform)
	return se, ru.faults
}

// Fleet reads a bare Fleet document, as the object store keeps it.
func (ch *Checker) Fleet(data []byte) (*citronstream.Fleet, []Fault) {
	fl := &citronstream.Fleet{Limits: citronstream.DefaultLimits()}
	faults, ok := strictjson.New().Decode(data, fl)
	if !ok {
		return fl, faults
	}
	ru := newRun(ch, "", fl, faults)
	ru.fleet()
	return fl, ru.faults
}

// Inventory returns the faults of a Fleet that is already in memory.
func (ch *Checker) Inventory(fl *citronstream.Fleet) []Fault {
	ru := newRun(ch, "Fleet", fl, nil)
	ru.fleet()
	return ru.faults
}

// Failed is true if any of the faults is more than a warning.
func Failed(faults []Fault) bool {
	for _, fa := range faults {
		if !fa.Warning {
			return true
		}
	}
	return false
}

// run is one check of one document.
type run struct {
	ch     *Checker
	prefix string
	fl     *citronstream.Fleet
	faults []Fault
	// broken holds the paths of the values that could not be read. They raise
	// no second fault about their content.
	broken map[string]bool
	// partial holds the sections with such a value.
	partial map[string]bool
	// noNames holds the sections in which a name could not be read, so that
	// references to them can't be judged.
	noNames map[string]bool
	indexes
}

// indexes map names to positions.
type indexes struct {
	owners, zones, ranks, workspaces, models, services, instances map[string]int
	calls                                                         []map[string]int // by service
	hosted                                                        []int            // upstreams by service
	addresses                                                     map[string]string
}

var nameFault = regexp.MustCompile(`^(\w+)(\[\d+\])?(\.Zones(\[\d+\])?|\.Calls(\[\d+\])?)?(\.Name)?$`)

func newRun(ch *Checker, prefix string, fl *citronstream.Fleet, faults []Fault) *run {
	ru := &run{ch: ch, prefix: prefix, fl: fl, faults: faults, broken: make(map[string]bool), partial: make(map[string]bool), noNames: make(map[string]bool)}
	for _, fa := range faults {
		if !fa.Unread {
			continue
		}
		ru.broken[fa.Path] = true
		path := strings.TrimPrefix(fa.Path, prefix+".")
		ru.partial[path[:strings.IndexAny(path+".", ".[")]] = true
		if match := nameFault.FindStringSubmatch(path); match != nil {
			ru.noNames[match[1]] = true
		}
	}
	ru.addresses = make(map[string]string)
	return ru
}
