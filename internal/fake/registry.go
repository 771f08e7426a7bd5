package fake

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	watchHeartbeat = 2 * time.Second // how often a watch sends an empty line while nothing changes
	fullList       = -1              // the revision that asks for the complete list
)

// ListState is the state of a server in the registry's list.
type ListState string

// The states that the registry's page knows.
const (
	ListServing  ListState = "SERVING"
	ListDraining ListState = "DRAINING"
	ListDeleted  ListState = "DELETED"
)

// Registry is a fake of the platform's registry. It serves the complete list, and watches that send what changes.
type Registry struct {
	name     string
	recorder *Recorder
	port     *ReservedPort

	mu       sync.Mutex // guards the fields below
	revision int64
	entries  map[string]*registryEntry // by the server's id
	changed  chan struct{}             // closed at each change, and replaced
	server   *http.Server              // nil while the registry is down
	watchers int
}

// registryEntry is a server as the registry lists it.
type registryEntry struct {
	revision    int64 // of its latest change
	incarnation int
	target      registryTarget
}

// registryTarget is a server on the registry's wire.
type registryTarget struct {
	UID      string    `json:"uid"`
	Endpoint string    `json:"endpoint"`
	Zone     string    `json:"az"`
	Model    string    `json:"model"`
	Cell     int       `json:"pod_group"`
	State    ListState `json:"state"`
	Size     float64   `json:"capacity_hint"`
	BootMS   float64   `json:"boot_ms"`
}

// registryMessage is a list, or the changes since an earlier one, on the registry's wire.
type registryMessage struct {
	Revision int64            `json:"rev"`
	All      bool             `json:"all"`
	Targets  []registryTarget `json:"targets"`
}

// NewRegistry starts a registry on a free loopback port, with an empty list. Its name is the host whose requests its servers serve; ""
// if there is no other registry.
func NewRegistry(name string, recorder *Recorder) (*Registry, error) {
	port, err := ReservePort()
	if err != nil {
		return nil, fmt.Errorf("starting the fake registry: %w", err)
	}
	g := &Registry{name: name, recorder: recorder, port: port, entries: map[string]*registryEntry{}, changed: make(chan struct{})}
	return g, g.Up()
}

// Addr is the address of the registry. It stays the same over Down and Up.
func (g *Registry) Addr() string { return g.port.Addr() }

// Up starts the registry again after Down, with the list that it had.
func (g *Registry) Up() error {
	listener, err := net.Listen("tcp", g.Addr())
	if err != nil {
		return fmt.Errorf("starting the fake registry: %w", err)
	}
	server := &http.Server{Handler: g}
	g.mu.Lock()
	g.server = server
	g.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // until Down closes the server
	return nil
}

// Down ends the watches and refuses connections.
func (g *Registry) Down() {
	g.mu.Lock()
	server := g.server
	g.server = nil
	g.mu.Unlock()
	if server != nil {
		server.Close()
	}
}

// Close ends the registry.
func (g *Registry) Close() {
	g.Down()
	g.port.Close()
}

// Set lists a server in a state, with its present incarnation.
func (g *Registry) Set(s *Server, state ListState) { g.SetAt(s, state, s.advertisedAddr()) }

// SetAt is Set with another address, for a registry whose readers reach the server by another way.
func (g *Registry) SetAt(s *Server, state ListState, addr string) {
	incarnation, startedUnixMillis := s.Incarnation()
	config := s.Config()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.revision++
	g.entries[config.ID] = &registryEntry{revision: g.revision, incarnation: incarnation, target: registryTarget{
		UID: config.ID, Endpoint: addr, Zone: config.Zone, Model: "m", Cell: config.Cell,
		State: state, Size: 1, BootMS: startedUnixMillis,
	}}
	close(g.changed)
	g.changed = make(chan struct{})
}

// Watchers is the number of open watches.
func (g *Registry) Watchers() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.watchers
}

// listUpdate is a message of the registry with what it tells its reader.
type listUpdate struct {
	text     []byte
	revision int64
	updates  []ListUpdate
	changed  <-chan struct{} // closed at the next change
}

// updatesSince returns the entries that changed after a revision, in the order of the changes. For a revision that the registry does
// not know it returns the complete list.
func (g *Registry) updatesSince(revision int64) (listUpdate, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := revision < 0 || revision > g.revision
	var entries []*registryEntry
	for _, e := range g.entries {
		if all && e.target.State != ListDeleted || !all && e.revision > revision {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b *registryEntry) int { return int(a.revision - b.revision) })
	message := registryMessage{Revision: g.revision, All: all, Targets: []registryTarget{}}
	var updates []ListUpdate
	for _, e := range entries {
		message.Targets = append(message.Targets, e.target)
		updates = append(updates, ListUpdate{
			List: g.name, Server: e.target.UID, Withdrawn: e.target.State != ListServing, Incarnation: e.incarnation,
		})
	}
	text, err := json.Marshal(message)
	return listUpdate{append(text, '\n'), g.revision, updates, g.changed}, err
}

// ServeHTTP answers with the complete list, or with follow=1 keeps sending what changed since a revision.
func (g *Registry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	query := r.URL.Query()
	if query.Get("follow") != "1" {
		list, err := g.updatesSince(fullList)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		if _, err := w.Write(list.text); err == nil {
			g.recorder.RecordUpdates(list.updates...)
		}
		return
	}
	revision, err := strconv.ParseInt(query.Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since is no number", http.StatusBadRequest)
		return
	}
	g.watch(w, r, revision)
}

// watch sends changes until the reader disconnects or the registry goes down.
func (g *Registry) watch(w http.ResponseWriter, r *http.Request, revision int64) {
	g.countWatchers(1)
	defer g.countWatchers(-1)
	controller := http.NewResponseController(w)
	send := func(text []byte) bool {
		_, err := w.Write(text)
		return err == nil && controller.Flush() == nil
	}
	heartbeat := time.NewTicker(watchHeartbeat)
	defer heartbeat.Stop()
	for first := true; ; first = false {
		list, err := g.updatesSince(revision)
		if err != nil {
			return
		}
		if first || list.revision != revision {
			if !send(list.text) {
				return
			}
			g.recorder.RecordUpdates(list.updates...)
			revision = list.revision
		}
		select {
		case <-list.changed:
		case <-heartbeat.C:
			if !send([]byte("\n")) {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

func (g *Registry) countWatchers(change int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.watchers += change
}
