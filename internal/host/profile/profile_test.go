package profile

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/host/jsonc"
)

const sample = `{
  // Holds have the highest priority.
  "name": "booking",
  "routes": [
    {"method": "POST", "path": "/holds", "priority": 0, "idempotent": false, "deadline": "2s"},
    {"method": "GET", "path": "/dates/*", "priority": 5, "idempotent": true, "open": true, "deadline": "750ms"},
  ],
  "defaultLimit": {"rate": "50/s", "burst": 100},
  "limits": {"valv": {"rate": "0.5/s", "burst": 2}},
  "weights": {"valv": 2.5},
  "retry": {"treeBudget": 3, "share": 0.1, "callerInterval": "200ms"},
}
`

func TestParse(t *testing.T) {
	p, err := Parse("booking.json", []byte(sample))
	assert.NilError(t, err)
	r, ok := p.Match("GET", "/dates/2026-12-24")
	assert.Assert(t, ok)
	assert.Assert(t, r.Open())
	assert.Equal(t, r.Deadline(), 750*time.Millisecond)
	assert.Equal(t, p.Limit("valv").Rate(), 0.5)
	assert.Equal(t, p.Limit("other").Burst(), 100.0)
	assert.Equal(t, p.Weight("valv"), 2.5)
	assert.Equal(t, p.Retry().TreeBudget(), 3)
	assert.Equal(t, p.Name(), figpier.ProfileName("booking"))
}

func TestWriteRoundTrip(t *testing.T) {
	p, err := Parse("booking.json", []byte(sample))
	assert.NilError(t, err)
	first, err := Write(p)
	assert.NilError(t, err)
	again, err := Parse("written.json", first)
	assert.NilError(t, err)
	second, err := Write(again)
	assert.NilError(t, err)
	assert.Equal(t, string(first), string(second))
}

func TestParseRejectsInvalidFile(t *testing.T) {
	const tail = `"defaultLimit": {"rate": "1/s", "burst": 1},
"retry": {"treeBudget": 3, "share": 0.1, "callerInterval": "1s"}}`
	route := func(fields string) string {
		return "{\"name\": \"p\", \"routes\": [\n{" + fields + "}],\n" + tail
	}
	const good = `"method": "GET", "path": "/a", "priority": 1, "idempotent": true, `
	tests := []struct {
		name  string
		text  string
		line  int
		field string
	}{
		{"syntax", "{\n\"name\" \"p\"}", 2, ""},
		{"not an object", `[]`, 1, ""},
		{"missing name", "{\"routes\": [],\n" + tail, 1, "name"},
		{"unknown field", route(good + `"deadline": "1s", "dedline": "1s"`), 2, "routes[0].dedline"},
		{"duplicate field", route(good + `"deadline": "1s", "deadline": "2s"`), 2, "routes[0].deadline"},
		{"deadline without unit", route(good + `"deadline": 5`), 2, "routes[0].deadline"},
		{"deadline text without unit", route(good + `"deadline": "5"`), 2, "routes[0].deadline"},
		{"deadline too long", route(good + `"deadline": "2h"`), 2, "routes[0].deadline"},
		{"priority out of range", route(`"method": "GET", "path": "/a", "priority": 10, "idempotent": true, "deadline": "1s"`), 2, "routes[0].priority"},
		{"priority with fraction", route(`"method": "GET", "path": "/a", "priority": 1.5, "idempotent": true, "deadline": "1s"`), 2, "routes[0].priority"},
		{"method in lower case", route(`"method": "get", "path": "/a", "priority": 1, "idempotent": true, "deadline": "1s"`), 2, "routes[0].method"},
		{"path without slash", route(`"method": "GET", "path": "a", "priority": 1, "idempotent": true, "deadline": "1s"`), 2, "routes[0].path"},
		{"wildcard inside path", route(`"method": "GET", "path": "/a*b/*", "priority": 1, "idempotent": true, "deadline": "1s"`), 2, "routes[0].path"},
		{"idempotent missing", route(`"method": "GET", "path": "/a", "priority": 1, "deadline": "1s"`), 2, "routes[0].idempotent"},
		{"rate without unit", "{\"name\": \"p\", \"routes\": [],\n\"limits\": {\"c\": {\"rate\": 5, \"burst\": 1}},\n" + tail, 2, "limits.c.rate"},
		{"rate in another unit", "{\"name\": \"p\", \"routes\": [],\n\"limits\": {\"c\": {\"rate\": \"5/h\", \"burst\": 1}},\n" + tail, 2, "limits.c.rate"},
		{"rate as text without unit", "{\"name\": \"p\", \"routes\": [],\n\"limits\": {\"c\": {\"rate\": \"5\", \"burst\": 1}},\n" + tail, 2, "limits.c.rate"},
		{"negative burst", "{\"name\": \"p\", \"routes\": [],\n\"limits\": {\"c\": {\"rate\": \"5/s\", \"burst\": -1}},\n" + tail, 2, "limits.c.burst"},
		{"zero weight", "{\"name\": \"p\", \"routes\": [],\n\"weights\": {\"c\": 0},\n" + tail, 2, "weights.c"},
		{"empty customer name", "{\"name\": \"p\", \"routes\": [],\n\"weights\": {\"\": 1},\n" + tail, 2, "weights."},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse("p.json", []byte(tt.text))
			var problems *jsonc.ProblemsError
			assert.Assert(t, errors.As(err, &problems), "%v", err)
			assert.Equal(t, problems.First().File(), "p.json")
			assert.Equal(t, problems.First().Field(), tt.field, "%v", err)
			assert.Equal(t, problems.First().Line(), tt.line, "%v", err)
		})
	}
}

func TestExampleIsAccepted(t *testing.T) {
	_, err := Read("../../../examples/venues.jsonc")
	assert.NilError(t, err)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte(`{"name": "p", "routes": [{}], "limits": {"": 1}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := Parse("fuzz", data)
		if err != nil {
			var problems *jsonc.ProblemsError
			assert.Assert(t, errors.As(err, &problems))
			return
		}
		written, err := Write(p)
		assert.NilError(t, err)
		_, err = Parse("written", written)
		assert.NilError(t, err)
	})
}
