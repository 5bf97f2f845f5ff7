package version

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/citronstream/citronstream"
)

// Change is one difference between two fleets. Name is empty for a part of the
// document that isn't a list.
type Change struct {
	Part string // top-level key
	Name string
	Kind string // added, removed or changed
}

// String returns the change in the form used in error messages.
func (ch Change) String() string {
	if ch.Name == "" {
		return ch.Part + " " + ch.Kind
	}
	return ch.Part + " " + ch.Name + " " + ch.Kind
}

// Diff compares the top-level parts of two fleets, lists by the Name of their
// elements. It ignores the version.
func Diff(from, to *citronstream.Fleet) []Change {
	oldParts, newParts := topLevelParts(from), topLevelParts(to)
	var changes []Change
	for key := range newParts {
		if key == "Version" || bytes.Equal(oldParts[key], newParts[key]) {
			continue
		}
		old, oldOK := byName(oldParts[key])
		now, nowOK := byName(newParts[key])
		if !oldOK || !nowOK {
			changes = append(changes, Change{key, "", "changed"})
			continue
		}
		before := len(changes)
		for name, text := range now {
			if prior, ok := old[name]; !ok {
				changes = append(changes, Change{key, name, "added"})
			} else if !bytes.Equal(prior, text) {
				changes = append(changes, Change{key, name, "changed"})
			}
		}
		for name := range old {
			if _, ok := now[name]; !ok {
				changes = append(changes, Change{key, name, "removed"})
			}
		}
		if len(changes) == before && len(old) > 0 {
			changes = append(changes, Change{key, "", "changed"}) // another order
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.String(), b.String()) })
	return changes
}

func topLevelParts(fl *citronstream.Fleet) map[string]json.RawMessage {
	text, _ := json.Marshal(fl) // marshalling a Fleet can't fail
	out := make(map[string]json.RawMessage)
	_ = json.Unmarshal(text, &out)
	return out
}

// byName indexes a list by the Name of its elements. It returns false if the text is
// not a list.
func byName(text json.RawMessage) (map[string]json.RawMessage, bool) {
	var list []json.RawMessage
	if json.Unmarshal(text, &list) != nil {
		return nil, false
	}
	out := make(map[string]json.RawMessage, len(list))
	for _, el := range list {
		var id struct{ Name string }
		if json.Unmarshal(el, &id) != nil {
			return nil, false
		}
		out[id.Name] = el
	}
	return out, true
}

// ConflictError reports that another change was accepted first. It matches
// citronstream.ErrConflict.
type ConflictError struct {
	Base   uint64
	Winner Record
	// Changes lead from the accepted document to the rejected one. It is nil if the
	// accepted document could not be read.
	Changes []Change
}

// Error implements error.
func (ce *ConflictError) Error() string {
	const shown = 8
	text := fmt.Sprintf("version %d by %s was accepted before this change to version %d", ce.Winner.Version, ce.Winner.Author, ce.Base)
	var listed []string
	for _, ch := range ce.Changes[:min(shown, len(ce.Changes))] {
		listed = append(listed, ch.String())
	}
	if len(listed) > 0 {
		text += "; differs in " + strings.Join(listed, ", ")
	}
	if more := len(ce.Changes) - shown; more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	return text
}

// Is makes errors.Is(err, citronstream.ErrConflict) true.
func (ce *ConflictError) Is(target error) bool { return target == citronstream.ErrConflict }
