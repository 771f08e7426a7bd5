package http1

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
)

func TestHead(t *testing.T) {
	for text, want := range map[string][2]int{
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nTransfer-Encoding: x\r\n":                        {1, 0},
		"\r\nPOST /content-length: HTTP/1.1\ncontent-LENGTH : 1\nTransfer-Encoding:chunked\n\nContent-Length: 2": {0, 1},
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n":                             {1, 1},
		"POST / HTTP/1.1\r\nX-Transfer-Encoding: a\r\nTransfer-Encodings: b\r\n:\r\n\r\n":                        {0, 0},
	} {
		var h, bytewise headScanner
		h.take([]byte(text))
		for _, c := range []byte(text) {
			bytewise.take([]byte{c})
		}
		h.name, bytewise.name = [len(h.name)]byte{}, [len(h.name)]byte{}
		if !h.done || h.lengths != want[0] || h.codings != want[1] || h != bytewise {
			t.Errorf("%q: %+v, byte by byte %+v", text, h, bytewise)
		}
	}
}

// Whatever the library takes for a chunked request that had a length is seen to have one.
func FuzzHead(f *testing.F) {
	f.Add("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n")
	f.Add("POST / HTTP/1.1\r\nHost: a\r\n Content-Length: 3\r\nTransfer-Encoding:chunked\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			return
		}
		var h headScanner
		h.take([]byte(text))
		if r.TransferEncoding != nil && h.codings == 0 {
			t.Fatalf("%q: a coding is not seen", text)
		}
		if !h.done {
			t.Fatalf("%q: the head's end is not seen", text)
		}
	})
}
