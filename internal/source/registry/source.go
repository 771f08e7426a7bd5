// Package registry is the source of a pool's servers that watches the list of the platform's registry over
// its HTTP/1.1 watch: a response that does not end, with one JSON message a line and an empty line as a
// heartbeat.
//
// A Source starts no goroutine and keeps nothing between two watches but its settings: Watch runs on the
// caller's goroutine, and the engine decides when a failed watch is opened again.
package registry

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"cranegrade/internal/engine"
)

// watchTimeout is how long a watch may be silent, and a call may wait for its response. The registry sends
// a heartbeat every 2 s; the rest is tolerance. A machine that is partitioned off leaves the connection
// open and silent, and a change counts as known to us 6 s after it was listed (NotifiedAfter). The time
// left of these is for opening another watch, which takes seconds when all nodes lose their watches at
// once: the registry handles such calls one after the other.
const watchTimeout = 2500 * time.Millisecond

// NotifiedAfter is how long after it was listed a change counts as known to this node, whether the node
// has received it or not. It is 6 s, less a tolerance for requests that are on their way to a server.
const NotifiedAfter = 5800 * time.Millisecond

const maxListBytes = 16 << 20

// Source watches the list of a registry. It implements engine.Source; a version is the registry's revision
// in decimal.
type Source struct {
	addr         string
	client       *http.Client
	watchTimeout time.Duration
}

var _ engine.Source = (*Source)(nil)

// New returns a source of the registry at addr, host:port.
func New(addr string) *Source {
	return &Source{
		addr:         addr,
		watchTimeout: watchTimeout,
		client:       &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// String names the source in log messages.
func (s *Source) String() string { return "the registry at " + s.addr }

// errSilent is why a watch has ended that brought nothing for watchTimeout.
var errSilent = errors.New("silent for too long")

// Watch watches the list from revision since on and calls onUpdate with each message in order, and with an
// update without servers at each heartbeat. If since is "", the complete list comes first. It returns why
// the watch has ended, never nil; engine.ErrMalformedUpdate if a message is invalid.
func (s *Source) Watch(ctx context.Context, since string, onUpdate func(engine.ListUpdate)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(s.watchTimeout, func() { cancel(errSilent) })
	defer silence.Stop()

	if since == "" {
		l, err := s.fetchList(ctx)
		if err != nil {
			return fmt.Errorf("the complete list: %w", causeOr(ctx, err))
		}
		update := l.Update()
		since = update.Version
		onUpdate(update)
		silence.Reset(s.watchTimeout)
	}
	body, err := s.get(ctx, "?follow=1&since="+since)
	if err != nil {
		return causeOr(ctx, err)
	}
	defer func() { _ = body.Close() }() // the connection is not used again
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxListBytes)
	for lines.Scan() {
		silence.Reset(s.watchTimeout)
		update, err := parseWatchLine(lines.Bytes(), since)
		if err != nil {
			return err
		}
		since = update.Version
		onUpdate(update)
	}
	if err := lines.Err(); err != nil {
		return causeOr(ctx, err)
	}
	return errors.New("discovery ended the watch")
}

// parseWatchLine parses a line of a watch. An empty one is a heartbeat: the list is still that of since.
func parseWatchLine(line []byte, since string) (engine.ListUpdate, error) {
	line = bytes.TrimSpace(line)
	if len(line) == 0 {
		return engine.ListUpdate{Version: since}, nil
	}
	l, err := ParseList(line)
	if err != nil {
		return engine.ListUpdate{}, fmt.Errorf("%w: %w", engine.ErrMalformedUpdate, err)
	}
	return l.Update(), nil
}

// fetchList gets the complete list.
func (s *Source) fetchList(ctx context.Context) (List, error) {
	body, err := s.get(ctx, "")
	if err != nil {
		return List{}, err
	}
	defer func() { _ = body.Close() }() // the connection is not used again
	text, err := io.ReadAll(io.LimitReader(body, maxListBytes))
	if err != nil {
		return List{}, err
	}
	l, err := ParseList(text)
	if err == nil && !l.Complete {
		err = errors.New("it says that it is not complete")
	}
	if err != nil {
		return List{}, fmt.Errorf("%w: %w", engine.ErrMalformedUpdate, err)
	}
	return l, nil
}

// get calls the registry and returns the body of its response, which the caller closes.
func (s *Source) get(ctx context.Context, query string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.addr+"/registry/instances"+query, nil)
	if err != nil {
		return nil, err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close() // the connection is not used again
		return nil, fmt.Errorf("discovery answers %s", resp.Status)
	}
	return resp.Body, nil
}

// causeOr returns why ctx has ended, if it has, else err.
func causeOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
