package path

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
)

// requestRecorder records the requests that reach a backend server.
type requestRecorder struct {
	mu   sync.Mutex
	seen []string
}

// handler returns a handler that records each request and sends back its path in X-Path. It also sends headers that only
// nodes may set, which must not reach the caller.
func (c *requestRecorder) handler() http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.seen = append(c.seen, fmt.Sprint(r.Method, r.RequestURI, r.Header, r.Trailer, err))
		w.Header().Set("X-Path", r.URL.Path)
		w.Header().Set(figpier.HeaderEnvelope, "forged")
		w.Header().Set(figpier.HeaderBudget, "99")
		w.Header().Set("Figpier_Not_Run", "true")
		w.WriteHeader(http.StatusOK)
	}
}

// requests returns the recorded requests as text: method, target, headers, trailers and the error of reading the body.
func (c *requestRecorder) requests() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.seen...)
}

// sendRaw sends bytes to the node's callers' listener and returns the answers. It reads one answer, or, if the bytes hold
// a request to finalPath, until that is answered or the connection ends.
func sendRaw(t *testing.T, n *node, text string) []*http.Response {
	t.Helper()
	c, err := net.Dial("tcp", n.caller.ListenAddress())
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, text)
	assert.NilError(t, err)
	in := bufio.NewReader(c)
	var answers []*http.Response
	for {
		a, err := http.ReadResponse(in, nil)
		if err != nil {
			return answers
		}
		body, _ := io.ReadAll(a.Body)
		a.Body = io.NopCloser(strings.NewReader(string(body)))
		answers = append(answers, a)
		if a.Header.Get("X-Path") == finalPath || !strings.Contains(text, finalPath) {
			return answers
		}
	}
}

// finalPath is the path of the last request on a connection of sendRaw.
const finalPath = "/last"

const keyHeaderLine = "Figpier-Key: " + callerKey + "\r\n"

// rawGet returns the text of a GET request with a key, further header lines and no body.
func rawGet(target, lines string) string {
	return "GET " + target + " HTTP/1.1\r\nHost: a\r\n" + keyHeaderLine + lines + "\r\n"
}

func TestBadInputGetsATypedRefusal(t *testing.T) {
	withoutKey := func(lines string) string { return "GET /x HTTP/1.1\r\nHost: a\r\n" + lines + "\r\n" }
	tests := map[string]struct {
		text   string
		reason figpier.RefusalReason
	}{
		"no key":              {withoutKey(""), figpier.RefusalKeyMissing},
		"unknown key":         {withoutKey("Figpier-Key: unknown-key\r\n"), figpier.RefusalKeyUnknown},
		"empty key":           {withoutKey("Figpier-Key:\r\n"), figpier.RefusalKeyMalformed},
		"long key":            {withoutKey("Figpier-Key: " + strings.Repeat("k", 300) + "\r\n"), figpier.RefusalKeyMalformed},
		"two keys":            {rawGet("/x", "figpier-key: other-key\r\n"), figpier.RefusalKeyMalformed},
		"the same key twice":  {rawGet("/x", keyHeaderLine), figpier.RefusalKeyMalformed},
		"key in a header":     {rawGet("/x", "X-Debug: <"+callerKey+">\r\n"), figpier.RefusalKeyMalformed},
		"key in the query":    {rawGet("/x?k="+callerKey, ""), figpier.RefusalKeyMalformed},
		"key in the path":     {rawGet("/x/"+callerKey, ""), figpier.RefusalKeyMalformed},
		"call handle":         {rawGet("/x", "Figpier-Call: h\r\n"), figpier.RefusalHeaderReserved},
		"envelope":            {rawGet("/x", "FIGPIER-ENVELOPE: e\r\n"), figpier.RefusalHeaderReserved},
		"not run":             {rawGet("/x", "figpier-not-run: true\r\n"), figpier.RefusalHeaderReserved},
		"rank":                {rawGet("/x", "Figpier-Rank: 0\r\n"), figpier.RefusalHeaderReserved},
		"underscore":          {rawGet("/x", "Figpier_Call: h\r\n"), figpier.RefusalHeaderReserved},
		"two idempotency":     {rawGet("/x", "Idempotency-Key: a\r\nIdempotency-Key: b\r\n"), figpier.RefusalMalformed},
		"long idempotency":    {rawGet("/x", "Idempotency-Key: "+strings.Repeat("i", 300)+"\r\n"), figpier.RefusalMalformed},
		"dots":                {rawGet("/open/../once/x", ""), figpier.RefusalMalformed},
		"encoded dots":        {rawGet("/open/%2e%2e/once/x", ""), figpier.RefusalMalformed},
		"dots with parameter": {rawGet("/open/..;a=b/once/x", ""), figpier.RefusalMalformed},
		"twice encoded dots":  {rawGet("/open/%252e%252e/once/x", ""), figpier.RefusalMalformed},
		"encoded slash":       {rawGet("/open%2f..%2fonce", ""), figpier.RefusalMalformed},
		"encoded backslash":   {rawGet("/open/..%5conce", ""), figpier.RefusalMalformed},
		"double slash":        {rawGet("/open//once", ""), figpier.RefusalMalformed},
		"leading slashes":     {rawGet("//open/x", ""), figpier.RefusalMalformed},
		"control character":   {rawGet("/open/%0d%0ax", ""), figpier.RefusalMalformed},
		"asterisk":            {strings.Replace(rawGet("*", ""), "GET", "OPTIONS", 1), figpier.RefusalMalformed},
		"reserved trailer": {
			"POST /open/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTrailer: Figpier-Key\r\n\r\n0\r\nFigpier-Key: " + callerKey + "\r\n\r\n",
			figpier.RefusalHeaderReserved,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			seen := &requestRecorder{}
			n := newNode(t, newView(0, "a"), "a").serve(seen.handler())
			answers := sendRaw(t, n, tt.text)
			assert.Equal(t, len(answers), 1)
			assert.Equal(t, answers[0].Header.Get(figpier.HeaderRefusal), string(tt.reason))
			assert.Equal(t, answers[0].Header.Get(figpier.HeaderNotRun), figpier.NotRunMark)
			var body struct {
				Reason string `json:"reason"`
				NotRun bool   `json:"notRun"`
			}
			assert.NilError(t, json.NewDecoder(answers[0].Body).Decode(&body))
			assert.Equal(t, body.Reason, string(tt.reason))
			assert.Check(t, body.NotRun)
			assert.Equal(t, len(seen.requests()), 0)
		})
	}
}

func TestNoBackendServerSeesAKey(t *testing.T) {
	post := "POST /open/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
	requests := map[string]string{
		"keyed route":               rawGet("/x", ""),
		"open route":                rawGet("/open/x", ""),
		"open route, many keys":     rawGet("/open/x", "FIGPIER-KEY: other-secret\r\nfigpier-key: third-secret\r\n"),
		"undeclared trailer":        post + keyHeaderLine + "\r\n0\r\nFigpier-Key: " + callerKey + "\r\n\r\n",
		"value in another trailer":  post + keyHeaderLine + "Trailer: X-Sum\r\n\r\n0\r\nX-Sum: " + callerKey + "\r\n\r\n",
		"key named by Connection":   rawGet("/open/x", "Connection: figpier-key\r\n"),
		"key in a chunk extension":  post + "\r\n1;k=" + callerKey + "\r\na\r\n0\r\n\r\n",
		"key after a declared body": "POST /open/x HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nz",
	}
	for name, text := range requests {
		t.Run(name, func(t *testing.T) {
			seen := &requestRecorder{}
			n := newNode(t, newView(0, "a"), "a").serve(seen.handler())
			answers := sendRaw(t, n, text)
			assert.Equal(t, len(answers), 1)
			assert.Equal(t, answers[0].StatusCode, http.StatusOK)
			for _, secret := range []string{callerKey, "other-secret", "third-secret", figpier.HeaderKey} {
				assert.Check(t, !strings.Contains(strings.Join(seen.requests(), " "), secret), seen.requests())
			}
			for _, forged := range []string{figpier.HeaderEnvelope, figpier.HeaderBudget, "Figpier_Not_Run", "Figpier_not_run"} {
				assert.Equal(t, answers[0].Header.Get(forged), "")
			}
		})
	}
}

func TestSmuggledRequestsReachNoBackendServer(t *testing.T) {
	post := "POST /open/x HTTP/1.1\r\nHost: a\r\n"
	smuggled := "GET /smuggled HTTP/1.1\r\nHost: a\r\n" + keyHeaderLine + "\r\n"
	tests := map[string]string{
		"both lengths":          post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"chunked twice":         post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
		"other encoding":        post + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + smuggled,
		"hidden encoding":       post + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + smuggled,
		"two lengths":           post + "Content-Length: 0\r\nContent-Length: 90\r\n\r\n" + smuggled,
		"signed length":         post + "Content-Length: +0\r\n\r\n" + smuggled,
		"bad chunk":             post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + smuggled,
		"chunk without its end": post + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n" + smuggled,
		"bare line feeds":       "GET /open/x HTTP/1.1\r\nHost: a\r\nX: a\n\nGET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			seen := &requestRecorder{}
			n := newNode(t, newView(0, "a"), "a").serve(seen.handler())
			sendRaw(t, n, text+rawGet(finalPath, ""))
			for _, s := range seen.requests() {
				assert.Check(t, !strings.Contains(s, "smuggled"), s)
				assert.Check(t, !strings.Contains(s, "Content-Length:[5]"), s)
			}
			p := mustSend(t, newClient(t, false), n.request(http.MethodGet, "/x", nil))
			assert.Equal(t, p.status, http.StatusOK, "later requests must be served")
		})
	}
}

func TestOversizedHeaderIsRefused(t *testing.T) {
	seen := &requestRecorder{}
	n := newNode(t, newView(0, "a"), "a").serve(seen.handler())
	answers := sendRaw(t, n, rawGet("/x", "X-Big: "+strings.Repeat("b", 64<<10)+"\r\n"))
	assert.Equal(t, len(answers), 1)
	assert.Equal(t, answers[0].StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	assert.Equal(t, len(seen.requests()), 0)
}

func TestReservedHeadersOfExitCallsAreRefused(t *testing.T) {
	for _, name := range []string{figpier.HeaderEnvelope, figpier.HeaderKey, figpier.HeaderNotRun, "figpier-rank", "Figpier_Call"} {
		v := newView(0, "a", "b")
		a := newNode(t, v, "a")
		seen := &requestRecorder{}
		newNode(t, v, "b").serve(seen.handler())
		exitClient := a.exitClient()
		reason := make(chan string, 1)
		a.serve(func(_ http.ResponseWriter, r *http.Request) {
			out, _ := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://b.figpier/x", nil)
			out.Header.Set(figpier.HeaderCall, r.Header.Get(figpier.HeaderCall))
			out.Header[name] = []string{"forged"}
			answer, err := exitClient.Do(out)
			if err != nil {
				reason <- err.Error()
				return
			}
			defer answer.Body.Close()
			reason <- answer.Header.Get(figpier.HeaderRefusal)
		})
		mustSend(t, newClient(t, false), a.request(http.MethodGet, "/x", nil))
		assert.Equal(t, <-reason, string(figpier.RefusalHeaderReserved), name)
		assert.Equal(t, len(seen.requests()), 0)
	}
}
