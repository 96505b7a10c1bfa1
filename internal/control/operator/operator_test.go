package operator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/gen/http/operator/client"
	"github.com/figpier/figpier/internal/host/memory"
	"github.com/figpier/figpier/internal/kernel/registry"
	"github.com/figpier/figpier/internal/kernel/system"
)

const token = "tok-1"

// fakeCatalog accepts every edit at revision 7, or returns err if it is set. A resend gets the receipt of the first edit.
type fakeCatalog struct {
	mu       sync.Mutex
	err      error
	edits    []*figpier.Edit
	receipts map[figpier.OperationID]*figpier.Receipt
	current  *figpier.Configuration
}

func (c *fakeCatalog) Name() figpier.ServiceName                      { return figpier.CatalogService }
func (c *fakeCatalog) Start(context.Context, figpier.Directory) error { return nil }
func (c *fakeCatalog) Stop(context.Context) error                     { return nil }
func (c *fakeCatalog) Configuration() *figpier.Configuration          { return c.current }
func (c *fakeCatalog) Subscribe(func(*figpier.Configuration))         {}

func (c *fakeCatalog) Submit(_ context.Context, e *figpier.Edit) (*figpier.Receipt, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return nil, c.err
	}
	if r, ok := c.receipts[e.Operation()]; ok {
		return r, nil
	}
	c.edits = append(c.edits, e)
	r := figpier.NewReceipt(figpier.ReceiptConfig{Operation: e.Operation(), Revision: 7, KeyID: e.KeyID()})
	c.receipts[e.Operation()] = r
	return r, nil
}

func (c *fakeCatalog) lastEdit() *figpier.Edit { return c.edits[len(c.edits)-1] }

func startServer(t *testing.T, others ...figpier.Service) (*fakeCatalog, string) {
	t.Helper()
	c := &fakeCatalog{receipts: map[figpier.OperationID]*figpier.Receipt{}, current: sampleConfiguration()}
	l := logrus.New()
	l.SetOutput(io.Discard)
	s := New(Config{
		Instance: "control-1",
		Address:  "127.0.0.1:0",
		Tokens:   []Token{NewToken(TokenConfig{Operator: "amina", Digest: sha256.Sum256([]byte(token))})},
		Log:      logrus.NewEntry(l),
	})
	k := registry.New(registry.Config{Clock: system.Clock{}})
	for _, o := range append(others, c, memory.New(memory.Config{})) {
		assert.NilError(t, k.Register(o))
	}
	assert.NilError(t, s.Start(t.Context(), k))
	t.Cleanup(func() { assert.NilError(t, s.Stop(context.Background())) })
	return c, "http://" + s.Address()
}

func sampleConfiguration() *figpier.Configuration {
	p := figpier.NewProfile(figpier.ProfileConfig{
		Name:     "booking",
		Revision: 4,
		Routes: []*figpier.Route{figpier.NewRoute(figpier.RouteConfig{
			Method: "GET", Path: "/a", Deadline: time.Second,
		})},
	})
	return figpier.NewConfiguration(figpier.ConfigurationConfig{
		Revision: 6,
		Profiles: map[figpier.ProfileName]*figpier.Profile{"booking": p},
		Assignments: map[figpier.UpstreamService]*figpier.Assignment{
			"dates": figpier.NewAssignment(figpier.AssignmentConfig{Service: "dates", Profile: "booking", Revision: 5}),
		},
		Keys: map[figpier.KeyDigest]*figpier.Key{
			{1}: figpier.NewKey(figpier.KeyConfig{ID: "k1", Customer: "valv", Digest: figpier.KeyDigest{1}, Revision: 6}),
		},
	})
}

func encodeDocument(t *testing.T, document string) string {
	t.Helper()
	body, err := json.Marshal(map[string]string{"document": document})
	assert.NilError(t, err)
	return string(body)
}

func send(t *testing.T, method, url, body string, into any) int {
	t.Helper()
	if strings.HasPrefix(body, profilePrefix) {
		body = encodeDocument(t, body)
	}
	r, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer "+token)
	a, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer a.Body.Close()
	if into != nil {
		assert.NilError(t, json.NewDecoder(a.Body).Decode(into))
	}
	return a.StatusCode
}

const profilePrefix = `{
  "name": "booking"`

const profileText = `{
  "name": "booking", // the venue's tools
  "routes": [],
  "defaultLimit": {"rate": "1/s", "burst": 1},
  "retry": {"treeBudget": 3, "share": 0.1, "callerInterval": "1s"},
}`

func TestRequestsWithoutKnownTokenAreRefused(t *testing.T) {
	c, url := startServer(t)
	for _, header := range [][]string{
		nil, {"Bearer "}, {"Bearer wrong"}, {"bearer " + token}, {token}, {"Bearer " + token, "Bearer " + token},
	} {
		r, err := http.NewRequestWithContext(t.Context(), "PUT", url+"/v1/profiles/booking?base=0", strings.NewReader(profileText))
		assert.NilError(t, err)
		r.Header["Authorization"] = header
		a, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		assert.Equal(t, a.StatusCode, http.StatusUnauthorized, "%q", header)
	}
	assert.Equal(t, len(c.edits), 0)
}

func TestApplyProfile(t *testing.T) {
	c, url := startServer(t)
	var receipt client.ApplyProfileResponseBody
	status := send(t, "PUT", url+"/v1/profiles/booking?base=4&operation=op1", profileText, &receipt)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, *receipt.Revision, int64(7))
	assert.Equal(t, *receipt.Operation, "op1")
	assert.Equal(t, c.lastEdit().Base(), figpier.Revision(4))
	assert.Equal(t, c.lastEdit().Profile().Retry().TreeBudget(), 3)
}

func TestInvalidEditsReportTheFieldAndChangeNothing(t *testing.T) {
	c, url := startServer(t)
	tests := []struct {
		name, method, path, body, field string
		line                            int
	}{
		{"wrong unit", "PUT", "/v1/profiles/booking?base=0", strings.Replace(profileText, `"1s"`, `1`, 1), "retry.callerInterval", 5},
		{"other name", "PUT", "/v1/profiles/other?base=0", profileText, "name", 0},
		{"no base", "PUT", "/v1/profiles/booking", profileText, "base", 0},
		{"negative base", "PUT", "/v1/profiles/booking?base=-1", profileText, "base", 0},
		{"long operation", "PUT", "/v1/profiles/booking?base=0&operation=" + strings.Repeat("x", 129), profileText, "operation", 0},
		{"body too long", "PUT", "/v1/profiles/booking?base=0", strings.Repeat(" ", maxBodySize) + encodeDocument(t, profileText), "body", 0},
		{"no profile", "PUT", "/v1/assignments/dates?base=0", `{}`, "profile", 0},
		{"empty profile", "PUT", "/v1/assignments/dates?base=0", `{"profile": ""}`, "profile", 0},
		{"service with a colon", "PUT", "/v1/assignments/a:b?base=0", `{"profile": "booking"}`, "service", 0},
		{"no JSON", "PUT", "/v1/assignments/dates?base=0", `profile=booking`, "body", 0},
		{"empty customer", "POST", "/v1/keys", `{"customer": ""}`, "customer", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var f client.ApplyProfileInvalidResponseBody
			assert.Equal(t, send(t, tt.method, url+tt.path, tt.body, &f), http.StatusBadRequest)
			assert.Equal(t, *f.Name, failureInvalid)
			assert.Equal(t, *f.Field, tt.field)
			if tt.line != 0 {
				assert.Equal(t, *f.Line, tt.line)
			}
		})
	}
	assert.Equal(t, len(c.edits), 0)
}

func TestSecretIsShownOnceAndOnlyItsDigestIsKept(t *testing.T) {
	c, url := startServer(t)
	var first, again client.GiveKeyResponseBody
	assert.Equal(t, send(t, "POST", url+"/v1/keys?operation=op2", `{"customer": "valv"}`, &first), http.StatusOK)
	assert.Assert(t, first.Secret != nil)
	assert.Equal(t, c.lastEdit().Key().Digest(), figpier.KeyDigest(sha256.Sum256([]byte(*first.Secret))))
	assert.Equal(t, send(t, "POST", url+"/v1/keys?operation=op2", `{"customer": "valv"}`, &again), http.StatusOK)
	assert.Assert(t, again.Secret == nil, "a resend made a secret that is not in force")
	assert.Equal(t, *again.Key, *first.Key)
}

func TestCatalogErrorsKeepTheirType(t *testing.T) {
	c, url := startServer(t)
	tests := []struct {
		err    error
		status int
		name   string
	}{
		{figpier.NewConflictError(9), http.StatusConflict, failureConflict},
		{figpier.NewInvalidEditError("the profile is assigned"), http.StatusBadRequest, failureInvalid},
		{figpier.NewNotLeaderError("control-2"), http.StatusServiceUnavailable, failureNotLeader},
		{figpier.NewLogFullError(1 << 20), http.StatusBadGateway, failureUnreached},
		{figpier.NewOutcomeUnknownError("op"), http.StatusGatewayTimeout, failureOutcomeUnknown},
		{context.DeadlineExceeded, http.StatusGatewayTimeout, failureOutcomeUnknown},
		{io.ErrUnexpectedEOF, http.StatusInternalServerError, failureInternal},
	}
	for _, tt := range tests {
		c.err = tt.err
		var f client.ApplyProfileInvalidResponseBody
		assert.Equal(t, send(t, "DELETE", url+"/v1/keys/k1?base=6&operation=op", "", &f), tt.status)
		assert.Equal(t, *f.Name, tt.name)
		assert.Equal(t, *f.Operation, "op")
		if tt.name == failureConflict {
			assert.Equal(t, *f.Current, int64(9))
		}
	}
}

func TestReads(t *testing.T) {
	_, url := startServer(t)
	var profiles client.ListProfilesResponseBody
	assert.Equal(t, send(t, "GET", url+"/v1/profiles", "", &profiles), http.StatusOK)
	line := profiles.Profiles[0]
	assert.Equal(t, *line.Name, "booking")
	assert.Equal(t, *line.Revision, int64(4))
	assert.DeepEqual(t, line.Services, []string{"dates"})
	var view client.ViewProfileResponseBody
	assert.Equal(t, send(t, "GET", url+"/v1/profiles/booking", "", &view), http.StatusOK)
	assert.Assert(t, strings.Contains(*view.Document, `"path": "/a"`))
	assert.Equal(t, send(t, "GET", url+"/v1/profiles/none", "", nil), http.StatusNotFound)
	var keys client.ListKeysResponseBody
	assert.Equal(t, send(t, "GET", url+"/v1/keys", "", &keys), http.StatusOK)
	assert.Equal(t, *keys.Keys[0].ID, "k1")
	assert.Equal(t, *keys.Keys[0].Customer, "valv")
	var status client.ViewStatusResponseBody
	assert.Equal(t, send(t, "GET", url+"/v1/status", "", &status), http.StatusOK)
	assert.Equal(t, *status.Instance, "control-1")
	assert.Equal(t, *status.Keys, 1)
}

func TestOpenAPIIsWhatGoaGenerated(t *testing.T) {
	_, url := startServer(t)
	answer, err := http.Get(url + "/openapi.json")
	assert.NilError(t, err)
	served, err := io.ReadAll(answer.Body)
	assert.NilError(t, err)
	generated, err := os.ReadFile("../../../gen/http/openapi3.json")
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(served, generated), "run script/generate")
}

func TestParseTokens(t *testing.T) {
	digest := sha256.Sum256([]byte(token))
	tokens, err := ParseTokens("tokens", "# operators\n\n"+hex.EncodeToString(digest[:])+"  amina\n")
	assert.NilError(t, err)
	assert.DeepEqual(t, tokens[0].config, TokenConfig{Operator: "amina", Digest: digest})
	for _, text := range []string{"\nabcd amina", "\n" + hex.EncodeToString(digest[:]), "\n" + strings.Repeat("g", 64) + " amina"} {
		_, err = ParseTokens("tokens", text)
		assert.ErrorContains(t, err, "tokens:2: want the SHA-256 digest")
	}
	_, err = ParseTokens("tokens", "# none\n")
	assert.ErrorContains(t, err, "tokens:1: the file names no operator")
}
