// Package patch creates and applies JSON Patches (RFC 6902) of configuration documents.
// List elements are matched by Name, so that an insertion doesn't change the elements
// after it.
package patch

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// maxMoves bounds the moves within a list, each of which takes time proportional to its
// length. A list that needs more is replaced as a whole.
const maxMoves = 64

// operation is one operation of a JSON Patch, with the member names of RFC 6902.
type operation struct {
	Op    string          `json:"op"`
	Path  string          `json:"path"`
	From  string          `json:"from,omitempty"`
	Value json.RawMessage `json:"value,omitempty"`
}

// New returns the patch from one JSON object to another.
func New(before, after []byte) ([]byte, error) {
	oldMembers, newMembers := map[string]json.RawMessage{}, map[string]json.RawMessage{}
	if err := json.Unmarshal(before, &oldMembers); err != nil {
		return nil, fmt.Errorf("patch: old document: %w", err)
	}
	if err := json.Unmarshal(after, &newMembers); err != nil {
		return nil, fmt.Errorf("patch: new document: %w", err)
	}
	ops := []operation{}
	for _, key := range slices.Sorted(maps.Keys(oldMembers)) {
		if _, ok := newMembers[key]; !ok {
			ops = append(ops, operation{Op: "remove", Path: pointer(key)})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(newMembers)) {
		old, ok := oldMembers[key]
		switch {
		case !ok:
			ops = append(ops, operation{Op: "add", Path: pointer(key), Value: newMembers[key]})
		case !bytes.Equal(old, newMembers[key]):
			ops = append(ops, memberOps(pointer(key), old, newMembers[key])...)
		}
	}
	return json.Marshal(ops)
}

// pointer returns the JSON Pointer (RFC 6901) of a top-level member.
func pointer(key string) string {
	return "/" + strings.NewReplacer("~", "~0", "/", "~1").Replace(key)
}

// memberOps compares a member of the object: lists by element, other values as a whole.
func memberOps(path string, oldValue, newValue json.RawMessage) []operation {
	old, oldOK := newNamedList(oldValue)
	now, nowOK := newNamedList(newValue)
	if oldOK && nowOK {
		if ops, ok := listOps(path, old, now); ok {
			return ops
		}
	}
	return []operation{{Op: "replace", Path: path, Value: newValue}}
}

// namedList is a list of objects with distinct names.
type namedList struct {
	names  []string
	byName map[string]json.RawMessage
}

func newNamedList(raw json.RawMessage) (namedList, bool) {
	var elements []json.RawMessage
	if !bytes.HasPrefix(raw, []byte("[")) || json.Unmarshal(raw, &elements) != nil {
		return namedList{}, false
	}
	li := namedList{byName: make(map[string]json.RawMessage, len(elements))}
	for _, el := range elements {
		var id struct{ Name string }
		if json.Unmarshal(el, &id) != nil || id.Name == "" || li.byName[id.Name] != nil {
			return namedList{}, false
		}
		li.names = append(li.names, id.Name)
		li.byName[id.Name] = el
	}
	return li, true
}

// listOps compares two lists by name. It returns false if too many elements have moved.
func listOps(path string, old, now namedList) (ops []operation, ok bool) {
	at := func(i int) string { return path + "/" + strconv.Itoa(i) }
	names := slices.Clone(old.names)
	for i, name := range slices.Backward(old.names) {
		if now.byName[name] == nil {
			ops = append(ops, operation{Op: "remove", Path: at(i)})
			names = slices.Delete(names, i, i+1)
		}
	}
	moves := 0
	for i, name := range now.names {
		was, known := old.byName[name]
		if !known {
			ops = append(ops, operation{Op: "add", Path: at(i), Value: now.byName[name]})
			names = slices.Insert(names, i, name)
			continue
		}
		if names[i] != name {
			if moves++; moves > maxMoves {
				return nil, false
			}
			from := i + slices.Index(names[i:], name)
			ops = append(ops, operation{Op: "move", From: at(from), Path: at(i)})
			names = slices.Insert(slices.Delete(names, from, from+1), i, name)
		}
		if !bytes.Equal(was, now.byName[name]) {
			ops = append(ops, operation{Op: "replace", Path: at(i), Value: now.byName[name]})
		}
	}
	return ops, true
}

// Join concatenates patches that apply one after the other.
func Join(patches ...[]byte) ([]byte, error) {
	all := []json.RawMessage{}
	for _, pa := range patches {
		var ops []json.RawMessage
		if err := json.Unmarshal(pa, &ops); err != nil {
			return nil, fmt.Errorf("patch: %w", err)
		}
		all = append(all, ops...)
	}
	return json.Marshal(all)
}

// Apply returns the patched document, with its members in any order. It accepts only the
// operations that New creates: add, remove, replace and move.
func Apply(document, patch []byte) (patched []byte, err error) {
	// The library panics on some malformed patches (found by FuzzApply), and
	// patches come from other processes.
	defer func() {
		if fault := recover(); fault != nil {
			patched, err = nil, fmt.Errorf("patch: malformed: %v", fault)
		}
	}()
	decoded, err := jsonpatch.DecodePatch(patch)
	if err != nil {
		return nil, fmt.Errorf("patch: %w", err)
	}
	for _, op := range decoded {
		switch kind := op.Kind(); kind {
		case "add", "remove", "replace", "move":
		default:
			return nil, fmt.Errorf("patch: operation %q is not one of add, remove, replace, move", kind)
		}
	}
	opts := jsonpatch.NewApplyOptions()
	opts.SupportNegativeIndices = false // not in RFC 6902
	patched, err = decoded.ApplyWithOptions(document, opts)
	if err != nil {
		return nil, fmt.Errorf("patch: %w", err)
	}
	return patched, nil
}
