package patch_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/citronstream/citronstream/internal/config/patch"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against patches whose size depends on the document instead of the change.
func TestNew(t *testing.T) {
	const before = `{"Version":1,"Site":"s","Models":[{"Name":"a"},{"Name":"b"},{"Name":"c"}],"Limits":{"Retries":1}}`
	for _, tc := range []struct{ name, after, want string }{
		{"nothing", before, `[]`},
		{"a field", `{"Version":1,"Site":"t","Models":[{"Name":"a"},{"Name":"b"},{"Name":"c"}],"Limits":{"Retries":1}}`, `[{"op":"replace","path":"/Site","value":"t"}]`},
		{
			"an element in the middle", `{"Version":1,"Site":"s","Models":[{"Name":"a"},{"Name":"n"},{"Name":"b"},{"Name":"c"}],"Limits":{"Retries":1}}`,
			`[{"op":"add","path":"/Models/1","value":{"Name":"n"}}]`,
		},
		{
			"an element removed and one changed", `{"Version":1,"Site":"s","Models":[{"Name":"b"},{"Name":"c","Bytes":1}],"Limits":{"Retries":1}}`,
			`[{"op":"remove","path":"/Models/0"},{"op":"replace","path":"/Models/1","value":{"Name":"c","Bytes":1}}]`,
		},
		{
			"another order", `{"Version":1,"Site":"s","Models":[{"Name":"c"},{"Name":"a"},{"Name":"b"}],"Limits":{"Retries":1}}`,
			`[{"op":"move","path":"/Models/0","from":"/Models/2"}]`,
		},
		{
			"two elements with the same name", `{"Version":1,"Site":"s","Models":[{"Name":"c"},{"Name":"c"}],"Limits":{"Retries":1}}`,
			`[{"op":"replace","path":"/Models","value":[{"Name":"c"},{"Name":"c"}]}]`,
		},
		{"a list removed", `{"Version":1,"Site":"s","Models":null}`, `[{"op":"remove","path":"/Limits"},{"op":"replace","path":"/Models","value":null}]`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			pa, err := patch.New([]byte(before), []byte(tc.after))
			require.NoError(t, err)
			assert.JSONEq(t, tc.want, string(pa))
			got, err := patch.Apply([]byte(before), pa)
			require.NoError(t, err)
			assert.JSONEq(t, tc.after, string(got))
		})
	}
}

// document generates an object with lists of named elements in any order.
func document(t *rapid.T, label string) []byte {
	doc := map[string]any{"Version": rapid.IntRange(0, 9).Draw(t, label+" version")}
	for _, key := range []string{"Up/stre~ams", "Models"} {
		if rapid.IntRange(0, 9).Draw(t, label+" absent") == 0 {
			continue
		}
		names := rapid.SliceOfDistinct(rapid.IntRange(0, 200), rapid.ID).Draw(t, label+" names")
		elements := make([]any, 0, len(names))
		for _, name := range names {
			elements = append(elements, map[string]any{"Name": fmt.Sprint(name), "Weight": rapid.IntRange(0, 2).Draw(t, label+" weight")})
		}
		doc[key] = elements
	}
	text, err := json.Marshal(doc)
	require.NoError(t, err)
	return text
}

// Guards against a patch that results in another document, alone or joined with later
// patches.
func TestApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := document(t, "first")
		before, joined := first, []byte("[]")
		for range 3 {
			after := document(t, "next")
			pa, err := patch.New(before, after)
			require.NoError(t, err)
			got, err := patch.Apply(before, pa)
			require.NoError(t, err, "%s", pa)
			require.JSONEq(t, string(after), string(got))
			joined, err = patch.Join(joined, pa)
			require.NoError(t, err)
			got, err = patch.Apply(first, joined)
			require.NoError(t, err)
			require.JSONEq(t, string(after), string(got))
			before = after
		}
	})
}

// Guards against a panic on a patch from a peer, which is untrusted input.
func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"a":[{"Name":"x"}]}`), []byte(`[{"op":"add","path":"/a/0","value":{"Name":"y"}}]`))
	f.Add([]byte(`{"a":[1]}`), []byte(`[{"op":"move","from":"/a/0","path":"/a/-"},{"op":"test","path":"/a","value":null}]`))
	f.Add([]byte(`{"a":null}`), []byte(`[{"op":"copy","from":"","path":"/a/b"}]`))
	f.Add([]byte(`{}`), []byte(`[{"op":"replace","path":"/a/99999999999999999999","value":1},null]`))
	f.Add([]byte(`null`), []byte(`[{"op":"remove"}]`))
	f.Fuzz(func(t *testing.T, doc, pa []byte) {
		got, err := patch.Apply(doc, pa)
		if err != nil && got != nil {
			t.Fatalf("got a document of %d bytes with error %v", len(got), err)
		}
	})
}
