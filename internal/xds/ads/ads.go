// Package ads is the client's side of the aggregated discovery service (envoy.service.discovery.v3), as
// a state machine: events go in with the time, actions come out. It does no I/O, reads no clock and
// starts nothing; package client is the shell round it.
//
// One Machine speaks both variants, the state of the world and the incremental one, and keeps what it
// was told over broken streams and over control planes: a resource stays until a control plane says
// that it is gone, or its time to live is over.
//
// The specification is Envoy's "xDS REST and gRPC protocol"; docs/xds-conformance.md lists its
// requirements with the tests that cover them.
package ads

import (
	"cmp"
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	statuspb "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
)

// Type is a type of resources as the machine needs it.
type Type struct {
	URL string
	// Whole says that a response of the state-of-the-world variant names every resource of the type, so
	// that one it does not name is gone (clusters); else its silence says nothing (endpoints).
	Whole bool
	// Decode reads and checks a resource. It must give the name wherever that can be read, also with an
	// error, so that the refusal can say which resource is bad. prev is the value held under the name, or
	// nil: it may make reading cheaper and must not change what is read.
	Decode func(a *anypb.Any, prev any) (name string, value any, err error)
	// Name reads the name alone, for prev; nil: the type has no use for prev.
	Name func(*anypb.Any) string
}

// Config is what a machine is made of.
type Config struct {
	Delta   bool
	Node    *corev3.Node
	Types   []Type        // in the order in which they are asked for on a new stream
	Timeout time.Duration // after which a resource that was asked for and never came does not exist; 0: 15 s
}

// defaultTimeout is the specification's ("Knowing when a requested resource does not exist").
const defaultTimeout = 15 * time.Second

// maxErrors bounds how many bad resources a refusal names.
const maxErrors = 20

// Status says what is known of a resource.
type Status int

// Statuses of a resource.
const (
	Requested Status = iota // asked for, nothing came yet
	Received
	Missing // it does not exist: its time ran out, or it was removed
)

func (s Status) String() string { return [...]string{"requested", "received", "missing"}[s] }

// Resource is what a machine holds of one.
type Resource struct {
	Name    string
	Version string
	Value   any // of the type's Decode; nil unless Received
	Status  Status
	Since   time.Duration // when it got this version or status
	Error   string        // why its last update was refused; "": it was not
	ErrorAt time.Duration

	sum       [sha256.Size]byte
	expires   time.Duration // its time to live; 0: none
	due       time.Duration // when it will be held not to exist, while Requested; 0: no stream is open
	confirmed bool          // by the present control plane; see Open
}

// Action is something that the shell must do, in the order given: one of the types below.
type Action interface{ action() }

type (
	// Send sends a request of the machine's variant: one of the two is set.
	Send struct {
		Request *discovery.DiscoveryRequest
		Delta   *discovery.DeltaDiscoveryRequest
	}
	// Changed is news of one type: resources that are new or differ, and the names of those that are gone.
	Changed struct {
		Type    string
		Updated []*Resource
		Removed []string
	}
	// Report is something an operator should hear of.
	Report struct{ Text string }
)

func (Send) action()    {}
func (Changed) action() {}
func (Report) action()  {}

// state is what a machine knows of one type.
type state struct {
	Type
	wildcard bool
	wanted   map[string]bool
	held     map[string]*Resource
	version  string // of the last response that was accepted, of this control plane
	nonce    string // of the last response on this stream
	asked    bool   // a request was sent on this stream
	sweepAt  time.Duration
}

// Machine is a client's state. It belongs to one goroutine.
type Machine struct {
	cfg    Config
	states []*state
	byURL  map[string]*state
	open   bool
	out    []Action
}

// New returns a machine that wants nothing and has no stream.
func New(cfg Config) *Machine {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	m := &Machine{cfg: cfg, byURL: map[string]*state{}}
	for _, t := range cfg.Types {
		s := &state{Type: t, wanted: map[string]bool{}, held: map[string]*Resource{}}
		m.states = append(m.states, s)
		m.byURL[t.URL] = s
	}
	return m
}

func (m *Machine) do(a Action) { m.out = append(m.out, a) }

func (m *Machine) report(format string, args ...any) { m.do(Report{fmt.Sprintf(format, args...)}) }

func (m *Machine) take() []Action {
	out := m.out
	m.out = nil
	return out
}

// Resources are what is held of a type, by name. They must not be changed.
func (m *Machine) Resources(url string) map[string]*Resource {
	if s := m.byURL[url]; s != nil {
		return s.held
	}
	return nil
}

// Open says that a stream is open; same, that it leads to the control plane of the one before. Versions
// mean nothing to another control plane, so it is told none, and what it does not name within the
// time for resources is gone.
func (m *Machine) Open(now time.Duration, same bool) []Action {
	m.open = true
	for _, s := range m.states {
		s.nonce, s.asked = "", false
		if !same {
			s.version = ""
			for _, r := range s.held {
				r.confirmed = false
			}
			if s.wildcard && m.cfg.Delta {
				s.sweepAt = now + m.cfg.Timeout
			}
		}
		for _, r := range s.held {
			if r.Status == Requested {
				r.due = now + m.cfg.Timeout
			}
		}
		m.subscribe(s, nil, nil)
	}
	return m.take()
}

// Close says that the stream has broken. What is held stays; times to live go on.
func (m *Machine) Close() {
	m.open = false
	for _, s := range m.states {
		s.sweepAt = 0
		for _, r := range s.held {
			r.due = 0 // the time for a resource counts only while it can come
		}
	}
}

// Want sets what is wanted of a type: every resource there is, or those named.
func (m *Machine) Want(now time.Duration, url string, wildcard bool, names []string) []Action {
	s := m.byURL[url]
	if s == nil {
		return nil
	}
	next := make(map[string]bool, len(names))
	var added, removed []string
	for _, n := range names {
		if !next[n] && !s.wanted[n] {
			added = append(added, n)
		}
		next[n] = true
	}
	for n := range s.wanted {
		if !next[n] {
			removed = append(removed, n)
		}
	}
	slices.Sort(added)
	slices.Sort(removed)
	was := s.wildcard
	if was == wildcard && added == nil && removed == nil {
		return nil
	}
	s.wanted, s.wildcard = next, wildcard
	for _, n := range added {
		if s.held[n] == nil {
			r := &Resource{Name: n, Since: now}
			if m.open {
				r.due = now + m.cfg.Timeout
			}
			s.held[n] = r
		}
	}
	for _, n := range removed {
		if !wildcard {
			delete(s.held, n) // nobody wants to hear that it is gone
		}
	}
	if !wildcard {
		for n := range s.held {
			if !next[n] {
				delete(s.held, n)
			}
		}
	}
	if m.open {
		m.subscribe(s, added, removed)
	}
	return m.take()
}

// subscribe tells the control plane what is wanted of a type: on a new stream all of it, later the
// difference where the variant has one.
func (m *Machine) subscribe(s *state, added, removed []string) {
	first := !s.asked
	if first && !s.wildcard && len(s.wanted) == 0 {
		return // an empty first request would ask for everything
	}
	s.asked = true
	if !m.cfg.Delta {
		m.do(Send{Request: m.request(s, nil)})
		return
	}
	r := &discovery.DeltaDiscoveryRequest{TypeUrl: s.URL, ResourceNamesSubscribe: added, ResourceNamesUnsubscribe: removed}
	if first {
		r.Node = m.cfg.Node
		r.ResourceNamesSubscribe, r.ResourceNamesUnsubscribe = s.names(), nil
		r.InitialResourceVersions = map[string]string{}
		for n, held := range s.held {
			if held.Status == Received && held.confirmed {
				r.InitialResourceVersions[n] = held.Version
			}
		}
	}
	m.do(Send{Delta: r})
}

// names is the subscription in the protocol's form: a wildcard beside names is the name "*".
func (s *state) names() []string {
	l := make([]string, 0, len(s.wanted)+1)
	if s.wildcard && len(s.wanted) > 0 {
		l = append(l, "*")
	}
	for n := range s.wanted {
		l = append(l, n)
	}
	slices.Sort(l)
	return l
}

// request is a state-of-the-world request: the subscription, the last accepted version, and the nonce
// of the last response, which it acknowledges or refuses.
func (m *Machine) request(s *state, refusal *statuspb.Status) *discovery.DiscoveryRequest {
	r := &discovery.DiscoveryRequest{
		TypeUrl: s.URL, VersionInfo: s.version, ResponseNonce: s.nonce,
		ResourceNames: s.names(), ErrorDetail: refusal,
	}
	if s.nonce == "" {
		r.Node = m.cfg.Node // needed on the first request of a stream; until something came each may be it
	}
	return r
}

// change is what a response says of one resource.
type change struct {
	name, version string
	body          *anypb.Any // nil: only its time to live is renewed
	ttl           time.Duration
	hasTTL        bool
}

// Receive takes a response of the state-of-the-world variant.
func (m *Machine) Receive(now time.Duration, r *discovery.DiscoveryResponse) []Action {
	s := m.accepts(r.GetTypeUrl(), r.GetNonce())
	if s == nil {
		return m.take()
	}
	var changes []change
	var faults []string
	for _, body := range r.GetResources() {
		c := change{version: r.GetVersionInfo(), body: body}
		if body.GetTypeUrl() == wrapperURL {
			w := &discovery.Resource{}
			if err := proto.Unmarshal(body.GetValue(), w); err != nil {
				faults = append(faults, fmt.Sprintf("a wrapped resource: %v", err))
				continue
			}
			c.name, c.body = w.GetName(), w.GetResource()
			c.ttl, c.hasTTL = w.GetTtl().AsDuration(), w.GetTtl() != nil
		}
		changes = append(changes, c)
	}
	news, named, more := m.apply(now, s, changes)
	faults = append(faults, more...)
	// What is not named is gone, but not for a response that could not be read in full: the one that
	// could not be read may be the one that is missing.
	if s.Whole && faults == nil {
		for n, held := range s.held {
			if held.Status == Received && !named[n] {
				m.remove(now, s, held, news)
			}
		}
	}
	m.tell(news)
	s.nonce = r.GetNonce()
	var refusal *statuspb.Status
	if faults != nil {
		refusal = m.refusal(s, r.GetVersionInfo(), faults)
	} else {
		s.version = r.GetVersionInfo()
	}
	m.do(Send{Request: m.request(s, refusal)})
	return m.take()
}

// wrapperURL is the type of a resource in its wrapper, which holds a time to live.
const wrapperURL = "type.googleapis.com/envoy.service.discovery.v3.Resource"

// ReceiveDelta takes a response of the incremental variant.
func (m *Machine) ReceiveDelta(now time.Duration, r *discovery.DeltaDiscoveryResponse) []Action {
	s := m.accepts(r.GetTypeUrl(), r.GetNonce())
	if s == nil {
		return m.take()
	}
	changes := make([]change, 0, len(r.GetResources()))
	for _, w := range r.GetResources() {
		changes = append(changes, change{
			name: w.GetName(), version: w.GetVersion(), body: w.GetResource(),
			ttl: w.GetTtl().AsDuration(), hasTTL: w.GetTtl() != nil,
		})
	}
	news, _, faults := m.apply(now, s, changes)
	for _, n := range r.GetRemovedResources() {
		held := s.held[n]
		if held == nil {
			continue // removal of what was never there
		}
		held.confirmed = true
		switch held.Status {
		case Received:
			m.remove(now, s, held, news)
		case Requested:
			held.Status, held.Since, held.due = Missing, now, 0
			news.Removed = append(news.Removed, n)
		}
	}
	m.tell(news)
	s.nonce = r.GetNonce()
	reply := &discovery.DeltaDiscoveryRequest{TypeUrl: s.URL, ResponseNonce: s.nonce}
	if faults != nil {
		reply.ErrorDetail = m.refusal(s, r.GetSystemVersionInfo(), faults)
	} else {
		s.version = r.GetSystemVersionInfo()
	}
	m.do(Send{Delta: reply})
	return m.take()
}

// accepts finds the type of a response. One of a type that was not asked for can't be answered: a
// request would subscribe to it.
func (m *Machine) accepts(url, nonce string) *state {
	s := m.byURL[url]
	switch {
	case !m.open:
		return nil // it crossed the end of its stream
	case s == nil:
		m.report("a response of the type %.200q, which is not known, is ignored", url)
		return nil
	case !s.asked:
		m.report("a response of the type %s, which was not asked for, is ignored", url)
		return nil
	case nonce == "":
		// Without a nonce the specification has no way to acknowledge or refuse it.
		m.report("a response of the type %s without a nonce is ignored", url)
		return nil
	}
	return s
}

// apply takes resources one by one: a bad one does not keep the others from being applied. It returns
// the news, the names that were there, good or bad, and what is wrong with the bad ones.
func (m *Machine) apply(now time.Duration, s *state, changes []change) (news *Changed, named map[string]bool, faults []string) {
	news = &Changed{Type: s.URL}
	named = make(map[string]bool, len(changes))
	type decoded struct {
		change
		value any
		sum   [sha256.Size]byte
		same  bool
	}
	good := make([]decoded, 0, len(changes))
	twice := map[string]bool{}
	for i, c := range changes {
		d := decoded{change: c}
		if c.body == nil {
			if c.name == "" {
				faults = append(faults, fmt.Sprintf("resource %d is empty", i))
				continue
			}
		} else {
			d.sum = sha256.Sum256(c.body.GetValue())
			if held := s.held[c.name]; c.name != "" && held != nil && held.Status == Received && held.sum == d.sum && c.body.GetTypeUrl() == s.URL {
				d.same, d.value = true, held.Value // no need to decode what we have
			} else {
				name, value, err := m.decode(s, c.body)
				if c.name == "" {
					d.name = name
				} else if err == nil && name != c.name {
					err = fmt.Errorf("it is named %q inside", name)
				}
				if err != nil {
					faults = append(faults, m.refuse(now, s, d.name, i, err))
					named[d.name] = true
					continue
				}
				d.value = value
			}
		}
		if named[d.name] {
			twice[d.name] = true
		}
		named[d.name] = true
		good = append(good, d)
	}
	for n := range twice {
		faults = append(faults, m.refuse(now, s, n, -1, errors.New("it stands there twice")))
	}
	slices.Sort(faults)
	for _, d := range good {
		if twice[d.name] || !s.wildcard && !s.wanted[d.name] {
			continue // no longer wanted
		}
		held := s.held[d.name]
		if d.body == nil {
			// A heartbeat: it renews the time to live of what we have, and says nothing else.
			if held != nil && held.Status == Received {
				held.confirmed = true
				held.setTTL(now, d.ttl, d.hasTTL)
			}
			continue
		}
		if held == nil {
			held = &Resource{Name: d.name}
			s.held[d.name] = held
		}
		changed := held.Status != Received || held.sum != d.sum
		if changed {
			held.Since, held.Value, held.sum = now, d.value, d.sum
			news.Updated = append(news.Updated, held)
		}
		held.Version, held.Status, held.due, held.confirmed = d.version, Received, 0, true
		held.Error, held.ErrorAt = "", 0
		held.setTTL(now, d.ttl, d.hasTTL)
	}
	return news, named, faults
}

func (r *Resource) setTTL(now, ttl time.Duration, has bool) {
	r.expires = 0
	if has && ttl > 0 {
		r.expires = now + ttl
	}
}

// decode reads a resource and takes a panic of a decoder for a bad resource: what comes from a socket
// must not end the program.
func (m *Machine) decode(s *state, body *anypb.Any) (name string, value any, err error) {
	defer func() {
		if p := recover(); p != nil {
			name, value, err = "", nil, fmt.Errorf("it can't be decoded: %v", p)
		}
	}()
	if body.GetTypeUrl() != s.URL {
		return "", nil, fmt.Errorf("it is of the type %.200q", body.GetTypeUrl())
	}
	var prev any
	if s.Name != nil {
		if held := s.held[s.Name(body)]; held != nil {
			prev = held.Value
		}
	}
	return s.Decode(body, prev)
}

// refuse notes that an update of a resource was refused: what we have of it stays.
func (m *Machine) refuse(now time.Duration, s *state, name string, i int, err error) string {
	if held := s.held[name]; held != nil && name != "" {
		held.Error, held.ErrorAt = err.Error(), now
		held.confirmed = true
	}
	if name == "" {
		return fmt.Sprintf("resource %d: %v", i, err)
	}
	return fmt.Sprintf("%s: %v", name, err)
}

// refusal words the error_detail of a refused response.
func (m *Machine) refusal(s *state, version string, faults []string) *statuspb.Status {
	text := strings.Join(faults[:min(len(faults), maxErrors)], "; ")
	if n := len(faults) - maxErrors; n > 0 {
		text += fmt.Sprintf("; and %d more", n)
	}
	m.report("version %.100q of %s is refused: %.2000s", version, short(s.URL), text)
	return &statuspb.Status{Code: int32(codes.InvalidArgument), Message: text}
}

// short is the last part of a type's URL.
func short(url string) string { return url[strings.LastIndexByte(url, '.')+1:] }

// remove notes that a resource is gone. A name that is asked for stays known as missing.
func (m *Machine) remove(now time.Duration, s *state, r *Resource, news *Changed) {
	news.Removed = append(news.Removed, r.Name)
	if !s.wanted[r.Name] {
		delete(s.held, r.Name)
		return
	}
	*r = Resource{Name: r.Name, Status: Missing, Since: now, Error: r.Error, ErrorAt: r.ErrorAt, confirmed: r.confirmed}
}

// tell passes on news, if there is any, in a fixed order.
func (m *Machine) tell(news *Changed) {
	if len(news.Updated)+len(news.Removed) == 0 {
		return
	}
	slices.SortFunc(news.Updated, func(a, b *Resource) int { return cmp.Compare(a.Name, b.Name) })
	slices.Sort(news.Removed)
	m.do(*news)
}

// Advance does what has come due.
func (m *Machine) Advance(now time.Duration) []Action {
	for _, s := range m.states {
		news := &Changed{Type: s.URL}
		for _, r := range s.held {
			switch {
			case r.expires > 0 && now >= r.expires:
				m.report("%s %s: its time to live is over", short(s.URL), r.Name)
				m.remove(now, s, r, news)
			case r.due > 0 && now >= r.due:
				r.Status, r.Since, r.due = Missing, now, 0
				m.report("%s %s: not told within %v, so it is held not to exist", short(s.URL), r.Name, m.cfg.Timeout)
				news.Removed = append(news.Removed, r.Name)
			}
		}
		if s.sweepAt > 0 && now >= s.sweepAt {
			s.sweepAt = 0
			for _, r := range s.held {
				if r.Status == Received && !r.confirmed {
					m.report("%s %s: the new control plane does not name it", short(s.URL), r.Name)
					m.remove(now, s, r, news)
				}
			}
		}
		m.tell(news)
	}
	return m.take()
}

// Next is when Advance has something to do; false if never.
func (m *Machine) Next() (at time.Duration, ok bool) {
	note := func(t time.Duration) {
		if t > 0 && (!ok || t < at) {
			at, ok = t, true
		}
	}
	for _, s := range m.states {
		note(s.sweepAt)
		for _, r := range s.held {
			note(r.expires)
			note(r.due)
		}
	}
	return at, ok
}
