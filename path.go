package figpier

import "strings"

// SafePath reports whether all servers interpret a decoded path alike: it is absolute and has
// no empty or dot segment, no backslash, no control character and no escape that decodes to one of these.
func SafePath(path string) bool {
	if !strings.HasPrefix(path, "/") {
		return false
	}
	if strings.ContainsFunc(path, isUnsafeRune) || hasDecodableEscape(path) {
		return false
	}
	rest := path[1:]
	for {
		segment, after, more := strings.Cut(rest, "/")
		if more && segment == "" || isDotSegment(segment) {
			return false
		}
		if !more {
			return true
		}
		rest = after
	}
}

func isUnsafeRune(r rune) bool { return r == '\\' || r < ' ' || r == 0x7f }

// isDotSegment reports whether a server may take the segment, without its parameters, for "." or "..".
func isDotSegment(segment string) bool {
	name, _, _ := strings.Cut(segment, ";")
	return name == "." || name == ".."
}

// hasDecodableEscape reports whether the decoded path has an escape left that changes the path for a server that decodes again.
func hasDecodableEscape(path string) bool {
	if !strings.Contains(path, "%") {
		return false
	}
	lower := strings.ToLower(path)
	for _, escape := range []string{"%2e", "%2f", "%5c", "%25", "%00"} {
		if strings.Contains(lower, escape) {
			return true
		}
	}
	return false
}
