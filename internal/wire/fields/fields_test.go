package fields

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestNamesOfObjects(t *testing.T) {
	cases := []struct {
		value string
		lacks bool
	}{
		{`{"a":1}`, false},
		{` { "b" : [ {"a":2}, "}" ] , "a" : null } `, false},
		{`{"b":"\\","a":"\"}"}`, false},
		{`{"\u0061":1}`, false},
		{`{}`, true},
		{`{"b":{"a":1}}`, true},
		{`{"b":["a"],"c":"a\\\",\"a\":1"}`, true},
		{`{"A":1}`, true},
		{`null`, false},
		{`["b"]`, false},
		{`"b"`, false},
		{``, false},
	}
	for _, c := range cases {
		assert.Equal(t, Of([]byte(c.value)).Lacks("a"), c.lacks, "%s", c.value)
	}
}

// TestNamesAreThoseThatDecodingFinds compares the names of random objects with those that encoding/json finds.
func TestNamesAreThoseThatDecodingFinds(t *testing.T) {
	names := rapid.SampledFrom([]string{"a", "b", `\`, `"`, `a"`, `\"`, "{", "ä", "a,b"})
	values := rapid.SampledFrom([]any{nil, 1.5, true, "", `"`, `\`, `}"`, "a", []any{"a", []any{}}, map[string]any{"a": "]"}})
	rapid.Check(t, func(t *rapid.T) {
		object := rapid.MapOf(names, values).Draw(t, "object")
		text, err := json.MarshalIndent(object, " ", rapid.SampledFrom([]string{"", "\t"}).Draw(t, "indent"))
		assert.NilError(t, err)
		n := Of(text)
		for _, name := range []string{"a", "b", `\`, `"`, `a"`, `\"`, "{", "ä", "a,b"} {
			_, ok := object[name]
			assert.Equal(t, n.Lacks(name), !ok, "%s in %s", name, text)
		}
	})
}
