package profile

import (
	"encoding/json"
	"strconv"

	"github.com/figpier/figpier"
)

// profileSettings is the form of a profile in a file.
type profileSettings struct {
	Name         string                   `json:"name"`
	Routes       []routeSettings          `json:"routes"`
	DefaultLimit limitSettings            `json:"defaultLimit"`
	Limits       map[string]limitSettings `json:"limits,omitempty"`
	Weights      map[string]float64       `json:"weights,omitempty"`
	Retry        retrySettings            `json:"retry"`
}

type routeSettings struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	Priority   int    `json:"priority"`
	Idempotent bool   `json:"idempotent"`
	Open       bool   `json:"open,omitempty"`
	Deadline   string `json:"deadline"`
}

type limitSettings struct {
	Rate  string  `json:"rate"`
	Burst float64 `json:"burst"`
}

type retrySettings struct {
	TreeBudget     int     `json:"treeBudget"`
	Share          float64 `json:"share"`
	CallerInterval string  `json:"callerInterval"`
}

// Write returns a profile as indented JSON, which Parse accepts. The revision of the profile is not part of it.
func Write(p *figpier.Profile) ([]byte, error) {
	s := profileSettings{
		Name:         string(p.Name()),
		Routes:       []routeSettings{},
		DefaultLimit: encodeLimit(p.DefaultLimit()),
		Limits:       map[string]limitSettings{},
		Weights:      map[string]float64{},
		Retry: retrySettings{
			TreeBudget:     p.Retry().TreeBudget(),
			Share:          p.Retry().Share(),
			CallerInterval: p.Retry().CallerInterval().String(),
		},
	}
	for _, r := range p.Routes() {
		s.Routes = append(s.Routes, encodeRoute(r))
	}
	for c, l := range p.Limits() {
		s.Limits[string(c)] = encodeLimit(l)
	}
	for c, w := range p.Weights() {
		s.Weights[string(c)] = w
	}
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return append(data, '\n'), nil
}

func encodeRoute(r *figpier.Route) routeSettings {
	return routeSettings{
		Method:     r.Method(),
		Path:       r.Path(),
		Priority:   int(r.Priority()),
		Idempotent: r.Idempotent(),
		Open:       r.Open(),
		Deadline:   r.Deadline().String(),
	}
}

func encodeLimit(l figpier.Limit) limitSettings {
	return limitSettings{
		Rate:  strconv.FormatFloat(l.Rate(), 'g', -1, 64) + "/s",
		Burst: l.Burst(),
	}
}
