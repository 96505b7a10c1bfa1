package subscription

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

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
			d, ok := h.since(follower.Revision(), tableNumber(follower))
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
	_, ok := h.since(6, 0)
	assert.Assert(t, !ok)
	_, ok = h.since(7, 0)
	assert.Assert(t, ok)
}

// randomEdit returns the configuration after one random edit.
func randomEdit(t *rapid.T, c *figpier.Configuration) *figpier.Configuration {
	next := c.Clone()
	n := rapid.IntRange(0, 3).Draw(t, "object")
	name := figpier.ProfileName(fmt.Sprint("p", n))
	digest := figpier.KeyDigest{byte(n)}
	switch rapid.SampledFrom([]string{"apply", "delete", "assign", "give", "withdraw", "table"}).Draw(t, "edit") {
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
	case "table":
		next.Table = randomTable(t, next.Table, next.Revision)
	}
	return figpier.NewConfiguration(next)
}

func encode(t *rapid.T, c *figpier.Configuration) string {
	data, err := json.Marshal(codec.FromConfiguration(c))
	assert.NilError(t, err)
	return string(data)
}

// randomTable returns a table that differs from the current one by random routes and accounts, which may be repeated, moved,
// changed, added or removed.
func randomTable(t *rapid.T, current *figpier.Table, r figpier.Revision) *figpier.Table {
	next := figpier.TableConfig{Number: uint64(r), Revision: r}
	if current != nil {
		next.Routes = append(next.Routes, current.Config().Routes...)
		next.Accounts = append(next.Accounts, current.Accounts()...)
	}
	for range rapid.IntRange(0, 3).Draw(t, "routes") {
		at := rapid.IntRange(0, len(next.Routes)).Draw(t, "at")
		if rapid.Bool().Draw(t, "remove") {
			next.Routes = slices.Delete(next.Routes, max(0, at-1), at)
			continue
		}
		added := figpier.NewHostRoute(figpier.HostRouteConfig{
			Name:    fmt.Sprint("r", rapid.IntRange(0, 5).Draw(t, "name")),
			Timeout: time.Duration(rapid.IntRange(1, 3).Draw(t, "timeout")) * time.Second,
			Parts:   []figpier.RoutePart{figpier.NewRoutePart(figpier.RoutePartConfig{Service: "s", Weight: 1})},
		})
		next.Routes = slices.Insert(next.Routes, at, added)
	}
	for range rapid.IntRange(0, 2).Draw(t, "accounts") {
		n := rapid.IntRange(0, 9).Draw(t, "customer")
		next.Accounts = append(next.Accounts, figpier.NewAccount(figpier.AccountConfig{
			Customer: figpier.CustomerID(fmt.Sprint("c", n)),
			Keys:     []figpier.KeyDigest{{byte(n)}},
		}))
	}
	return figpier.NewTable(next)
}

func tableNumber(c *figpier.Configuration) uint64 {
	if c.Table() == nil {
		return 0
	}
	return c.Table().Number()
}

func TestTableIsSentAsDifferenceWhileItsBaseIsKept(t *testing.T) {
	h := newHistory()
	for number := uint64(1); number <= maxTables+1; number++ {
		h.install(figpier.NewConfiguration(figpier.ConfigurationConfig{
			Revision: figpier.Revision(number),
			Table:    figpier.NewTable(figpier.TableConfig{Number: number, Revision: figpier.Revision(number)}),
		}))
	}
	d, ok := h.since(2, 2)
	assert.Assert(t, ok)
	assert.Assert(t, d.Table != nil && d.Changed.Table == nil)

	d, ok = h.since(1, 1)
	assert.Assert(t, ok)
	assert.Assert(t, d.Table == nil && d.Changed.Table != nil, "table 1 is no longer kept")

	d, ok = h.since(2, 7000)
	assert.Assert(t, ok)
	assert.Assert(t, d.Table == nil && d.Changed.Table != nil, "a table that this instance never had")
}

func TestNodeRefusesADifferenceFromAnotherTable(t *testing.T) {
	newTable := func(number uint64, service figpier.UpstreamService) *figpier.Table {
		return figpier.NewTable(figpier.TableConfig{Number: number, Revision: figpier.Revision(number), Services: []*figpier.TableService{
			figpier.NewTableService(figpier.TableServiceConfig{Name: service}),
		}})
	}
	h := newHistory()
	for number := uint64(1); number <= 2; number++ {
		h.install(figpier.NewConfiguration(figpier.ConfigurationConfig{Revision: figpier.Revision(number), Table: newTable(number, "a")}))
	}
	d, ok := h.since(1, 1)
	assert.Assert(t, ok)
	_, err := codec.ApplyDelta(figpier.NewConfiguration(figpier.ConfigurationConfig{Revision: 1, Table: newTable(1, "b")}), *d)
	assert.ErrorContains(t, err, "digest")
	_, err = codec.ApplyDelta(figpier.NewConfiguration(figpier.ConfigurationConfig{Revision: 1}), *d)
	assert.ErrorContains(t, err, "not the one here")
}

// TestOldTablesOfManyRoutesTakeLittleMemory guards against a history that keeps a number of routing tables whatever their size: with many
// routes these, and the differences between them, were a large part of the memory of a control instance.
func TestOldTablesOfManyRoutesTakeLittleMemory(t *testing.T) {
	const routes = 2000
	newTable := func(number int) *figpier.Table {
		c := figpier.TableConfig{Number: uint64(number), Revision: figpier.Revision(number), Document: make([]byte, 1<<20)}
		for i := range routes {
			c.Routes = append(c.Routes, figpier.NewHostRoute(figpier.HostRouteConfig{
				Name:       fmt.Sprint("r-", i),
				Host:       "a.example",
				PathPrefix: fmt.Sprintf("/p%d/", i),
				Timeout:    time.Duration(number) * time.Second,
				Parts:      []figpier.RoutePart{figpier.NewRoutePart(figpier.RoutePartConfig{Service: "s", Weight: 1})},
			}))
		}
		return figpier.NewTable(c)
	}
	h := newHistory()
	for number := 1; number <= maxTables; number++ {
		h.install(figpier.NewConfiguration(figpier.ConfigurationConfig{Revision: figpier.Revision(number), Table: newTable(number)}))
		kept := 0
		for _, k := range h.tables {
			kept += k.Size()
			assert.Equal(t, len(k.Document()), 0)
		}
		assert.Assert(t, kept <= maxTableBytes, "%d tables of %d bytes", len(h.tables), kept)
		for base := max(1, number-2); base <= number; base++ {
			d, ok := h.since(figpier.Revision(base), uint64(base))
			assert.Assert(t, ok)
			assert.Assert(t, base == number || (d.Table == nil) != (d.Changed.Table == nil))
			changes := 0
			for _, c := range h.tableChanges {
				changes += changeSize(c)
			}
			assert.Assert(t, changes <= maxChangeBytes, "%d differences of %d bytes", len(h.tableChanges), changes)
		}
	}
	d, ok := h.since(maxTables-1, maxTables-1)
	assert.Assert(t, ok)
	assert.Assert(t, d.Table != nil, "the table before the current one is kept")

	// The current table is kept whatever its size.
	h.install(figpier.NewConfiguration(figpier.ConfigurationConfig{Revision: maxTables + 1, Table: figpier.NewTable(figpier.TableConfig{
		Number: maxTables + 1, Revision: maxTables + 1, Routes: slices.Repeat(newTable(1).Config().Routes, 20),
	})}))
	assert.Equal(t, len(h.tables), 1)
}
