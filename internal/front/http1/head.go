package http1

import "bytes"

// headScanner looks at a request's head as its bytes come, for what the library drops: a length beside a transfer coding. Of a
// request whose first bytes came with the one before it sees nothing, and says so.
type headScanner struct {
	name    [len("transfer-encoding") + 1]byte // of the field whose line comes, in lower case
	n       int                                // bytes of that; those beyond are not kept
	value   bool                               // its colon has come
	some    bool                               // a line that is not empty has come
	done    bool                               // the head has
	lengths int                                // Content-Length fields
	codings int                                // Transfer-Encoding fields
}

// take looks at the next bytes.
func (h *headScanner) take(p []byte) {
	for len(p) > 0 && !h.done {
		end := bytes.IndexByte(p, '\n') + 1
		if end == 0 {
			end = len(p)
		}
		if h.n == 0 && !h.value && end > 2 && !mayBeginField[p[0]] && p[end-1] == '\n' {
			h.some = true // a whole line that names nothing of what is looked for
		} else {
			h.bytes(p[:end])
		}
		p = p[end:]
	}
}

// mayBeginField says which bytes a line may begin with that names what is looked for, or that has nothing to say.
var mayBeginField = [256]bool{'c': true, 'C': true, 't': true, 'T': true, '\r': true, '\n': true}

// bytes looks at bytes of one line.
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
