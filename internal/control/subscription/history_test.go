package subscription

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/wire/codec"
)

// TestDeltasLeadToTheSameConfiguration checks that a node that applies deltas after random edits, and skips some polls, has
// the same configuration as the server.
func TestDeltasLeadToTheSameConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory()
		c := figpier.NewConfiguration(figpier.ConfigurationConfig{})
		h.install(c)
		follower := c
		for range rapid.IntRange(1, 40).Draw(t, "edits") {
			c = randomEdit(t, c)
			h.install(c)
			if !rapid.Bool().Draw(t, "poll") {
				continue
			}
			d, ok := h.since(follower.Revision())
			assert.Assert(t, ok)
			next, err := codec.ApplyDelta(follower, *d)
			assert.NilError(t, err)
			assert.Equal(t, encode(t, next), encode(t, c))
			follower = next
		}
	})
}

func TestDeltaIsRefusedWhenRemovalsAreForgotten(t *testing.T) {
	h := newHistory()
	h.install(figpier.NewConfiguration(figpier.ConfigurationConfig{Revision: 7}))
	_, ok := h.since(6)
	assert.Assert(t, !ok)
	_, ok = h.since(7)
	assert.Assert(t, ok)
}

// randomEdit returns the configuration after one random edit.
func randomEdit(t *rapid.T, c *figpier.Configuration) *figpier.Configuration {
	next := c.Clone()
	n := rapid.IntRange(0, 3).Draw(t, "object")
	name := figpier.ProfileName(fmt.Sprint("p", n))
	digest := figpier.KeyDigest{byte(n)}
	switch rapid.SampledFrom([]string{"apply", "delete", "assign", "give", "withdraw"}).Draw(t, "edit") {
	case "apply":
		next.Profiles[name] = figpier.NewProfile(figpier.ProfileConfig{Name: name, Revision: next.Revision})
	case "delete":
		delete(next.Profiles, name)
	case "assign":
		next.Assignments["s"] = figpier.NewAssignment(figpier.AssignmentConfig{
			Service: "s", Profile: name, Revision: next.Revision,
		})
	case "give":
		if _, ok := next.Keys[digest]; !ok {
			next.Keys[digest] = figpier.NewKey(figpier.KeyConfig{ID: fmt.Sprint("k", n), Digest: digest, Revision: next.Revision})
		}
	case "withdraw":
		delete(next.Keys, digest)
	}
	return figpier.NewConfiguration(next)
}

func encode(t *rapid.T, c *figpier.Configuration) string {
	data, err := json.Marshal(codec.FromConfiguration(c))
	assert.NilError(t, err)
	return string(data)
}
