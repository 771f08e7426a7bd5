package http1

// head looks at a request's head as its bytes come, for what the library drops: a length beside a transfer coding. Of a
// request whose first bytes came with the one before it sees nothing, and says so.
type head struct {
	name    [len("transfer-encoding") + 1]byte // of the field whose line comes, in lower case
	n       int                                // bytes of that; those beyond are not kept
	value   bool                               // its colon has come
	some    bool                               // a line that is not empty has come
	done    bool                               // the head has
	lengths int                                // Content-Length fields
	codings int                                // Transfer-Encoding fields
}

// take looks at the next bytes.
func (h *head) take(p []byte) {
	for _, c := range p {
		switch {
		case h.done:
			return
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
