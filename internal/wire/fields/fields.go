package fields

import (
	"bytes"
	"encoding/json"
)

// Names holds the names of the fields of a JSON object.
type Names struct {
	object bool
	// quoted are the names as they stand in the object, without their quotes.
	quoted [][]byte
}

// Of returns the names of the fields of a valid JSON value, without looking into the values of the fields. A value that is not an
// object lacks nothing, because decoding it reports the wrong type.
func Of(value []byte) Names {
	s := scanner{data: value}
	s.skipSpace()
	if s.next() != '{' {
		return Names{}
	}
	n := Names{object: true}
	for s.at < len(s.data) {
		s.skipSpace()
		switch s.next() {
		case '"':
			n.quoted = append(n.quoted, s.takeString())
			s.skipValue()
		case '}':
			return n
		}
	}
	return n
}

// Lacks reports whether the value is an object without a field of the name.
func (n Names) Lacks(name string) bool {
	if !n.object {
		return false
	}
	for _, q := range n.quoted {
		if string(unquote(q)) == name {
			return false
		}
	}
	return true
}

// unquote returns the name that a quoted name stands for.
func unquote(quoted []byte) []byte {
	if bytes.IndexByte(quoted, '\\') < 0 {
		return quoted
	}
	var name string
	// The value is valid JSON, of which this is a part.
	_ = json.Unmarshal(append(append([]byte{'"'}, quoted...), '"'), &name)
	return []byte(name)
}

// scanner reads valid JSON.
type scanner struct {
	data []byte
	at   int
}

// next returns the next byte and moves past it, 0 at the end.
func (s *scanner) next() byte {
	if s.at >= len(s.data) {
		return 0
	}
	s.at++
	return s.data[s.at-1]
}

func (s *scanner) skipSpace() {
	for s.at < len(s.data) {
		switch s.data[s.at] {
		case ' ', '\t', '\r', '\n':
			s.at++
		default:
			return
		}
	}
}

// takeString returns the content of a string whose opening quote has been read, and moves past its end.
func (s *scanner) takeString() []byte {
	start := s.at
	for {
		end := bytes.IndexByte(s.data[s.at:], '"')
		if end < 0 {
			s.at = len(s.data)
			return s.data[start:]
		}
		s.at += end + 1
		if !isEscaped(s.data[start : s.at-1]) {
			return s.data[start : s.at-1]
		}
	}
}

// isEscaped reports whether what follows the text is escaped by it.
func isEscaped(text []byte) bool {
	rest := bytes.TrimRight(text, `\`)
	return (len(text)-len(rest))%2 == 1
}

// skipValue moves past the value of a field and the comma behind it, or up to the end of the object.
func (s *scanner) skipValue() {
	depth := 0
	for s.at < len(s.data) {
		switch s.data[s.at] {
		case '"':
			s.at++
			s.takeString()
			continue
		case '{', '[':
			depth++
		case ',':
			if depth == 0 {
				s.at++
				return
			}
		case '}', ']':
			if depth == 0 {
				return
			}
			depth--
		}
		s.at++
	}
}
