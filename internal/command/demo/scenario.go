package demo

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/command/print"
	"github.com/figpier/figpier/internal/command/sample"
	"github.com/figpier/figpier/internal/link/operator"
)

const (
	customer     = "valv"
	profileName  = "venues"
	sampleDay    = "2027-06-19"
	pollInterval = 50 * time.Millisecond
	// callerInterval is the time between attempts under one idempotency key.
	// It is longer than the callerInterval in the profile, within which an attempt is refused as retry-too-soon.
	callerInterval = 300 * time.Millisecond
	// propagationTimeout is the time within which an accepted edit is in force at every node.
	propagationTimeout = 4 * time.Second
	startTimeout       = 20 * time.Second
	// maxBodySize limits how many bytes of a response body are read.
	maxBodySize = 4 << 10
)

// UnexpectedResponseError reports a response other than the one that a step expects.
type UnexpectedResponseError struct {
	want string
	got  response
}

// Error implements error.
func (e *UnexpectedResponseError) Error() string {
	return fmt.Sprintf("want %s, got %s", e.want, e.got)
}

// response holds the parts of an HTTP response that the steps check.
type response struct {
	status int
	body   string
	reason figpier.RefusalReason // empty if the request was not refused
	notRun bool                  // the refusal proves that no backend server ran the request
}

// String returns the status and the body, which is how a step is printed.
func (r response) String() string { return fmt.Sprintf("%d %s", r.status, r.body) }

// scenario sends requests to the fleet as an operator and as a caller.
type scenario struct {
	fleet          *fleet
	client         *operator.Client
	key            string
	keyID          string
	idempotencyKey string // of the hold, which is sent more than once
}

func newScenario(f *fleet) *scenario {
	return &scenario{fleet: f, client: f.client(), idempotencyKey: rand.Text()}
}

// prepare applies the profile, assigns it to both services, gives the customer a key and waits until a caller gets an answer.
func (s *scenario) prepare(ctx context.Context) error {
	document, err := files.ReadFile(profileFile)
	if err != nil {
		return Error.Wrap(err)
	}
	wait, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	err = retry(wait, pollInterval, func() error {
		_, err := s.client.ApplyProfile(wait, newEdit(), profileName, string(document))
		return err
	})
	if err != nil {
		return err
	}
	for _, service := range []figpier.UpstreamService{sample.BookingService, sample.CalendarService} {
		if _, err := s.client.Assign(ctx, newEdit(), string(service), profileName); err != nil {
			return err
		}
	}
	receipt, err := s.client.GiveKey(ctx, newEdit(), customer)
	if err != nil {
		return err
	}
	s.key, s.keyID = *receipt.Secret, *receipt.Key
	return retry(wait, pollInterval, func() error { return s.checkDayReadable(ctx) })
}

// runSteps runs the steps in order and prints the response of each.
func (s *scenario) runSteps(ctx context.Context) error {
	steps := []struct {
		title string
		do    func(context.Context) (response, error)
	}{
		{"read a day through both services", s.readDay},
		{"hold that day", s.holdDay},
		{"send the same hold again, which is not run again", s.resendHold},
		{"read the day, which has one hold", s.readHeldDay},
		{"send a request without a key", s.readWithoutKey},
		{"send a request with the withdrawn key", s.readWithWithdrawnKey},
	}
	for _, step := range steps {
		r, err := step.do(ctx)
		if err != nil {
			return Error.New("%s: %w", step.title, err)
		}
		if err := print.Line(s.fleet.factory.Out(), "%-50s %s", step.title, r); err != nil {
			return err
		}
	}
	return print.Line(s.fleet.factory.Out(), "all responses are as expected")
}

func (s *scenario) checkDayReadable(ctx context.Context) error {
	_, err := s.readDay(ctx)
	return err
}

func (s *scenario) readDay(ctx context.Context) (response, error) {
	r, err := s.call(ctx, http.MethodGet, "/days/"+sampleDay, s.key, "")
	return r, checkResponse(err, r, r.status == http.StatusOK, "200")
}

// holdDay sends the hold again while it is refused because the fleet is still starting.
func (s *scenario) holdDay(ctx context.Context) (response, error) {
	var r response
	wait, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	err := retry(wait, callerInterval, func() (err error) {
		r, err = s.call(ctx, http.MethodPost, "/holds/"+sampleDay, s.key, s.idempotencyKey)
		return checkResponse(err, r, !shouldResend(r), "201")
	})
	return r, checkResponse(err, r, r.status == http.StatusCreated, "201")
}

// shouldResend reports whether a caller may send the request again under the same idempotency key.
func shouldResend(r response) bool {
	return r.notRun || r.reason == figpier.RefusalClaimUnknown || r.reason == figpier.RefusalRetryTooSoon
}

// resendHold expects a refusal, since a request under this idempotency key has run.
func (s *scenario) resendHold(ctx context.Context) (response, error) {
	if err := sleep(ctx, callerInterval); err != nil {
		return response{}, err
	}
	r, err := s.call(ctx, http.MethodPost, "/holds/"+sampleDay, s.key, s.idempotencyKey)
	return r, checkResponse(err, r, r.reason == figpier.RefusalAlreadyRun, "409 already-run")
}

// readHeldDay shows that the resent hold did not run.
func (s *scenario) readHeldDay(ctx context.Context) (response, error) {
	r, err := s.readDay(ctx)
	return r, checkResponse(err, r, strings.Contains(r.body, `"holds":1`), "one hold")
}

func (s *scenario) readWithoutKey(ctx context.Context) (response, error) {
	r, err := s.call(ctx, http.MethodGet, "/days/"+sampleDay, "", "")
	return r, checkResponse(err, r, r.reason == figpier.RefusalKeyMissing, "401 key-missing")
}

// readWithWithdrawnKey withdraws the key and repeats the request until the node refuses the key.
func (s *scenario) readWithWithdrawnKey(ctx context.Context) (response, error) {
	if _, err := s.client.WithdrawKey(ctx, newEdit(), s.keyID); err != nil {
		return response{}, err
	}
	var r response
	wait, cancel := context.WithTimeout(ctx, propagationTimeout)
	defer cancel()
	err := retry(wait, pollInterval, func() (err error) {
		r, err = s.call(ctx, http.MethodGet, "/days/"+sampleDay, s.key, "")
		return checkResponse(err, r, r.reason == figpier.RefusalKeyUnknown, "401 key-unknown")
	})
	return r, err
}

// call sends a request to the node of the booking service, without the header of an empty key or idempotency key.
func (s *scenario) call(ctx context.Context, method, path, key, idempotencyKey string) (response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+s.fleet.callerAddress+path, nil)
	if err != nil {
		return response{}, Error.Wrap(err)
	}
	if key != "" {
		r.Header.Set(figpier.HeaderKey, key)
	}
	if idempotencyKey != "" {
		r.Header.Set(figpier.HeaderIdempotencyKey, idempotencyKey)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return response{}, Error.Wrap(err)
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBodySize))
	return response{
		status: answer.StatusCode,
		body:   strings.TrimSpace(string(body)),
		reason: figpier.RefusalReason(answer.Header.Get(figpier.HeaderRefusal)),
		notRun: answer.Header.Get(figpier.HeaderNotRun) == figpier.NotRunMark,
	}, Error.Wrap(err)
}

// sleep waits for a duration, or fails when the context ends.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	case <-t.C:
		return nil
	}
}

// checkResponse returns err, or an *UnexpectedResponseError if there is no error and the response is not ok.
func checkResponse(err error, r response, ok bool, want string) error {
	if err != nil || ok {
		return err
	}
	return &UnexpectedResponseError{want: want, got: r}
}

// newEdit returns the configuration of an edit with a random operation ID.
// Its base revision is 0, as the profile and the assignments do not exist yet; edits of keys have no base.
func newEdit() operator.EditConfig { return operator.EditConfig{Operation: rand.Text()} }

// retry calls attempt at once and then at each interval until it succeeds.
// When the context ends, it returns the last error joined with that of the context.
func retry(ctx context.Context, interval time.Duration, attempt func() error) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		err := attempt()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Join(err, Error.Wrap(ctx.Err()))
		case <-t.C:
		}
	}
}
