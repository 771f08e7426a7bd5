package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"regexp"
	"time"

	"cranegrade/internal/engine"
	"cranegrade/internal/message"
)

// Limits on a response, so that a faulty one can't use unlimited memory or all the time that its request has.
const (
	// maxBody is the limit on a body that is buffered, so that another attempt can follow if it turns out incomplete. A
	// longer one is forwarded as it comes.
	maxBody = message.MaxBody
	// maxResponseBody is the limit on a body that is forwarded, in bytes.
	maxResponseBody = 64 << 20
	maxHeaderBytes  = 32 << 10 // header section with those of interim responses before it
	// maxDiscardedBody is the limit on a body that is read only so that its connection can be reused.
	maxDiscardedBody = maxResponseBody / 64
	// readTimeout is the time-out of each read of a response that is buffered.
	readTimeout = 500 * time.Millisecond
	// streamReadTimeout is the same for one that is forwarded: no other attempt can take its place.
	streamReadTimeout = 10 * time.Second
	// bufferTime is how long a response of unknown length is buffered in case it is short. A longer time would delay what the
	// server streams.
	bufferTime = 100 * time.Millisecond
)

var (
	errUnknownLength = errors.New("the response does not declare its length")
	errOtherRequest  = errors.New("the response belongs to another request")
	errTooLong       = errors.New("the response is too long")
)

// response is a response of a server. Its reply is nil if the body was forwarded or is not needed.
type response struct {
	resp     *http.Response
	reply    *message.Reply
	size     int64 // of its body, in bytes
	sawOther bool  // a response to another request came before it
}

// read reads a response, and forwards a long body as it comes. After an error there is no response, and what its head
// says about whether the request has run does not count.
func (s *Sender) read(ctx context.Context, a *engine.Attempt, c *conn, r *http.Request) (response, error) {
	sawOther := false
	c.readLimit.N = maxHeaderBytes
	for {
		if _, err := c.reader.Peek(1); err != nil {
			return response{}, err
		}
		if err := c.SetReadDeadline(time.Now().Add(s.readTimeout)); err != nil {
			return response{}, err
		}
		closes := announcesClose(c.reader)
		resp, err := http.ReadResponse(c.reader, r) //nolint:bodyclose // the sender owns the connection, and keeps or closes it
		if err != nil {
			return response{}, err
		}
		if resp.StatusCode < 200 { // interim (RFC 9110, section 15.2): the final response may take its time
			if err := c.SetReadDeadline(time.Time{}); err != nil {
				return response{}, err
			}
			continue
		}
		match := s.protocol.Matches(a.Payload.(*message.Request), resp)
		c.hadUnnamedResponse = c.hadUnnamedResponse || match == MatchUnnamed
		if match == MatchOther {
			// A late duplicate of the response to an earlier request; the one expected may follow.
			c.readLimit.N = maxDiscardedBody
			body := timedReader{conn: c, body: resp.Body, timeout: s.readTimeout}
			if _, err := io.Copy(io.Discard, body); err != nil || sawOther || resp.Close {
				return response{}, errors.Join(errOtherRequest, err)
			}
			sawOther, c.readLimit.N = true, maxHeaderBytes
			if err := c.SetReadDeadline(time.Time{}); err != nil {
				return response{}, err
			}
			continue
		}
		got, err := s.readBody(ctx, a, c, resp, closes)
		got.sawOther = sawOther
		return got, err
	}
}

// timedReader reads a body with a time-out for each read.
type timedReader struct {
	conn    *conn
	body    io.Reader
	timeout time.Duration
}

func (r timedReader) Read(p []byte) (int, error) {
	if err := r.conn.SetReadDeadline(time.Now().Add(r.timeout)); err != nil {
		return 0, err
	}
	return r.body.Read(p)
}

// readBody reads, forwards or discards the body, depending on its length and on whether it is needed.
func (s *Sender) readBody(ctx context.Context, a *engine.Attempt, c *conn, resp *http.Response, closes bool) (response, error) {
	n := resp.ContentLength
	if n < 0 && len(resp.TransferEncoding) == 0 && !closes && resp.ProtoAtLeast(1, 1) {
		// It ends with the connection, though the head does not announce that: it may as well have been cut off.
		return response{}, errUnknownLength
	}
	if n > maxResponseBody {
		return response{}, errTooLong
	}
	var body io.Reader = timedReader{c, resp.Body, s.readTimeout}
	if n >= 0 && int64(c.reader.Buffered()) >= n {
		body = resp.Body // it was received with the head
	}
	_, wanted := s.protocol.Classify(resp)
	switch {
	case !wanted:
		c.readLimit.N = maxDiscardedBody
		size, err := io.Copy(io.Discard, body)
		return response{resp: resp, size: size}, err
	case n >= 0 && n <= maxBody:
		c.readLimit.N = n
		content := make([]byte, n)
		_, err := io.ReadFull(body, content)
		status, header, contentType := s.protocol.ResponseHead(resp)
		return response{
			resp:  resp,
			reply: withHead(message.NewReply(contentType, content, nil), status, header),
			size:  n,
		}, err
	}
	c.readLimit.N = 2 * maxResponseBody // with the framing of a chunked body
	reply, size, err := s.forwardBody(ctx, a, timedReader{c, resp.Body, s.streamReadTimeout}, resp)
	return response{resp: resp, reply: reply, size: size}, err
}

// announcesClose reports whether the head about to be read has the connection option "close" (RFC 9112, section 9.6). net/http
// hides that field, and reports a close for a response without a length as well. A head that is larger than the reader's
// buffer counts as not announcing it.
func announcesClose(r *bufio.Reader) bool {
	for n := 1; ; n = r.Buffered() + 1 {
		if _, err := r.Peek(n); err != nil {
			return false
		}
		head, _ := r.Peek(r.Buffered())
		if end := bytes.Index(head, headEnd); end >= 0 {
			head = head[:end+2]
			return !bytes.Contains(head, contentLength) && connectionClose.Match(head)
		}
	}
}

// contentLength is the usual spelling of that field; where it is found, the costly search can be skipped.
var contentLength = []byte("\nContent-Length: ")

var connectionClose = regexp.MustCompile(`(?i)\nconnection:(?:[^\n]*,)?[ \t]*close[ \t]*(?:,[^\n]*)?\r\n`)
