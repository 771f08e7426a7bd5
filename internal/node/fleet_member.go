package node

import (
	"context"
	"errors"
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

// Member is this node among the others of its fleet. It is an interface so that a program can be built without what
// it links.
type Member interface {
	// Module stands between a pool's engine and its module, and tells that what changes among the nodes.
	Module(pool string, s balancer.Settings, in engine.Module) engine.Module
	// Serve tells the others which pools this node has, each with a digest of its settings.
	Serve(pools map[string]uint32)
	WriteStatus(w io.Writer) error
	// Forget takes a member that is dead off the roll.
	Forget(name string) error
	// Leave has the others take this node's part over; Close ends it without a word.
	Leave(ctx context.Context)
	Close()
}

// ErrNoFleet says that a file wants what the program has not.
var ErrNoFleet = errors.New("this program is built without [fleet]")

// leaveTimeout bounds how long a node that stops tells the others so.
const leaveTimeout = time.Second

// joinFleet joins the fleet that a plan names; nil: none.
func joinFleet(p operator.Plan, open func(string, operator.Fleet, map[string]uint32) (Member, error)) (Member, error) {
	if p.Fleet == nil {
		return nil, nil
	}
	if open == nil {
		return nil, ErrNoFleet
	}
	return open(p.Name, *p.Fleet, settingsDigests(p))
}

// settingsDigests are what members compare of their pools: the settings, but for what each has of its own.
func settingsDigests(p operator.Plan) map[string]uint32 {
	l := make(map[string]uint32, len(p.Pools))
	for _, pp := range p.Pools {
		s := pp.Settings
		s.Balancers, s.Index = 0, 0
		h := fnv.New32a()
		fmt.Fprintf(h, "%+v %+v", s, pp.Conns)
		l[pp.Name] = h.Sum32()
	}
	return l
}

// leaveFleet has the others know that this node stops. A successor has its name and takes its place: to that it leaves
// the address.
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

// registerFleetPages tells of the fleet on the admin address.
func (n *Node) registerFleetPages(mux *http.ServeMux) {
	none := func(w http.ResponseWriter) bool {
		if n.fleet == nil {
			http.Error(w, "this node is in no fleet", http.StatusNotFound)
		}
		return n.fleet == nil
	}
	mux.HandleFunc("GET /fleet", func(w http.ResponseWriter, _ *http.Request) {
		if !none(w) {
			w.Header().Set("Content-Type", "application/json")
			if err := n.fleet.WriteStatus(w); err != nil {
				log.Printf("admin: fleet: %v", err)
			}
		}
	})
	mux.HandleFunc("POST /fleet/forget", func(w http.ResponseWriter, r *http.Request) {
		if none(w) {
			return
		}
		if err := n.fleet.Forget(r.URL.Query().Get("name")); err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
		}
	})
}
