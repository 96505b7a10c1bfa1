package jsonc

import "github.com/tailscale/hujson"

// emptyText stands in for a value that is missing.
const emptyText = `""`

// fillMissingValues returns data with an empty text for each member that has a name but no value. It adds no lines.
func fillMissingValues(data []byte) []byte {
	var filled []byte
	copied := 0
	afterColon := false
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case ' ', '\t', '\r', '\n':
		case '/':
			i = endOfComment(data, i)
		case '"':
			i = endOfString(data, i)
			afterColon = false
		case ':':
			afterColon = true
		case ',', '}':
			if afterColon {
				filled = append(append(filled, data[copied:i]...), emptyText...)
				copied = i
			}
			afterColon = false
		default:
			afterColon = false
		}
	}
	return append(filled, data[copied:]...)
}

// isEmptyText reports whether a value is a text without characters.
func isEmptyText(v *hujson.Value) bool {
	l, ok := v.Value.(hujson.Literal)
	return ok && l.Kind() == '"' && l.String() == ""
}
