package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"os"
	"strings"
)

const (
	bearerPrefix  = "Bearer "
	commentPrefix = "#"
)

// TokenConfig holds the fields of a Token.
type TokenConfig struct {
	// Operator is the name of the operator in the log.
	Operator string
	// Digest is the SHA-256 digest of the operator's token.
	Digest [sha256.Size]byte
}

// Token identifies an operator by the digest of the secret token that the operator sends.
type Token struct {
	config TokenConfig
}

// NewToken returns a token.
func NewToken(c TokenConfig) Token { return Token{config: c} }

// Operator returns the name of the operator.
func (t Token) Operator() string { return t.config.Operator }

// ReadTokens reads a token file. Each line holds the SHA-256 digest of an operator's token in hexadecimal and the
// operator's name.
func ReadTokens(path string) ([]Token, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return ParseTokens(path, string(data))
}

// ParseTokens parses the text of a token file, ignoring empty lines and lines that begin with #. The name is the file's
// name for error messages. A file without any token is an error.
func ParseTokens(name, text string) ([]Token, error) {
	var tokens []Token
	line := 0
	for l := range strings.Lines(text) {
		line++
		l = strings.TrimSpace(l)
		if l == "" || strings.HasPrefix(l, commentPrefix) {
			continue
		}
		t, ok := parseToken(l)
		if !ok {
			return nil, Error.New("%s:%d: want the SHA-256 digest of a token in 64 hexadecimal digits, a space and the operator's name", name, line)
		}
		tokens = append(tokens, t)
	}
	if len(tokens) == 0 {
		return nil, Error.New("%s:1: the file names no operator", name)
	}
	return tokens, nil
}

func parseToken(line string) (Token, bool) {
	fields := strings.Fields(line)
	if len(fields) != 2 {
		return Token{}, false
	}
	digest, err := hex.DecodeString(fields[0])
	if err != nil || len(digest) != sha256.Size {
		return Token{}, false
	}
	return NewToken(TokenConfig{Operator: fields[1], Digest: [sha256.Size]byte(digest)}), true
}

// authenticate returns the name of the operator whose token the request carries. It compares the token with all digests in
// constant time, so that the response time reveals nothing about them.
func authenticate(tokens []Token, r *http.Request) (string, bool) {
	values := r.Header.Values("Authorization")
	if len(values) != 1 {
		return "", false
	}
	secret, ok := strings.CutPrefix(values[0], bearerPrefix)
	if !ok {
		return "", false
	}
	digest := sha256.Sum256([]byte(secret))
	name, found := "", false
	for _, t := range tokens {
		if subtle.ConstantTimeCompare(t.config.Digest[:], digest[:]) == 1 {
			name, found = t.config.Operator, true
		}
	}
	return name, found
}
