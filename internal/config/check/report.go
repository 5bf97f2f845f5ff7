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

// place is a position in the document. Its text is built only for a fault.
type place struct {
	section string
	index   int
	sub     string // list inside the element, or ""
	subAt   int
}

func (pl place) text(prefix, field string) string {
	text := pl.section
	if prefix != "" {
		text = prefix + "." + text
	}
	if pl.index >= 0 {
		text += "[" + strconv.Itoa(pl.index) + "]"
	}
	if pl.sub != "" {
		text += "." + pl.sub + "[" + strconv.Itoa(pl.subAt) + "]"
	}
	if field != "" {
		text += "." + field
	}
	return text
}

func top(section string) place              { return place{section: section, index: -1} }
func item(section string, i int) place      { return place{section: section, index: i} }
func (pl place) in(sub string, j int) place { pl.sub, pl.subAt = sub, j; return pl }

// bad records a fault of the Fleet unless the value at fault, or one around it, could not be read.
func (ru *run) bad(pl place, field, format string, args ...any) {
	ru.record(pl.text(ru.prefix, field), false, format, args...)
}

func (ru *run) warn(pl place, field, format string, args ...any) {
	ru.record(pl.text(ru.prefix, field), true, format, args...)
}

func (ru *run) record(path string, warning bool, format string, args ...any) {
	for rest := path; rest != ""; {
		if ru.broken[rest] {
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

// validName keeps names usable as parts of table row keys such as "Grant/<upstream>".
var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// ValidName is true for a name that the checker accepts.
func ValidName(name string) bool { return validName.MatchString(name) }

// names checks the names of a list and returns their positions.
func (ru *run) names(count int, at func(i int) place, name func(i int) string) map[string]int {
	index := make(map[string]int, count)
	for i := range count {
		ru.name(at(i), name(i))
		if first, ok := index[name(i)]; ok && name(i) != "" {
			ru.bad(at(i), "Name", "duplicate name %q, first at %s", name(i), at(first).text(ru.prefix, ""))
			continue
		}
		index[name(i)] = i
	}
	return index
}

func (ru *run) name(pl place, name string) {
	switch {
	case name == "":
		ru.bad(pl, "Name", "missing")
	case !validName.MatchString(name):
		ru.bad(pl, "Name", "invalid name %q, want 1 to 128 of letters, digits, '.', '_' and '-', starting with a letter or digit", clip(name))
	}
}

func clip(text string) string {
	if len(text) > 64 {
		return text[:64] + "..."
	}
	return text
}

// refer checks a reference by name to an element of a section.
func (ru *run) refer(pl place, field, section, kind, name string, index map[string]int) (int, bool) {
	i, ok := index[name]
	if ok && name != "" {
		return i, true
	}
	switch {
	case ru.noNames[section]:
	case name == "":
		ru.bad(pl, field, "missing, want the name of a %s", kind)
	default:
		ru.bad(pl, field, "unknown %s %q, known: %s", kind, clip(name), known(slices.Sorted(maps.Keys(index))))
	}
	return 0, false
}

// known lists up to 20 names; a full-size fleet has thousands.
func known(names []string) string {
	const most = 20
	names = slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == "" })
	switch {
	case len(names) == 0:
		return "none"
	case len(names) > most:
		return fmt.Sprintf("%s and %d more", strings.Join(names[:most], ", "), len(names)-most)
	}
	return strings.Join(names, ", ")
}

// within checks a number against its bounds, both included.
func within[N int | int64 | float64](ru *run, pl place, field string, value, low, high N) {
	if value < low || value > high {
		ru.bad(pl, field, "%v is out of range, want %v to %v", value, low, high)
	}
}

// listen checks an address of the inventory: IP:port, one user each.
func (ru *run) listen(pl place, field, address string) {
	if problem := addressProblem(address, false); problem != "" {
		ru.bad(pl, field, "%s", problem)
		return
	}
	path := pl.text(ru.prefix, field)
	if first, ok := ru.addresses[address]; ok {
		ru.bad(pl, field, "address %s is taken by %s", address, first)
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
		return fmt.Sprintf("address %q is not IP:port; host names are not resolved", clip(address))
	case ap.Port() == 0:
		return fmt.Sprintf("address %q has port 0", address)
	case ap.Addr().IsMulticast() || (!wildcard && ap.Addr().IsUnspecified()):
		return fmt.Sprintf("address %q can't be dialled", address)
	}
	return ""
}

var hexDigest = regexp.MustCompile(`^[0-9a-fA-F]{64}$`)

// digest checks a token digest. The text never repeats the value, which may be the token itself.
func (ru *run) digest(pl place, field, value string) {
	if !hexDigest.MatchString(value) {
		ru.bad(pl, field, "not a SHA-256 digest of 64 hex digits")
	}
}
