package node

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"log"
	"net/http"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/operator"
)

// Member is this node as a member of its fleet. It is an interface so that a program can be built without memberlist.
type Member interface {
	// Module wraps the module of a pool in one that tells it what changes among the fleet's nodes.
	Module(pool string, s balancer.Settings, in engine.Module) engine.Module
	// AnnouncePools tells the other members which pools this node has, each with a digest of its settings. It returns once they
	// know, or after a second.
	AnnouncePools(pools map[string]uint32)
	// WriteStatus writes the state of the fleet as JSON.
	WriteStatus(w io.Writer) error
	// Forget removes a member from the roster that is dead and will not come back.
	Forget(name string) error
	// Leave has the other members take over this node's part, and ends its membership.
	Leave(ctx context.Context)
	// Close ends the membership without telling anyone.
	Close()
}

// leaveTimeout bounds how long a stopping node takes to tell the other members.
const leaveTimeout = time.Second

// joinFleet joins the fleet that a plan names. It returns nil if the plan names none.
func joinFleet(p operator.Plan, join func(string, operator.Fleet, map[string]uint32) (Member, error)) (Member, error) {
	if p.Fleet == nil {
		return nil, nil
	}
	if join == nil {
		return nil, ErrNoFleet
	}
	return join(p.Name, *p.Fleet, settingsDigests(p))
}

// settingsDigests returns what members compare of their pools: a digest of the settings without those that differ between
// members by design. The digest covers the names of fields, so these names are part of what members send
// (settings_digest_test.go).
func settingsDigests(p operator.Plan) map[string]uint32 {
	digests := make(map[string]uint32, len(p.Pools))
	for _, planned := range p.Pools {
		settings := planned.Settings
		settings.Balancers = 0
		settings.Index = 0
		h := fnv.New32a()
		fmt.Fprintf(h, "%+v %+v", settings, planned.Connections)
		digests[planned.Name] = h.Sum32()
	}
	return digests
}

// leaveFleet tells the other members that this node stops. A successor has the same name and takes this node's place, so
// with one the membership ends without a message, which frees the address for it.
func (n *Node) leaveFleet() {
	if n.fleet == nil {
		return
	}
	if n.hotRestart.hasSuccessor() {
		n.fleet.Close()
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	n.fleet.Leave(ctx)
}

// registerFleetPages adds the fleet's pages to the inspection server.
func (n *Node) registerFleetPages(mux *http.ServeMux) {
	mux.HandleFunc("GET /fleet", n.withFleet(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := n.fleet.WriteStatus(w); err != nil {
			log.Printf("inspection server: fleet status not written: error=%q", err)
		}
	}))
	mux.HandleFunc("POST /fleet/forget", n.withFleet(func(w http.ResponseWriter, r *http.Request) {
		if err := n.fleet.Forget(r.URL.Query().Get("name")); err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
		}
	}))
}

// withFleet answers 404 on a node that is in no fleet, and otherwise calls the handler.
func (n *Node) withFleet(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if n.fleet == nil {
			http.Error(w, "this node is in no fleet", http.StatusNotFound)
			return
		}
		handle(w, r)
	}
}
