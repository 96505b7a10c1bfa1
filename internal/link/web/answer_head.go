package web

import "bytes"

// errFoldedLine reports an answer whose head has a line that begins with a blank.
var errFoldedLine = Error.New("a line in the head of the answer begins with a blank")

// answerHead finds the lines that begin with a blank in the head of an answer, and in those of the informational ones before it. net/http
// appends such a line to the value of the field before it, so that the caller would get a value that its server did not send.
type answerHead struct {
	// active means that the next byte belongs to a head.
	active bool
	// lines is the number of whole lines so far, of which the first states the status.
	lines int
	// length is the number of bytes of the current line so far, and first is the first of them.
	length int
	first  byte
	// status is where in the first line the next byte is.
	status        statusPart
	informational bool
}

// statusPart is a part of the first line of an answer's head.
type statusPart uint8

const (
	beforeStatus statusPart = iota
	beforeStatusCode
	afterStatusClass
)

// scan scans bytes that have been read, and reports whether it found a line that begins with a blank.
func (h *answerHead) scan(p []byte) (found bool) {
	for h.active && len(p) > 0 {
		line, rest, ended := bytes.Cut(p, []byte{'\n'})
		if h.length == 0 && len(line) > 0 {
			h.first = line[0]
			if h.lines > 0 && (h.first == ' ' || h.first == '\t') {
				return true
			}
		}
		if h.lines == 0 {
			h.scanStatus(line)
		}
		h.length += len(line)
		if ended {
			h.endLine()
		}
		p = rest
	}
	return false
}

// scanStatus scans bytes of the first line for the first digit of the status.
func (h *answerHead) scanStatus(p []byte) {
	for _, b := range p {
		switch {
		case h.status == beforeStatus && b == ' ':
			h.status = beforeStatusCode
		case h.status == beforeStatusCode && b != ' ':
			h.status = afterStatusClass
			h.informational = b == '1'
		}
	}
}

// endLine ends a line, and the head with a blank one. Another head follows an informational one.
func (h *answerHead) endLine() {
	if blank := h.length == 0 || h.length == 1 && h.first == '\r'; blank {
		*h = answerHead{active: h.informational}
		return
	}
	h.lines++
	h.length = 0
}
