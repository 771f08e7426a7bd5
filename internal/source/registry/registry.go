// Package registry follows the list of servers of the platform's registry, over its HTTP/1.1 watch.
package registry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
)

// List is a message of the registry: the whole list, or the entries that changed.
type List struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
}

// Target is an entry of the registry's list.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Size     float64 `json:"capacity_hint"`
	BootMS   float64 `json:"boot_ms"`
}

var states = map[string]balancer.ServerState{
	"SERVING": balancer.Ready, "DRAINING": balancer.Draining, "DELETED": balancer.Gone,
}

// ParseList reads one message. A message with any bad entry is bad as a whole: half a list would
// pass for news.
func ParseList(text []byte) (List, error) {
	var l List
	if err := json.Unmarshal(text, &l); err != nil {
		return List{}, err
	}
	seen := make(map[string]bool, len(l.Targets))
	for i, t := range l.Targets {
		_, known := states[t.State]
		_, _, err := net.SplitHostPort(t.Endpoint)
		switch {
		case t.UID == "":
			return List{}, fmt.Errorf("target %d has no uid", i)
		case seen[t.UID]:
			return List{}, fmt.Errorf("target %d: the uid %q stands there twice", i, t.UID)
		case !known:
			return List{}, fmt.Errorf("target %d has the unknown state %q", i, t.State)
		case err != nil && t.State != "DELETED": // what is gone needs no address
			return List{}, fmt.Errorf("target %d: endpoint %q is no host:port", i, t.Endpoint)
		}
		seen[t.UID] = true
	}
	return l, nil
}

// server is the entry in the module's form. The node's clock is Unix time, so boot times need no
// conversion but of their unit.
func (t Target) server() balancer.Server {
	return balancer.Server{
		ID: t.UID, Zone: t.Zone, Cell: t.Cell, State: states[t.State],
		Size: t.Size, StartedAt: time.Duration(t.BootMS * float64(time.Millisecond)),
	}
}

// silence is how long a watch may say nothing, and a call wait for its answer: a heartbeat, one every 2 s,
// or the time-out of discovery's own, and a little. A machine that was cut off leaves the connection open
// and silent, and what discovery has to tell counts as told after 6 s. What is left of these is for asking
// anew, which takes seconds where all nodes lost their watches together: calls are worked off in turn.
const silence = 2500 * time.Millisecond

// ToldAfter is how long after it was listed a change counts as told, whether it was heard or not, less a
// little for what is on its way to a server by then.
const ToldAfter = 5800 * time.Millisecond

const maxListBytes = 16 << 20

// Source opens watches at a registry. It keeps no connection between them. It implements
// engine.Source; a version is the registry's revision in decimal.
type Source struct {
	addr    string
	client  *http.Client
	silence time.Duration
}

// New returns a source that asks the registry at addr, host:port.
func New(addr string) *Source {
	return &Source{
		addr: addr, silence: silence,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

func (d *Source) String() string { return "the registry at " + d.addr }

// News is a message in the engine's form.
func (l List) News() engine.ListUpdate {
	n := engine.ListUpdate{
		Full: l.All, Version: strconv.FormatInt(l.Rev, 10),
		Servers: make([]engine.Listed, 0, len(l.Targets)),
	}
	for _, t := range l.Targets {
		n.Servers = append(n.Servers, engine.Listed{Server: t.server(), Addr: t.Endpoint})
	}
	return n
}

var errSilent = errors.New("silent for too long")

// Watch watches the list from revision since on and calls update with each message in order, and with
// one of no servers at each heartbeat; if since is unknown, with the whole list first. It returns the reason for the watch's end, which is never nil.
func (d *Source) Watch(ctx context.Context, since string, update func(engine.ListUpdate)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	quiet := time.AfterFunc(d.silence, func() { cancel(errSilent) })
	defer quiet.Stop()

	if since == "" {
		l, err := d.list(ctx)
		if err != nil {
			return fmt.Errorf("the whole list: %w", causeOr(ctx, err))
		}
		n := l.News()
		since = n.Version
		update(n)
		quiet.Reset(d.silence)
	}
	body, err := d.ask(ctx, "?follow=1&since="+since)
	if err != nil {
		return causeOr(ctx, err)
	}
	defer body.Close()
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxListBytes)
	for lines.Scan() {
		quiet.Reset(d.silence)
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			update(engine.ListUpdate{Version: since}) // a heartbeat: nothing has changed
			continue
		}
		l, err := ParseList(line)
		if err != nil {
			return fmt.Errorf("%w: %w", engine.ErrMalformedUpdate, err)
		}
		n := l.News()
		since = n.Version
		update(n)
	}
	if err := lines.Err(); err != nil {
		return causeOr(ctx, err)
	}
	return errors.New("discovery ended the watch")
}

// list asks for the whole list.
func (d *Source) list(ctx context.Context) (List, error) {
	body, err := d.ask(ctx, "")
	if err != nil {
		return List{}, err
	}
	defer body.Close()
	text, err := io.ReadAll(io.LimitReader(body, maxListBytes))
	if err != nil {
		return List{}, err
	}
	l, err := ParseList(text)
	if err == nil && !l.All {
		err = errors.New("it says that it is not whole")
	}
	if err != nil {
		return List{}, fmt.Errorf("%w: %w", engine.ErrMalformedUpdate, err)
	}
	return l, nil
}

// ask calls discovery and returns the body of its answer.
func (d *Source) ask(ctx context.Context, query string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.addr+"/registry/instances"+query, nil)
	if err != nil {
		return nil, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("discovery answers %s", resp.Status)
	}
	return resp.Body, nil
}

// causeOr is why ctx ended, if it has, else err.
func causeOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
