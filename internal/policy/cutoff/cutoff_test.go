package cutoff

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/figpier/figpier"
)

// learned is one answer in the reference model, which stores all of them.
type learned struct {
	at    time.Time
	route Route
	rank  figpier.Rank
}

// modelCutOff raises the newest cut-offs of a route one doubling at a time.
func modelCutOff(all []learned, r Route, now time.Time) figpier.Rank {
	var newest []learned
	for _, l := range slices.Backward(all) {
		if l.route == r && len(newest) < answersPerRoute {
			newest = append(newest, l)
		}
	}
	if len(newest) < answersPerRoute {
		return figpier.MaxRank
	}
	highest := 0.0
	for _, l := range newest {
		raised, step := float64(l.rank), initialRaise
		for age := holdTime; l.at.Add(age).Before(now) && raised < float64(figpier.MaxRank); age += doublingTime {
			raised += step
			step *= 2
		}
		highest = max(highest, min(raised, float64(figpier.MaxRank)))
	}
	return figpier.Rank(highest)
}

func TestTableMatchesReferenceModel(t *testing.T) {
	routes := []Route{NewRoute("roster", "GET /litters"), NewRoute("roster", "POST /placements")}
	rapid.Check(t, func(t *rapid.T) {
		table, now := New(), time.Unix(0, 0)
		var all []learned
		for range rapid.IntRange(1, 100).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "gap")) * doublingTime)
			r := rapid.SampledFrom(routes).Draw(t, "route")
			if rapid.Bool().Draw(t, "learn") {
				cut := figpier.Rank(rapid.Uint32Range(0, 1<<30).Draw(t, "rank"))
				table.Record(now, r, cut)
				all = append(all, learned{at: now, route: r, rank: cut})
				continue
			}
			assert.Equal(t, table.CutOff(now, r), modelCutOff(all, r, now))
		}
	})
}

func TestRouteIsNotRefusedAfterAnswerWithoutCutOff(t *testing.T) {
	table, now, r := New(), time.Unix(0, 0), NewRoute("roster", "GET /*")
	for range answersPerRoute {
		table.Record(now, r, 10)
	}
	assert.Equal(t, table.CutOff(now, r), figpier.Rank(10))
	table.Each(now, func(got Route, _ figpier.Rank, since time.Time) {
		assert.Equal(t, got, r)
		assert.Equal(t, since, now)
	})
	table.Record(now, r, figpier.MaxRank)
	assert.Equal(t, table.CutOff(now, r), figpier.MaxRank)
	assert.Equal(t, table.CutOff(now, NewRoute("roster", "GET /x")), figpier.MaxRank)
}

func TestReportedCutOffExpires(t *testing.T) {
	reported := NewReported(time.Unix(0, 0), 10)
	assert.Equal(t, reported.At(time.Unix(0, 0).Add(holdTime)), figpier.Rank(10))
	assert.Equal(t, reported.At(time.Unix(3, 0)), figpier.MaxRank)
	assert.Equal(t, Reported{}.At(time.Unix(0, 0)), figpier.MaxRank)
}
