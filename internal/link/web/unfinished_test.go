package web

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier/internal/host/memory"
)

// Guards against a part of an answer that an HTTP/1.0 caller takes for a whole one, because the end of the connection is the end of an
// answer without a length.
func TestUnfinishedAnswerToAnHTTP10CallerEndsWithAReset(t *testing.T) {
	certified := httptest.NewUnstartedServer(nil)
	certified.StartTLS()
	defer certified.Close()
	for name, config := range map[string]*tls.Config{"plain": nil, "TLS": certified.TLS} {
		for counted, bound := range map[string]*memory.Bound{"counted": memory.New(memory.Config{}), "not counted": nil} {
			t.Run(name+", "+counted, func(t *testing.T) {
				c := ServerConfig{Address: "127.0.0.1:0", TLS: config, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.WriteString(w, "part")
					_ = http.NewResponseController(w).Flush()
					if r.URL.Path == "/broken" {
						panic(http.ErrAbortHandler)
					}
				})}
				if bound != nil {
					c.Memory = bound
				}
				s, err := Listen(t.Context(), c)
				assert.NilError(t, err)
				read := func(path string) (string, error) {
					conn, err := net.Dial("tcp", s.Address())
					assert.NilError(t, err)
					if config != nil {
						conn = tls.Client(conn, &tls.Config{InsecureSkipVerify: true}) //nolint:gosec // a test of the end of the connection
					}
					defer func() { _ = conn.Close() }()
					assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
					_, err = fmt.Fprintf(conn, "GET %s HTTP/1.0\r\n\r\n", path)
					assert.NilError(t, err)
					text, err := io.ReadAll(conn)
					return string(text), err
				}
				text, err := read("/whole")
				assert.NilError(t, err)
				assert.Assert(t, strings.HasSuffix(text, "part"), text)
				for range 20 {
					text, err := read("/broken")
					assert.Assert(t, err != nil, "an end in order after %q", text)
				}
			})
		}
	}
}
