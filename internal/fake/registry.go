package fake

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// heartbeat is how often a watch says something though nothing changes.
const watchHeartbeat = 2 * time.Second

// Registry is a stand-in for the platform's registry: whole lists, and watches of what changes.
type Registry struct {
	name     string
	recorder *Recorder
	addr     string

	mu       sync.Mutex // guards all below
	revision int64
	entries  map[string]*registryEntry
	changed  chan struct{} // closed at each change
	server   *http.Server  // nil while it is down
	watchers int
}

// entry is a server as the registry lists it.
type registryEntry struct {
	revision    int64
	incarnation int
	JSON        struct {
		UID      string  `json:"uid"`
		Endpoint string  `json:"endpoint"`
		Zone     string  `json:"az"`
		Model    string  `json:"model"`
		Cell     int     `json:"pod_group"`
		State    string  `json:"state"`
		Size     float64 `json:"capacity_hint"`
		BootMS   float64 `json:"boot_ms"`
	}
}

// NewRegistry starts a registry on a free loopback port, with an empty list. Its name is the host whose
// requests its servers are for; "" if there is no other registry.
func NewRegistry(name string, rec *Recorder) (*Registry, error) {
	g := &Registry{name: name, recorder: rec, entries: map[string]*registryEntry{}, changed: make(chan struct{})}
	return g, g.listen("127.0.0.1:0")
}

// Addr is its address, the same after Down and Up.
func (g *Registry) Addr() string { return g.addr }

func (g *Registry) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("registry: %w", err)
	}
	srv := &http.Server{Handler: g}
	g.mu.Lock()
	g.addr, g.server = l.Addr().String(), srv
	g.mu.Unlock()
	go srv.Serve(l)
	return nil
}

// Down ends its watches and refuses connections.
func (g *Registry) Down() {
	g.mu.Lock()
	srv := g.server
	g.server = nil
	g.mu.Unlock()
	if srv != nil {
		srv.Close()
	}
}

// Up starts it again with the list that it had.
func (g *Registry) Up() error { return g.listen(g.addr) }

// Close ends it.
func (g *Registry) Close() { g.Down() }

// Set lists a server as it is now; state is SERVING, DRAINING or DELETED.
func (g *Registry) Set(s *Server, state string) { g.SetAt(s, state, s.advertisedAddr()) }

// SetAt is Set with another address: of the way that this registry's callers have to the server.
func (g *Registry) SetAt(s *Server, state, addr string) {
	boot, ms := s.Incarnation()
	cfg := s.Config()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.revision++
	e := &registryEntry{revision: g.revision, incarnation: boot}
	e.JSON.UID, e.JSON.Endpoint, e.JSON.Zone, e.JSON.Model, e.JSON.Cell = cfg.ID, addr, cfg.Zone, "m", cfg.Cell
	e.JSON.State, e.JSON.Size, e.JSON.BootMS = state, 1, ms
	g.entries[cfg.ID] = e
	close(g.changed)
	g.changed = make(chan struct{})
}

// Watchers is the number of watches that are open.
func (g *Registry) Watchers() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.watchers
}

// since are the entries that changed after a revision, in the order of the changes; the whole list if
// that is not one of ours.
func (g *Registry) updatesSince(rev int64) (text []byte, now int64, told []ListUpdate, changed chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := rev < 0 || rev > g.revision
	var l []*registryEntry
	for _, e := range g.entries {
		if all && e.JSON.State != "DELETED" || !all && e.revision > rev {
			l = append(l, e)
		}
	}
	sort.Slice(l, func(i, j int) bool { return l[i].revision < l[j].revision })
	message := struct {
		Rev     int64 `json:"rev"`
		All     bool  `json:"all"`
		Targets []any `json:"targets"`
	}{g.revision, all, []any{}}
	for _, e := range l {
		message.Targets = append(message.Targets, e.JSON)
		told = append(told, ListUpdate{List: g.name, Server: e.JSON.UID, Withdrawn: e.JSON.State != "SERVING", Incarnation: e.incarnation})
	}
	text, _ = json.Marshal(message)
	return append(text, '\n'), g.revision, told, g.changed
}

func (g *Registry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	q := r.URL.Query()
	if q.Get("follow") != "1" {
		text, _, told, _ := g.updatesSince(-1)
		if _, err := w.Write(text); err == nil {
			g.recorder.RecordUpdates(told...)
		}
		return
	}
	rev, err := strconv.ParseInt(q.Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since is no number", http.StatusBadRequest)
		return
	}
	g.watch(w, r, rev)
}

func (g *Registry) watch(w http.ResponseWriter, r *http.Request, rev int64) {
	g.mu.Lock()
	g.watchers++
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		g.watchers--
		g.mu.Unlock()
	}()
	rc := http.NewResponseController(w)
	beat := time.NewTicker(watchHeartbeat)
	defer beat.Stop()
	for first := true; ; first = false {
		text, now, told, changed := g.updatesSince(rev)
		if first || now != rev {
			if _, err := w.Write(text); err != nil || rc.Flush() != nil {
				return
			}
			g.recorder.RecordUpdates(told...)
			rev = now
		}
		select {
		case <-changed:
		case <-beat.C:
			if _, err := w.Write([]byte("\n")); err != nil || rc.Flush() != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}
