package jsonc

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a file that is refused for a value that a template left empty.
func TestParseRenderedTakesEmptyFieldsAsMissing(t *testing.T) {
	tests := []struct {
		name, text string
		want       time.Duration
		problem    string // what is wrong with the file, empty if it is accepted
	}{
		{"missing", `{}`, 0, ""},
		{"empty text", `{"wait": ""}`, 0, ""},
		{"no value", `{"wait": }`, 0, ""},
		{"no value before another field", `{"wait":,"name":"a"}`, 0, ""},
		{"no value before a comment", "{\"wait\": /* , */ // }\n}", 0, ""},
		{"a value", `{"wait": "2s"}`, 2 * time.Second, ""},
		{"a space", `{"wait": " "}`, 0, `f:1: wait: want a length of time with a unit such as "250ms" or "4s"`},
		{"null", `{"wait": null}`, 0, `f:1: wait: want a text with a unit such as "250ms" or "4s"`},
		{"a number", `{"wait": 2}`, 0, `f:1: wait: want a text with a unit such as "250ms" or "4s"`},
		{"an empty field that is unknown", "{\n\"wiat\": }", 0, "f:2: wiat: the field is unknown: it is misspelt or stands in the wrong place"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d, err := ParseRendered("f", []byte(tt.text))
			assert.NilError(t, err)
			root := d.Root()
			wait := root.Optional("wait").Duration(time.Second, time.Minute)
			root.Optional("name")
			root.RejectUnknown()
			if tt.problem != "" {
				assert.Error(t, d.Err(), tt.problem)
				return
			}
			assert.NilError(t, d.Err())
			assert.Equal(t, wait, tt.want)
		})
	}
}

func TestParseRenderedNamesEachEmptyRequiredField(t *testing.T) {
	d, err := ParseRendered("f", []byte("{\n\"name\": \"\",\n\"count\": ,\n\"on\": }"))
	assert.NilError(t, err)
	root := d.Root()
	root.Required("name").Text()
	root.Required("count").Integer(0, 9)
	root.Required("on").Bool()
	root.Required("absent").Text()
	assert.Error(t, d.Err(), "f:1: absent: the field is missing\nf:2: name: the field is empty\nf:3: count: the field is empty\nf:4: on: the field is empty")
}

func TestParseRefusesEmptyFields(t *testing.T) {
	d, err := Parse("f", []byte(`{"wait": ""}`))
	assert.NilError(t, err)
	d.Root().Optional("wait").Duration(time.Second, time.Minute)
	assert.ErrorContains(t, d.Err(), "f:1: wait: want a length of time")

	_, err = Parse("f", []byte(`{"wait": }`))
	var problems *ProblemsError
	assert.Assert(t, errors.As(err, &problems))
}

func FuzzFillMissingValues(f *testing.F) {
	for _, seed := range []string{`{"a": }`, `{"a": ,"b": "c:,"}`, "{// : ,\n\"a\": /* } */}", `{"a": [ , ], "b": {`, `:,"\`, `/*:,`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		filled := fillMissingValues(data)
		assert.Equal(t, bytes.Count(filled, []byte("\n")), bytes.Count(data, []byte("\n")))
		if _, err := Parse("f", data); err == nil {
			assert.DeepEqual(t, filled, data)
		}
	})
}
