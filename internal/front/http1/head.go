package http1

import "bytes"

// headScanner reads a header section as its bytes come, for what net/http drops: a Content-Length beside a Transfer-Encoding
// (RFC 9112, section 6.1). It misses a request whose first bytes came with the former one; done is then false.
type headScanner struct {
	name    [len("transfer-encoding") + 1]byte // of the field on the present line, in lower case
	n       int                                // length of the name, of which only a part may be kept
	value   bool                               // the colon was read
	some    bool                               // a line that is not empty was read
	done    bool                               // the end of the header section was read
	lengths int                                // number of Content-Length fields
	codings int                                // number of Transfer-Encoding fields
}

// take reads the next bytes.
func (h *headScanner) take(p []byte) {
	for len(p) > 0 && !h.done {
		end := bytes.IndexByte(p, '\n') + 1
		if end == 0 {
			end = len(p)
		}
		if h.n == 0 && !h.value && end > 2 && !mayBeginField[p[0]] && p[end-1] == '\n' {
			h.some = true // a complete line of another field
		} else {
			h.bytes(p[:end])
		}
		p = p[end:]
	}
}

// mayBeginField says with which bytes a line of the two fields, or an empty line, begins.
var mayBeginField = [256]bool{'c': true, 'C': true, 't': true, 'T': true, '\r': true, '\n': true}

// bytes reads bytes of one line.
func (h *headScanner) bytes(p []byte) {
	for _, c := range p {
		switch {
		case c == '\n':
			h.done = h.some && h.n == 0 && !h.value
			h.n, h.value = 0, false
		case c == '\r' || h.value:
		case c == ':':
			h.value = true
			switch string(h.name[:min(h.n, len(h.name))]) {
			case "content-length":
				h.lengths++
			case "transfer-encoding":
				h.codings++
			}
		default:
			h.some = true
			if c >= 'A' && c <= 'Z' {
				c += 'a' - 'A'
			}
			if h.n < len(h.name) {
				h.name[h.n] = c
			}
			h.n++
		}
	}
}
