package main

import (
	"fmt"
	"time"
)

// Durations of the phases of a case, and the load before and after its surge as a multiple of the capacity.
const (
	baselineDuration = 3 * time.Second
	surgeDuration    = 6 * time.Second
	recoveryDuration = 5 * time.Second
	slowdownDuration = 10 * time.Second
	baselineLoad     = 0.5
)

// surgeCase is one kind of overload: the load during the surge and what is done to the backend servers meanwhile.
type surgeCase struct {
	name string
	// load is a multiple of the capacity.
	load     float64
	duration time.Duration
	// customerScale multiplies the load of some customers, by their index.
	customerScale map[int]float64
	// trigger, if set, disturbs the backend servers during the surge, which lasts from one time to the other.
	trigger func(f *fleet, from, to time.Time)
}

func cases() []surgeCase {
	var all []surgeCase
	for _, load := range []float64{0.5, 1, 2, 4, 8} {
		all = append(all, surgeCase{name: fmt.Sprintf("load %gx", load), load: load, duration: surgeDuration})
	}
	return append(all,
		surgeCase{name: "deep service 10x slower", load: 0.8, duration: slowdownDuration, trigger: slowLastService},
		surgeCase{name: "one customer at 6x", load: 0.9, duration: surgeDuration, customerScale: map[int]float64{2: 6}},
		surgeCase{name: "backend server back cold", load: 0.8, duration: surgeDuration, trigger: returnCold},
		surgeCase{name: "load endpoint says idle", load: 2, duration: surgeDuration, trigger: overstateSlots},
	)
}

func (c surgeCase) phases() []phase {
	return []phase{
		{duration: baselineDuration, load: baselineLoad},
		{duration: c.duration, load: c.load, customerScale: c.customerScale},
		{duration: recoveryDuration, load: baselineLoad},
	}
}

// slowLastService makes the last service ten times slower during the surge.
func slowLastService(f *fleet, from, to time.Time) {
	for _, n := range f.nodes["c"] {
		n.backend.setSlowness(func(now time.Time) float64 {
			if now.After(from) && now.Before(to) {
				return 10
			}
			return 1
		})
	}
}

// returnCold stops the announcements of one backend server of the last service until the surge begins. It is then five
// times slower than usual, and gets back to its usual speed by the end of the surge.
func returnCold(f *fleet, from, to time.Time) {
	s := f.nodes["c"][0].backend
	s.announcePaused.Store(true)
	warmup := to.Sub(from)
	s.setSlowness(func(now time.Time) float64 {
		progress := now.Sub(from).Seconds() / warmup.Seconds()
		return 1 + 4*max(0, 1-max(0, progress))
	})
	time.AfterFunc(time.Until(from), func() { s.announcePaused.Store(false) })
}

// overstateSlots makes the backend servers of the last service announce ten times the slots that they have.
func overstateSlots(f *fleet, _, _ time.Time) {
	for _, n := range f.nodes["c"] {
		n.backend.announcedSlots.Store(10 * smallSlots)
	}
}
