// Package check reports all faults of a settings document or a Fleet at once.
package check

import (
	"regexp"
	"strings"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/settings"
	"github.com/citronstream/citronstream/internal/config/strictjson"
)

// Fault is one error or warning about a document.
type Fault = strictjson.Fault

// Checker checks documents. It is stateless between calls.
type Checker struct {
	protocols []string
	policies  []string
}

// Option configures a Checker.
type Option func(*Checker)

// WithProtocols sets the names of the registered upstream protocols. By default any
// name is accepted.
func WithProtocols(names ...string) Option { return func(ch *Checker) { ch.protocols = names } }

// WithPolicies sets the names of the registered routing policies. By default any name
// is accepted.
func WithPolicies(names ...string) Option { return func(ch *Checker) { ch.policies = names } }

// New returns a Checker.
func New(opts ...Option) *Checker {
	ch := &Checker{}
	for _, opt := range opts {
		opt(ch)
	}
	return ch
}

// Settings decodes a settings document and returns its faults: first the syntax and
// type errors in document order, then those of the content by section. The content is
// not checked if the text is not JSON.
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

// Fleet decodes and checks a bare Fleet document, as the object store keeps it.
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

// Inventory checks a Fleet that is already in memory.
func (ch *Checker) Inventory(fl *citronstream.Fleet) []Fault {
	ru := newRun(ch, "Fleet", fl, nil)
	ru.fleet()
	return ru.faults
}

// Failed is true if any of the faults is not just a warning.
func Failed(faults []Fault) bool {
	for _, fa := range faults {
		if !fa.Warning {
			return true
		}
	}
	return false
}

// run is the check of one document.
type run struct {
	ch     *Checker
	prefix string
	fl     *citronstream.Fleet
	faults []Fault
	// unreadable holds the paths of the values that could not be decoded. No further
	// fault is reported about their content.
	unreadable map[string]bool
	// incomplete holds the sections with such a value.
	incomplete map[string]bool
	// unreadableNames holds the sections in which a name could not be decoded, so that
	// references to them can't be checked.
	unreadableNames map[string]bool
	indexes
}

// indexes map names to positions in their lists.
type indexes struct {
	owners, zones, ranks, workspaces, models, services, instances map[string]int
	calls                                                         []map[string]int // by service
	upstreamCounts                                                []int            // number of upstreams by service
	addresses                                                     map[string]string
}

// namePath matches the path of a name, or of a value that contains names.
var namePath = regexp.MustCompile(`^(\w+)(\[\d+\])?(\.Zones(\[\d+\])?|\.Calls(\[\d+\])?)?(\.Name)?$`)

func newRun(ch *Checker, prefix string, fl *citronstream.Fleet, faults []Fault) *run {
	ru := &run{ch: ch, prefix: prefix, fl: fl, faults: faults, unreadable: make(map[string]bool), incomplete: make(map[string]bool), unreadableNames: make(map[string]bool)}
	for _, fa := range faults {
		if !fa.Unreadable {
			continue
		}
		ru.unreadable[fa.Path] = true
		path := strings.TrimPrefix(fa.Path, prefix+".")
		ru.incomplete[path[:strings.IndexAny(path+".", ".[")]] = true
		if match := namePath.FindStringSubmatch(path); match != nil {
			ru.unreadableNames[match[1]] = true
		}
	}
	ru.addresses = make(map[string]string)
	return ru
}
