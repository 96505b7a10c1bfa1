package operator

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/zeebo/errs"
	goahttp "goa.design/goa/v3/http"

	"github.com/figpier/figpier/gen/http/operator/client"
	api "github.com/figpier/figpier/gen/operator"
)

// Error is the class of errors of the client itself, as opposed to those that the API answers with.
var Error = errs.Class("operator API")

const (
	requestTimeout = 20 * time.Second
	maxAnswerSize  = 64 << 20 // bytes
)

// Config holds the settings of a Client.
type Config struct {
	// Addresses are the IP addresses and ports of the operator API at the control instances, tried in order.
	Addresses []string
	// Token is the operator's token.
	Token string
	// TLS is the connections' TLS configuration, nil for plain HTTP on loopback.
	TLS *tls.Config
}

// Client sends each request to the control instances in turn until one carries it out.
type Client struct {
	config    Config
	http      *http.Client
	instances []instance
}

// instance is the generated client for one control instance.
type instance struct {
	address string
	api     *api.Client
}

// New returns a client.
func New(c Config) *Client {
	result := &Client{
		config: c,
		http: &http.Client{
			Timeout:   requestTimeout,
			Transport: &http.Transport{TLSClientConfig: c.TLS},
		},
	}
	for _, a := range c.Addresses {
		result.instances = append(result.instances, instance{address: a, api: result.connect(a)})
	}
	return result
}

// connect returns a generated client for an address; it opens no connection yet.
func (c *Client) connect(address string) *api.Client {
	scheme := "http"
	if c.config.TLS != nil {
		scheme = "https"
	}
	h := client.NewClient(scheme, address, c.http, newEncoder, newDecoder, false)
	return api.NewClient(h.ListProfiles(), h.ViewProfile(), h.ApplyProfile(), h.DeleteProfile(),
		h.ListAssignments(), h.Assign(), h.ListKeys(), h.GiveKey(), h.WithdrawKey(), h.ViewStatus(), h.ViewNode())
}

func newEncoder(r *http.Request) goahttp.Encoder { return goahttp.RequestEncoder(r) }

func newDecoder(r *http.Response) goahttp.Decoder {
	return json.NewDecoder(io.LimitReader(r.Body, maxAnswerSize))
}

// read sends a read request to the instances in turn until one answers. A read is safe to repeat after any error of the
// connection.
func read[T any](ctx context.Context, c *Client, ask func(context.Context, *api.Client) (T, error)) (T, error) {
	return tryInstances(ctx, c, ask, func(address string, err error) error {
		return &UnreachedError{address: address, cause: err}
	})
}

// edit sends an edit to the instances in turn until one answers. It returns a *LostAnswerError, and tries no further
// instance, if one may have received the edit without answering.
func edit(ctx context.Context, c *Client, operation string, ask func(context.Context, *api.Client) (*api.Receipt, error)) (*api.Receipt, error) {
	return tryInstances(ctx, c, ask, func(address string, err error) error {
		if neverSent(err) {
			return &UnreachedError{address: address, cause: err}
		}
		return &LostAnswerError{operation: operation, cause: err}
	})
}

// tryInstances calls ask for each instance in turn until one succeeds or its error rules out the next. It converts the API's
// failures to a *FailureError, and has classify convert all other errors.
func tryInstances[T any](ctx context.Context, c *Client, ask func(context.Context, *api.Client) (T, error), classify func(string, error) error) (answer T, err error) {
	err = Error.New("no address of the operator API is given")
	for _, i := range c.instances {
		answer, err = ask(ctx, i.api)
		if err == nil {
			return answer, nil
		}
		var failure *api.Failure
		if errors.As(err, &failure) {
			err = &FailureError{failure: failure}
		} else {
			err = classify(i.address, err)
		}
		if !shouldTryNext(err) {
			return answer, err
		}
	}
	return answer, err
}

// shouldTryNext reports whether an error leaves it possible that another control instance carries the request out.
func shouldTryNext(err error) bool {
	var unreached *UnreachedError
	var failure *FailureError
	if errors.As(err, &unreached) {
		return true
	}
	return errors.As(err, &failure) && (failure.Name() == FailureNotLeader || failure.Name() == FailureUnreached)
}
