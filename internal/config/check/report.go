package check

import (
	"fmt"
	"maps"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// location is a position in the document. Its path is built only for a fault.
type location struct {
	section   string
	index     int
	list      string // list inside the element, or ""
	listIndex int
}

func (loc location) path(prefix, field string) string {
	text := loc.section
	if prefix != "" {
		text = prefix + "." + text
	}
	if loc.index >= 0 {
		text += "[" + strconv.Itoa(loc.index) + "]"
	}
	if loc.list != "" {
		text += "." + loc.list + "[" + strconv.Itoa(loc.listIndex) + "]"
	}
	if field != "" {
		text += "." + field
	}
	return text
}

func wholeSection(section string) location { return location{section: section, index: -1} }

func element(section string, i int) location { return location{section: section, index: i} }

func (loc location) child(sub string, j int) location { loc.list, loc.listIndex = sub, j; return loc }

// faultf records a fault of the Fleet, unless its value or an enclosing one could not be
// decoded.
func (ru *run) faultf(loc location, field, format string, args ...any) {
	ru.record(loc.path(ru.prefix, field), false, format, args...)
}

func (ru *run) warnf(loc location, field, format string, args ...any) {
	ru.record(loc.path(ru.prefix, field), true, format, args...)
}

func (ru *run) record(path string, warning bool, format string, args ...any) {
	for rest := path; rest != ""; {
		if ru.unreadable[rest] {
			return
		}
		cut := strings.LastIndexAny(rest, ".[")
		if cut < 0 {
			break
		}
		rest = rest[:cut]
	}
	ru.faults = append(ru.faults, Fault{Path: path, Text: fmt.Sprintf(format, args...), Warning: warning})
}

// validName restricts names so that they can be parts of table row keys such as
// "Grant/<upstream>".
var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// ValidName is true for a name that the checker accepts.
func ValidName(name string) bool { return validName.MatchString(name) }

// checkNames checks the names of a list and returns their positions.
func (ru *run) checkNames(count int, at func(i int) location, name func(i int) string) map[string]int {
	index := make(map[string]int, count)
	for i := range count {
		ru.checkName(at(i), name(i))
		if first, ok := index[name(i)]; ok && name(i) != "" {
			ru.faultf(at(i), "Name", "duplicate name %q, first at %s", name(i), at(first).path(ru.prefix, ""))
			continue
		}
		index[name(i)] = i
	}
	return index
}

func (ru *run) checkName(loc location, name string) {
	switch {
	case name == "":
		ru.faultf(loc, "Name", "missing")
	case !validName.MatchString(name):
		ru.faultf(loc, "Name", "invalid name %q, want 1 to 128 of letters, digits, '.', '_' and '-', starting with a letter or digit", truncate(name))
	}
}

func truncate(text string) string {
	if len(text) > 64 {
		return text[:64] + "..."
	}
	return text
}

// resolve returns the position of a named element of a section and reports an unknown
// name.
func (ru *run) resolve(loc location, field, section, kind, name string, index map[string]int) (int, bool) {
	i, ok := index[name]
	if ok && name != "" {
		return i, true
	}
	switch {
	case ru.unreadableNames[section]:
	case name == "":
		ru.faultf(loc, field, "missing, want the name of a %s", kind)
	default:
		ru.faultf(loc, field, "unknown %s %q, known: %s", kind, truncate(name), nameList(slices.Sorted(maps.Keys(index))))
	}
	return 0, false
}

// nameList joins up to 20 names; a full-size fleet has thousands.
func nameList(names []string) string {
	const maxListed = 20
	names = slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == "" })
	switch {
	case len(names) == 0:
		return "none"
	case len(names) > maxListed:
		return fmt.Sprintf("%s and %d more", strings.Join(names[:maxListed], ", "), len(names)-maxListed)
	}
	return strings.Join(names, ", ")
}

// checkRange reports a number outside the bounds, which are inclusive.
func checkRange[N int | int64 | float64](ru *run, loc location, field string, value, low, high N) {
	if value < low || value > high {
		ru.faultf(loc, field, "%v is out of range, want %v to %v", value, low, high)
	}
}

// checkListen checks a listen address of the inventory: it must be IP:port and unique.
func (ru *run) checkListen(loc location, field, address string) {
	if problem := addressProblem(address, false); problem != "" {
		ru.faultf(loc, field, "%s", problem)
		return
	}
	path := loc.path(ru.prefix, field)
	if first, ok := ru.addresses[address]; ok {
		ru.faultf(loc, field, "address %s is taken by %s", address, first)
		return
	}
	ru.addresses[address] = path
}

func addressProblem(address string, wildcard bool) string {
	if address == "" {
		return "missing, want IP:port"
	}
	ap, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		return fmt.Sprintf("address %q is not IP:port; host names are not resolved", truncate(address))
	case ap.Port() == 0:
		return fmt.Sprintf("address %q has port 0", address)
	case ap.Addr().IsMulticast() || (!wildcard && ap.Addr().IsUnspecified()):
		return fmt.Sprintf("address %q can't be dialled", address)
	}
	return ""
}

var hexDigest = regexp.MustCompile(`^[0-9a-fA-F]{64}$`)

// checkDigest checks a token digest. The message omits the value, which may be the token
// itself.
func (ru *run) checkDigest(loc location, field, value string) {
	if !hexDigest.MatchString(value) {
		ru.faultf(loc, field, "not a SHA-256 digest of 64 hex digits")
	}
}
