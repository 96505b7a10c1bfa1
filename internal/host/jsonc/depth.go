package jsonc

import "bytes"

// maxDepth is the number of nested lists and objects that is accepted. The parser recurses for each level.
const maxDepth = 32

// findExcessDepth returns the offset of the first bracket or brace that is nested more than maxDepth levels deep. Brackets
// in strings and comments don't count.
func findExcessDepth(data []byte) (offset int, exceeded bool) {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			i = endOfString(data, i)
		case '/':
			i = endOfComment(data, i)
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		}
		if depth > maxDepth {
			return i, true
		}
	}
	return 0, false
}

// endOfString returns the offset of the closing quote of the string that begins at start, or the length of data without one.
func endOfString(data []byte, start int) int {
	for i := start + 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(data)
}

// endOfComment returns the offset of the newline or the closing "*/" slash of the comment that begins at start. It returns the
// length of data for an unterminated comment, and start if no comment begins there.
func endOfComment(data []byte, start int) int {
	rest := data[start:]
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		if n := bytes.IndexByte(rest, '\n'); n >= 0 {
			return start + n
		}
		return len(data)
	case bytes.HasPrefix(rest, []byte("/*")):
		if n := bytes.Index(rest[2:], []byte("*/")); n >= 0 {
			return start + n + 3
		}
		return len(data)
	}
	return start
}
