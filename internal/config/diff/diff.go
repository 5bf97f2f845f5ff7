// Package diff compares two Fleets by the names of their elements.
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
	Reordered = "reordered" // the elements of a list stand in another order
)

// Field is a changed value. Old or New is nil if the value was not there.
type Field struct {
	Name string          `json:"Name"`
	Old  json.RawMessage `json:"Old,omitempty"`
	New  json.RawMessage `json:"New,omitempty"`
}

// Change is one difference. Path names the element by names, not positions,
// such as Services[order-desk].Calls[place-order].
type Change struct {
	Path   string  `json:"Path"`
	Kind   string  `json:"Kind"`
	Fields []Field `json:"Fields,omitempty"`
}

// Diff is the difference of two Fleets in the order of the document.
type Diff struct {
	Changes []Change `json:"Changes"`
}

// New compares two Fleets. Version is left out, since the table gives it.
func New(before, after *citronstream.Fleet) *Diff {
	di := &Diff{Changes: []Change{}}
	old, now := *before, *after
	old.Version, now.Version = 0, 0
	di.element("", reflect.ValueOf(old), reflect.ValueOf(now))
	return di
}

// Empty is true if the Fleets are the same but for their version.
func (di *Diff) Empty() bool { return len(di.Changes) == 0 }

// element compares two structs of one type.
func (di *Diff) element(path string, before, after reflect.Value) {
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
		case named(old.Type()):
			di.list(inner, old, now)
		case old.Kind() == reflect.Struct:
			di.element(inner, old, now)
		default:
			if was, is := encode(name, old), encode(name, now); string(was) != string(is) || !equal(old, now) {
				fields = append(fields, Field{Name: name, Old: was, New: is})
			}
		}
	}
	if len(fields) > 0 {
		change := Change{Path: path, Kind: Changed, Fields: fields}
		di.Changes = append(di.Changes[:at], append([]Change{change}, di.Changes[at:]...)...)
	}
}

// equal treats an absent list like an empty one, as JSON with omitempty does.
func equal(old, now reflect.Value) bool {
	if old.Kind() == reflect.Slice && old.Len() == 0 && now.Len() == 0 {
		return true
	}
	return reflect.DeepEqual(old.Interface(), now.Interface())
}

// named is true for a list of structs with a Name.
func named(ty reflect.Type) bool {
	if ty.Kind() != reflect.Slice || ty.Elem().Kind() != reflect.Struct {
		return false
	}
	_, ok := ty.Elem().FieldByName("Name")
	return ok
}

// encode returns the value as JSON and nil for an empty list. Token digests
// are left out, since an offline search can find a weak token from its digest.
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

func index(list reflect.Value) (map[string]int, []string) {
	at, names := make(map[string]int, list.Len()), make([]string, list.Len())
	for i := range list.Len() {
		names[i] = list.Index(i).FieldByName("Name").String()
		at[names[i]] = i
	}
	return at, names
}

func (di *Diff) list(path string, before, after reflect.Value) {
	oldAt, oldNames := index(before)
	nowAt, nowNames := index(after)
	var stayed, stay []string
	for _, name := range oldNames {
		if _, ok := nowAt[name]; ok {
			stayed = append(stayed, name)
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
		stay = append(stay, name)
		di.element(inner, before.Index(j), after.Index(i))
	}
	// The order carries meaning for ranks and stages.
	if !reflect.DeepEqual(stayed, stay) {
		di.Changes = append(di.Changes, Change{Path: path, Kind: Reordered})
	}
}

// Write writes the difference for people: a line for each change and, below
// a changed element, a line for each field.
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
			fmt.Fprintf(&sb, "    %s: %s -> %s\n", fi.Name, shown(fi.Old), shown(fi.New))
		}
	}
	if di.Empty() {
		sb.WriteString("no difference\n")
	}
	_, err := io.WriteString(wr, sb.String())
	return err
}

func shown(raw json.RawMessage) string {
	if raw == nil {
		return "none"
	}
	return string(raw)
}
