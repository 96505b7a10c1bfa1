package catalog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/wire/codec"
	"github.com/figpier/figpier/internal/wire/message"
)

// recordingLog implements the part of figpier.ReplicatedLog that takes proposals. It applies them at once.
type recordingLog struct {
	figpier.ReplicatedLog
	catalog  *Catalog
	commands [][]byte
}

func (l *recordingLog) Propose(_ context.Context, command []byte) (any, error) {
	l.commands = append(l.commands, command)
	return l.catalog.Apply(uint64(len(l.commands)), command), nil
}

func newCatalog() (*Catalog, *recordingLog) {
	c := New()
	l := &recordingLog{catalog: c}
	c.log = l
	return c, l
}

// newTableEdit returns an edit that replaces table number base by one with a document of many rows, of which one is changed.
func newTableEdit(operation string, base, number uint64, changed string) *figpier.Edit {
	rows := []string{}
	for i := range 200 {
		rows = append(rows, fmt.Sprintf("[\"customer-%d\",\"key-%d\"]", i, i*7919))
	}
	rows[100] = "[\"" + changed + "\"]"
	return figpier.NewEdit(figpier.EditConfig{
		Operation: figpier.OperationID(operation),
		Kind:      figpier.EditReplaceTable,
		Base:      figpier.Revision(base),
		Table: figpier.NewTable(figpier.TableConfig{
			Number:   number,
			Services: []*figpier.TableService{figpier.NewTableService(figpier.TableServiceConfig{Name: figpier.UpstreamService(changed)})},
			Document: []byte("[" + strings.Join(rows, ",") + "]"),
		}),
	})
}

func submit(t *testing.T, c *Catalog, e *figpier.Edit) {
	t.Helper()
	_, err := c.Submit(t.Context(), e)
	assert.NilError(t, err)
}

func TestChangedTableIsStoredAsDifference(t *testing.T) {
	c, l := newCatalog()
	submit(t, c, newTableEdit("first", 0, 1, "a"))
	second := newTableEdit("second", 1, 2, "b")
	submit(t, c, second)
	assert.Assert(t, len(l.commands[1]) < len(l.commands[0])/5, "%d and %d bytes", len(l.commands[0]), len(l.commands[1]))
	assert.Equal(t, string(c.Configuration().Table().Document()), string(second.Table().Document()))
	assert.Equal(t, c.Configuration().Table().Services()[0].Name(), figpier.UpstreamService("b"))

	replayed, _ := newCatalog()
	for i, command := range l.commands {
		replayed.Apply(uint64(i+1), command)
	}
	a, err := c.Snapshot()
	assert.NilError(t, err)
	b, err := replayed.Snapshot()
	assert.NilError(t, err)
	assert.Equal(t, string(a), string(b))
}

// TestDifferenceFromAnotherTableConflicts covers two operators whose edits build on the same table: the log applies the
// difference of the second one on another table than its own.
func TestDifferenceFromAnotherTableConflicts(t *testing.T) {
	c, l := newCatalog()
	submit(t, c, newTableEdit("first", 0, 1, "a"))
	loser := newTableEdit("loser", 1, 2, "b")
	command, err := json.Marshal(codec.FromEdit(loser, c.Configuration().Table()))
	assert.NilError(t, err)
	submit(t, c, newTableEdit("winner", 1, 2, "c"))

	conflict := (*figpier.ConflictError)(nil)
	for range 2 {
		result := c.Apply(9, command).(editResult)
		assert.Assert(t, errors.As(result.err, &conflict), "%v", result.err)
		assert.Equal(t, conflict.Current(), figpier.Revision(2))
	}
	assert.Equal(t, c.Configuration().Table().Services()[0].Name(), figpier.UpstreamService("c"))
	// A resend of the winner, whole or as a difference, gets its first answer.
	result := c.Apply(10, l.commands[1]).(editResult)
	assert.NilError(t, result.err)
	submit(t, c, newTableEdit("winner", 1, 2, "c"))
}

// TestMalformedCommandsChangeNothing guards against a command that another process proposed and that every instance would
// fail on, again at each restart.
func TestMalformedCommandsChangeNothing(t *testing.T) {
	c, _ := newCatalog()
	submit(t, c, newTableEdit("first", 0, 1, "a"))
	before, err := c.Snapshot()
	assert.NilError(t, err)
	edit := codec.FromEdit(newTableEdit("second", 1, 2, "b"), c.Configuration().Table())
	delta := *edit.TableDelta
	changes := map[string]func(d *message.TableDelta){
		"runs beyond the base":     func(d *message.TableDelta) { d.Services = []message.ServiceRun{{From: 1 << 60, Count: 1 << 60}} },
		"a negative run":           func(d *message.TableDelta) { d.Routes = []message.RouteRun{{From: -1, Count: 1}} },
		"another digest":           func(d *message.TableDelta) { d.Digest = "0" },
		"no document digest":       func(d *message.TableDelta) { d.DocumentDigest = nil },
		"an endless document":      func(d *message.TableDelta) { d.Document = repeatRun(message.DocumentRun{From: 0, Count: 200}, 10_000) },
		"a document not in base64": func(d *message.TableDelta) { d.Document = []message.DocumentRun{{Text: new("%")}} },
	}
	commands := map[string]string{
		"no JSON":                  "{",
		"nothing":                  "{}",
		"a table edit without one": `{"operation":"x","kind":"replace-table","base":1}`,
		"a profile edit without":   `{"operation":"x","kind":"apply-profile","base":0}`,
		"a key edit without":       `{"operation":"x","kind":"give-key","base":0}`,
	}
	for name, change := range changes {
		d := delta
		change(&d)
		m := edit
		m.TableDelta = &d
		text, err := json.Marshal(m)
		assert.NilError(t, err)
		commands[name] = string(text)
	}
	for name, command := range commands {
		t.Run(name, func(t *testing.T) {
			result := c.Apply(9, []byte(command)).(editResult)
			assert.Assert(t, result.err != nil)
			after, err := c.Snapshot()
			assert.NilError(t, err)
			assert.Equal(t, string(after), string(before))
		})
	}
}

func repeatRun(r message.DocumentRun, n int) []message.DocumentRun {
	var all []message.DocumentRun
	for range n {
		all = append(all, r)
	}
	return all
}
