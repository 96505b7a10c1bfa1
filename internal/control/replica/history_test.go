package replica

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
)

// attempt is one submission of an edit.
type attempt struct {
	operation string
	base      figpier.Revision
}

// outcome is the result of an attempt; the revision is the edit's own, or the current one in a conflict.
type outcome struct {
	kind     string
	revision figpier.Revision
}

const (
	accepted = "accepted"
	conflict = "conflict"
	notRun   = "not run"
	unknown  = "unknown"
)

// catalogModel is the sequential model of a catalog with one profile.
type catalogModel struct {
	global  figpier.Revision
	current figpier.Revision
	answers map[string]outcome
}

func (m catalogModel) apply(a attempt) (catalogModel, outcome) {
	if o, ok := m.answers[a.operation]; ok {
		return m, o
	}
	next := catalogModel{global: m.global, current: m.current, answers: maps.Clone(m.answers)}
	o := outcome{kind: conflict, revision: m.current}
	if a.base == m.current {
		next.global++
		next.current = next.global
		o = outcome{kind: accepted, revision: next.current}
	}
	next.answers[a.operation] = o
	return next, o
}

func stepCatalog(state, input, output any) []any {
	m := state.(catalogModel)
	next, want := m.apply(input.(attempt))
	switch got := output.(outcome); {
	case got.kind == notRun:
		return []any{m}
	case got.kind == unknown:
		return []any{m, next}
	case got == want:
		return []any{next}
	}
	return nil
}

var editsModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{catalogModel{global: 1, answers: map[string]outcome{}}} },
	Step: stepCatalog,
	Equal: func(a, b any) bool {
		return reflect.DeepEqual(a, b)
	},
}

func outcomeOf(r *figpier.Receipt, err error) outcome {
	conflictErr := &figpier.ConflictError{}
	notLeader := &figpier.NotLeaderError{}
	switch {
	case err == nil:
		return outcome{kind: accepted, revision: r.Revision()}
	case errors.As(err, &conflictErr):
		return outcome{kind: conflict, revision: conflictErr.Current()}
	case errors.As(err, &notLeader):
		return outcome{kind: notRun}
	}
	return outcome{kind: unknown}
}

// history records attempts with their times.
type history struct {
	mu    sync.Mutex
	start time.Time
	all   []porcupine.Operation
}

// submit sends an edit and records it; one with an unknown outcome may still take effect until the end of the test.
func (h *history) submit(client int, i *instance, a attempt) outcome {
	call := time.Since(h.start).Nanoseconds()
	o := outcomeOf(i.submit(a.operation, a.base))
	end := time.Since(h.start).Nanoseconds()
	if o.kind == unknown {
		end = time.Hour.Nanoseconds()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.all = append(h.all, porcupine.Operation{ClientId: client, Input: a, Call: call, Output: o, Return: end})
	return o
}

func (h *history) count(kind string) int {
	n := 0
	for _, o := range h.all {
		if o.Output.(outcome).kind == kind {
			n++
		}
	}
	return n
}

func TestRacingEditsAndResendsAreLinearizable(t *testing.T) {
	const operators, edits = 3, 20
	c := newCluster(t)
	c.waitForLeader()
	// Until the others have the founding entry nothing can be accepted, and only the founder can go on.
	for _, i := range c.instances {
		c.waitUntilVoter(i)
	}
	h := &history{start: time.Now()}
	var group sync.WaitGroup
	for n := range operators {
		group.Go(func() {
			random := rand.New(rand.NewPCG(uint64(n), 1))
			base := figpier.Revision(0)
			for e := range edits {
				a := attempt{operation: fmt.Sprintf("o%d-%d", n, e), base: base}
				for range 3 {
					o := h.submit(n, c.instances[random.IntN(3)], a)
					if o.kind == accepted || o.kind == conflict {
						base = o.revision
					}
					if o.kind == accepted && random.IntN(3) > 0 || o.kind == conflict {
						break
					}
				}
			}
		})
	}
	for range 3 {
		lead := c.waitForLeader()
		c.network.isolate(string(lead.name), true)
		c.eventually("another instance leads", func() bool { return c.waitForLeader() != lead && !lead.log.published.Load().leading })
		c.network.isolate(string(lead.name), false)
	}
	group.Wait()

	t.Logf("%d accepted, %d conflicts, %d not run, %d unknown", h.count(accepted), h.count(conflict), h.count(notRun), h.count(unknown))
	assert.Assert(t, h.count(accepted) > 0 && h.count(conflict) > 0)
	assert.Equal(t, porcupine.CheckOperationsTimeout(editsModel.ToModel(), h.all, time.Minute), porcupine.Ok)
}
