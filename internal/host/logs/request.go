package logs

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/figpier/figpier"
)

// Bounds on the log lines for each reason, so that a burst of refusals costs little time.
const (
	maxLinesPerWindow = 20
	windowLength      = time.Second
)

// Requests implements figpier.RequestLog. At the level "info" it writes at most maxLinesPerWindow lines for each reason in each
// window, at "debug" all lines, and above "info" none.
type Requests struct {
	entry *logrus.Entry
	clock figpier.Clock
	// view is nil in a process without one.
	view figpier.ConfigurationView

	mu      sync.Mutex
	windows map[string]*lineWindow // by the event that allowLine is given, guarded by mu
}

// lineWindow counts the written and the dropped lines of one event since it opened.
type lineWindow struct {
	opened  time.Time
	lines   int
	dropped int
}

// NewRequests returns the log of requests of a process.
func NewRequests(l *logrus.Entry) *Requests {
	return &Requests{entry: l, windows: map[string]*lineWindow{}}
}

// Name implements figpier.Service.
func (q *Requests) Name() figpier.ServiceName { return figpier.RequestLogService }

// Start implements figpier.Service.
func (q *Requests) Start(_ context.Context, d figpier.Directory) error {
	q.clock = d.Clock()
	if v, err := figpier.FindView(d); err == nil {
		q.view = v
	}
	return nil
}

// Stop implements figpier.Service.
func (q *Requests) Stop(context.Context) error { return nil }

// Refused implements figpier.RequestLog.
func (q *Requests) Refused(c *figpier.Call, r *figpier.Refusal) {
	if !q.entry.Logger.IsLevelEnabled(logrus.InfoLevel) {
		return
	}
	dropped, ok := q.allowLine("refused " + string(r.Reason()))
	if !ok {
		return
	}
	f := callFields(c, string(r.Reason()), dropped)
	f[FieldNotRun] = r.NotRun()
	q.addViewFields(f)
	q.entry.WithFields(f).Info("refused: " + r.Error())
}

// addViewFields adds the fields about the configuration that the node decides by.
func (q *Requests) addViewFields(f logrus.Fields) {
	if q.view == nil {
		return
	}
	c := q.view.Configuration()
	f[FieldRevision] = int(c.Revision())
	if t := c.Table(); t != nil {
		f[FieldTable] = t.Number()
	}
	if confirmed := q.view.Confirmed(); !confirmed.IsZero() {
		f[FieldViewAge] = q.clock.Now().Sub(confirmed).Milliseconds()
	}
}

// Retried implements figpier.RequestLog.
func (q *Requests) Retried(c *figpier.Call, r figpier.RetryReason) {
	if r == figpier.NoRetryDone || !q.entry.Logger.IsLevelEnabled(logrus.InfoLevel) {
		return
	}
	dropped, ok := q.allowLine("retried " + string(r))
	if !ok {
		return
	}
	q.entry.WithFields(callFields(c, string(r), dropped)).Info("retry decided")
}

// Routed implements figpier.RequestLog.
func (q *Requests) Routed(c *figpier.Call, m *figpier.Member, status int, o figpier.Outcome) {
	if !q.entry.Logger.IsLevelEnabled(logrus.InfoLevel) {
		return
	}
	dropped, ok := q.allowLine("routed " + strconv.Itoa(status))
	if !ok {
		return
	}
	f := callFields(c, o.Kind().String(), dropped)
	f[FieldMember] = string(m.Instance())
	f[FieldStatus] = status
	f[FieldMillis] = o.Elapsed().Milliseconds()
	q.entry.WithFields(f).Info("an attempt ended")
}

// allowLine reports whether a line for an event may be written. The first line of a window gets the number of lines that were
// dropped in the window before it; other lines get 0.
func (q *Requests) allowLine(event string) (dropped int, ok bool) {
	if q.entry.Logger.IsLevelEnabled(logrus.DebugLevel) {
		return 0, true
	}
	now := q.clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	w, found := q.windows[event]
	if !found {
		w = &lineWindow{opened: now}
		q.windows[event] = w
	}
	if now.Sub(w.opened) >= windowLength {
		dropped = w.dropped
		*w = lineWindow{opened: now}
	}
	if w.lines == maxLinesPerWindow {
		w.dropped++
		return 0, false
	}
	w.lines++
	return dropped, true
}

// callFields returns the fields of a line about a call, which is nil for a request that was refused before it became one.
func callFields(c *figpier.Call, reason string, dropped int) logrus.Fields {
	f := logrus.Fields{FieldReason: reason}
	if dropped > 0 {
		f[FieldLeftOut] = dropped
	}
	if c != nil {
		f[FieldRequestID] = string(c.RequestID())
		f[FieldCustomer] = string(c.Customer())
		f[FieldService] = string(c.Service())
	}
	return f
}

// NewStandardWriter returns an output for the standard library's logger.
func NewStandardWriter(l *logrus.Entry) *StandardWriter { return &StandardWriter{entry: l} }

// StandardWriter logs each line that is written to it as a warning.
type StandardWriter struct {
	entry *logrus.Entry
}

// Write implements io.Writer for one whole line. It never returns an error.
func (w *StandardWriter) Write(line []byte) (int, error) {
	w.entry.Warn(strings.TrimSpace(string(line)))
	return len(line), nil
}
