package sample

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/figpier/figpier"
)

// Names of the services of the demonstration.
const (
	BookingService  figpier.UpstreamService = "booking"
	CalendarService figpier.UpstreamService = "calendar"
)

// NewBooking returns the server of the booking service, which forwards every request to the calendar service.
func NewBooking(c Config) *Server {
	s := newServer(c)
	calendar := "http://" + string(CalendarService) + figpier.ExitSuffix
	m := http.NewServeMux()
	m.HandleFunc("GET /days/{day}", func(w http.ResponseWriter, r *http.Request) {
		s.forward(w, r, calendar+"/days/"+r.PathValue("day"))
	})
	m.HandleFunc("POST /holds/{day}", func(w http.ResponseWriter, r *http.Request) {
		s.forward(w, r, calendar+"/holds/"+r.PathValue("day"))
	})
	s.handler = m
	return s
}

// dayStatus is the response of the calendar service: a day and the number of its holds.
type dayStatus struct {
	name  string
	holds int
}

// MarshalJSON implements json.Marshaler.
func (d dayStatus) MarshalJSON() ([]byte, error) {
	return json.Marshal(map[string]any{"day": d.name, "free": d.holds == 0, "holds": d.holds})
}

// calendarHandler counts the holds of each day.
// It does not reject a second hold, so that a request that runs twice is visible in the count.
type calendarHandler struct {
	mu    sync.Mutex // guards holds
	holds map[string]int
}

// NewCalendar returns the server of the calendar service, which keeps the holds in memory.
func NewCalendar(c Config) *Server {
	h := &calendarHandler{holds: map[string]int{}}
	m := http.NewServeMux()
	m.HandleFunc("GET /days/{day}", h.viewDay)
	m.HandleFunc("POST /holds/{day}", h.holdDay)
	s := newServer(c)
	s.handler = m
	return s
}

func (h *calendarHandler) viewDay(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	name := r.PathValue("day")
	writeDay(w, http.StatusOK, dayStatus{name: name, holds: h.holds[name]})
}

func (h *calendarHandler) holdDay(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	name := r.PathValue("day")
	h.holds[name]++
	writeDay(w, http.StatusCreated, dayStatus{name: name, holds: h.holds[name]})
}

func writeDay(w http.ResponseWriter, status int, d dayStatus) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(d)
}
