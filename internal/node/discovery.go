package node

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"hollyspur"
)

// List is a message of discovery: the whole list, or the entries that changed.
type List struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
}

// Target is an entry of discovery's list.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Size     float64 `json:"capacity_hint"`
	BootMS   float64 `json:"boot_ms"`
}

var states = map[string]hollyspur.ServerState{
	"SERVING": hollyspur.Ready, "DRAINING": hollyspur.Draining, "DELETED": hollyspur.Gone,
}

// parseList reads one message. A message with any bad entry is bad as a whole: half a list would
// pass for news.
func parseList(text []byte) (List, error) {
	var l List
	if err := json.Unmarshal(text, &l); err != nil {
		return List{}, err
	}
	for i, t := range l.Targets {
		_, known := states[t.State]
		_, _, err := net.SplitHostPort(t.Endpoint)
		switch {
		case t.UID == "":
			return List{}, fmt.Errorf("target %d has no uid", i)
		case !known:
			return List{}, fmt.Errorf("target %d has the unknown state %q", i, t.State)
		case err != nil && t.State != "DELETED": // what is gone needs no address
			return List{}, fmt.Errorf("target %d: endpoint %q is no host:port", i, t.Endpoint)
		}
	}
	return l, nil
}

// server is the entry in the module's form. The node's clock is Unix time, so boot times need no
// conversion but of their unit.
func (t Target) server() hollyspur.Server {
	return hollyspur.Server{ID: t.UID, Zone: t.Zone, Cell: t.Cell, State: states[t.State],
		Size: t.Size, Boot: time.Duration(t.BootMS * float64(time.Millisecond))}
}

// silence is how long a watch may say nothing: two heartbeats, one every 2 s, and a little. A machine
// that was cut off leaves the connection open and silent, and what discovery has to tell counts as
// told after 6 s; the rest of these is for asking anew.
const silence = 4500 * time.Millisecond

const maxListBytes = 16 << 20

// discovery opens watches. It keeps no connection between them.
type discovery struct {
	addr    string
	client  *http.Client
	silence time.Duration
}

func newDiscovery(addr string) *discovery {
	return &discovery{addr: addr, silence: silence,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

var errSilent = errors.New("silent for too long")

// watch follows the list from revision since on and calls news with each message in order. It
// returns the reason for the watch's end, which is never nil.
func (d *discovery) watch(ctx context.Context, since int64, news func(List)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	quiet := time.AfterFunc(d.silence, func() { cancel(errSilent) })
	defer quiet.Stop()

	url := "http://" + d.addr + "/registry/instances?follow=1&since=" + strconv.FormatInt(since, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return causeOr(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery answers %s", resp.Status)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxListBytes)
	for lines.Scan() {
		quiet.Reset(d.silence)
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue // a heartbeat
		}
		l, err := parseList(line)
		if err != nil {
			return fmt.Errorf("malformed line: %w", err)
		}
		news(l)
	}
	if err := lines.Err(); err != nil {
		return causeOr(ctx, err)
	}
	return errors.New("discovery ended the watch")
}

// causeOr is why ctx ended, if it has, else err.
func causeOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
