// Package diff compares two Fleets, matching list elements by name.
package diff

import (
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/citronstream/citronstream"
)

// Kinds of a Change.
const (
	Added     = "added"
	Removed   = "removed"
	Changed   = "changed"
	Reordered = "reordered" // elements of a list in another order
)

// Field is a changed value. Old or New is nil if the value is absent there.
type Field struct {
	Name string          `json:"Name"`
	Old  json.RawMessage `json:"Old,omitempty"`
	New  json.RawMessage `json:"New,omitempty"`
}

// Change is one difference. Path identifies elements by name instead of position, such as
// Services[order-desk].Calls[place-order].
type Change struct {
	Path   string  `json:"Path"`
	Kind   string  `json:"Kind"`
	Fields []Field `json:"Fields,omitempty"`
}

// Diff is the difference between two Fleets, in document order.
type Diff struct {
	Changes []Change `json:"Changes"`
}

// New compares two Fleets. It ignores Version, which the table assigns.
func New(before, after *citronstream.Fleet) *Diff {
	di := &Diff{Changes: []Change{}}
	old, now := *before, *after
	old.Version, now.Version = 0, 0
	di.compareStructs("", reflect.ValueOf(old), reflect.ValueOf(now))
	return di
}

// Empty is true if the Fleets are equal except for their version.
func (di *Diff) Empty() bool { return len(di.Changes) == 0 }

// compareStructs compares two structs of the same type.
func (di *Diff) compareStructs(path string, before, after reflect.Value) {
	at := len(di.Changes)
	var fields []Field
	for i := range before.NumField() {
		name := before.Type().Field(i).Name
		old, now := before.Field(i), after.Field(i)
		inner := name
		if path != "" {
			inner = path + "." + name
		}
		switch {
		case isNamedList(old.Type()):
			di.compareLists(inner, old, now)
		case old.Kind() == reflect.Struct:
			di.compareStructs(inner, old, now)
		default:
			if oldText, newText := encode(name, old), encode(name, now); string(oldText) != string(newText) || !equal(old, now) {
				fields = append(fields, Field{Name: name, Old: oldText, New: newText})
			}
		}
	}
	if len(fields) > 0 {
		change := Change{Path: path, Kind: Changed, Fields: fields}
		di.Changes = append(di.Changes[:at], append([]Change{change}, di.Changes[at:]...)...)
	}
}

// equal treats an absent list as an empty one, like JSON with omitempty.
func equal(old, now reflect.Value) bool {
	if old.Kind() == reflect.Slice && old.Len() == 0 && now.Len() == 0 {
		return true
	}
	return reflect.DeepEqual(old.Interface(), now.Interface())
}

// isNamedList is true for a list of structs with a Name.
func isNamedList(ty reflect.Type) bool {
	if ty.Kind() != reflect.Slice || ty.Elem().Kind() != reflect.Struct {
		return false
	}
	_, ok := ty.Elem().FieldByName("Name")
	return ok
}

// encode returns the value as JSON, or nil for an empty list. Token digests are hidden,
// since a weak token can be found from its digest by offline search.
func encode(name string, rv reflect.Value) json.RawMessage {
	if rv.Kind() == reflect.Slice && rv.Len() == 0 {
		return nil
	}
	if strings.HasPrefix(name, "Token") {
		if rv.Len() == 0 {
			return nil
		}
		return json.RawMessage(`"(hidden)"`)
	}
	raw, err := json.Marshal(rv.Interface())
	if err != nil {
		raw, _ = json.Marshal(err.Error())
	}
	return raw
}

func indexByName(list reflect.Value) (map[string]int, []string) {
	at, names := make(map[string]int, list.Len()), make([]string, list.Len())
	for i := range list.Len() {
		names[i] = list.Index(i).FieldByName("Name").String()
		at[names[i]] = i
	}
	return at, names
}

func (di *Diff) compareLists(path string, before, after reflect.Value) {
	oldAt, oldNames := indexByName(before)
	nowAt, nowNames := indexByName(after)
	var keptOld, keptNew []string
	for _, name := range oldNames {
		if _, ok := nowAt[name]; ok {
			keptOld = append(keptOld, name)
		} else {
			di.Changes = append(di.Changes, Change{Path: path + "[" + name + "]", Kind: Removed})
		}
	}
	for i, name := range nowNames {
		inner := path + "[" + name + "]"
		j, ok := oldAt[name]
		if !ok {
			di.Changes = append(di.Changes, Change{Path: inner, Kind: Added})
			continue
		}
		keptNew = append(keptNew, name)
		di.compareStructs(inner, before.Index(j), after.Index(i))
	}
	// The order of ranks and stages is significant.
	if !reflect.DeepEqual(keptOld, keptNew) {
		di.Changes = append(di.Changes, Change{Path: path, Kind: Reordered})
	}
}

// Write writes the difference as text: a line for each change and, indented below it, a
// line for each changed field.
func (di *Diff) Write(wr io.Writer) error {
	signs := map[string]string{Added: "+", Removed: "-", Changed: "~", Reordered: "~"}
	var sb strings.Builder
	for _, ch := range di.Changes {
		path := ch.Path
		if path == "" {
			path = "Fleet"
		}
		fmt.Fprintf(&sb, "%s %s %s\n", signs[ch.Kind], path, ch.Kind)
		for _, fi := range ch.Fields {
			fmt.Fprintf(&sb, "    %s: %s -> %s\n", fi.Name, display(fi.Old), display(fi.New))
		}
	}
	if di.Empty() {
		sb.WriteString("no difference\n")
	}
	_, err := io.WriteString(wr, sb.String())
	return err
}

func display(raw json.RawMessage) string {
	if raw == nil {
		return "none"
	}
	return string(raw)
}
