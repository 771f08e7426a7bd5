package http1

import "bytes"

// headScanner reads a header section as its bytes come, for what net/http drops: a Content-Length beside a Transfer-Encoding
// (RFC 9112, section 6.1).
//
// The scanner is reset when a request has been answered (connection.endRequest), so it misses the bytes of a pipelined request that
// came before that. If these are the whole header section, done stays false, and ServeHTTP closes the connection after a request with
// a Transfer-Encoding: net/http reads the body by that coding, and no bytes that follow it are taken for another request, wherever
// someone else sees the end of the body. If they are only its beginning, the scan goes on within the section and finds its end: a
// Content-Length in that beginning goes unnoticed, and the connection stays open.
type headScanner struct {
	name       [len("transfer-encoding") + 1]byte // of the field on the present line, in lower case
	nameLength int                                // length of the name, which may be longer than name
	inValue    bool                               // the colon was read
	sawLine    bool                               // a line that is not empty was read
	done       bool                               // the end of the header section was read
	lengths    int                                // number of Content-Length fields
	codings    int                                // number of Transfer-Encoding fields
}

// take reads the next bytes.
func (h *headScanner) take(p []byte) {
	for len(p) > 0 && !h.done {
		end := bytes.IndexByte(p, '\n') + 1
		if end == 0 {
			end = len(p)
		}
		if h.nameLength == 0 && !h.inValue && end > 2 && !mayBeginField[p[0]] && p[end-1] == '\n' {
			h.sawLine = true // a complete line of another field
		} else {
			h.bytes(p[:end])
		}
		p = p[end:]
	}
}

// mayBeginField says with which bytes a line of the two fields, or an empty line, begins.
var mayBeginField = [256]bool{
	'c':  true,
	'C':  true,
	't':  true,
	'T':  true,
	'\r': true,
	'\n': true,
}

// bytes reads bytes of one line.
func (h *headScanner) bytes(p []byte) {
	for _, c := range p {
		switch {
		case c == '\n':
			h.done = h.sawLine && h.nameLength == 0 && !h.inValue
			h.nameLength, h.inValue = 0, false
		case c == '\r' || h.inValue:
		case c == ':':
			h.inValue = true
			switch string(h.name[:min(h.nameLength, len(h.name))]) {
			case "content-length":
				h.lengths++
			case "transfer-encoding":
				h.codings++
			}
		default:
			h.sawLine = true
			if c >= 'A' && c <= 'Z' {
				c += 'a' - 'A'
			}
			if h.nameLength < len(h.name) {
				h.name[h.nameLength] = c
			}
			h.nameLength++
		}
	}
}
