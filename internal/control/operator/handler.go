package operator

import (
	"context"
	_ "embed" // embeds the OpenAPI document
	"encoding/json"
	"net/http"
	"time"

	goahttp "goa.design/goa/v3/http"

	"github.com/figpier/figpier/gen/http/operator/server"
	api "github.com/figpier/figpier/gen/operator"
	"github.com/figpier/figpier/internal/host/profile"
)

const (
	maxBodySize = 2 * profile.MaxSize // bytes; fits a profile file whose characters are all escaped in JSON
	readTimeout = 30 * time.Second    // for the body of a request
	openAPIPath = "/openapi.json"
)

//go:embed openapi3.json
var openAPI []byte

// newHandler returns the HTTP handler of the API. Every request needs an operator's token except for the OpenAPI document.
func newHandler(s *apiService, tokens []Token) http.Handler {
	mux := goahttp.NewMuxer()
	server.Mount(mux, server.New(api.NewEndpoints(s), mux, newDecoder, newEncoder, nil, formatError))
	h := http.NewServeMux()
	h.HandleFunc("GET "+openAPIPath, serveOpenAPI)
	h.Handle("/", requireToken(mux, tokens))
	return h
}

// requireToken passes on requests with a known operator's token, with the operator's name in their context. It bounds the
// size of their bodies and the time to read them, and answers other requests with 401 Unauthorized.
func requireToken(next http.Handler, tokens []Token) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, ok := authenticate(tokens, r)
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusUnauthorized)
			_ = json.NewEncoder(w).Encode(formatError(r.Context(), newUnauthorizedFailure()))
			return
		}
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(readTimeout))
		r.Body = http.MaxBytesReader(w, r.Body, maxBodySize)
		next.ServeHTTP(w, r.WithContext(withOperator(r.Context(), name)))
	})
}

func serveOpenAPI(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(openAPI)
}

func newDecoder(r *http.Request) goahttp.Decoder { return json.NewDecoder(r.Body) }

func newEncoder(_ context.Context, w http.ResponseWriter) goahttp.Encoder {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	return json.NewEncoder(w)
}

// operatorKey is the context key for the operator's name.
type operatorKey struct{}

func withOperator(ctx context.Context, name string) context.Context {
	return context.WithValue(ctx, operatorKey{}, name)
}

// operatorFromContext returns the name of the operator who sent the request, empty if requireToken did not set it.
func operatorFromContext(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}
