// Package demo runs demonstrations on a small mesh of real processes on loopback: traffic of several kinds runs while machines fail,
// are maintained, or policies change, and the outcome of every request is checked and printed.
//
// It owns the demonstrations and their checks; package testcluster owns the mesh. It must never be part of a program that serves
// traffic. Each demonstration is one call, on one goroutine; only the traffic has goroutines of its own.
//
// Sources: docs/mesh.md, docs/maintenance.md and docs/teams.md say what the demonstrations show.
package demo

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/testcluster"
	"cranegrade/internal/testfleet"
)

// startTimeout bounds the start of the mesh, and the time until a change is acknowledged.
const startTimeout = 20 * time.Second

// memberCount is the number of control-plane members of a demo's mesh.
const memberCount = 3

// cluster is a small mesh on loopback with traffic through it.
type cluster struct {
	*testcluster.Cluster
	*traffic
	out io.Writer
	dir string
}

// startCluster builds the programs, starts the control-plane members and a sidecar with a server for each service, and applies the
// routes.
func startCluster(out io.Writer, services []string, routes ...map[string]any) (*cluster, error) {
	dir, err := os.MkdirTemp("", "mesh")
	if err != nil {
		return nil, err
	}
	c := &cluster{out: out, dir: dir, traffic: newTraffic()}
	fmt.Fprintf(out, "%d control-plane members, %d sidecars with fake servers: %v\n", memberCount, len(services), services)
	if err := c.start(services, routes); err != nil {
		c.closeAndRemove()
		return nil, err
	}
	return c, nil
}

// start starts the processes and applies the first configuration, of the services and routes.
func (c *cluster) start(services []string, routes []map[string]any) (err error) {
	if err := testcluster.BuildPrograms(c.dir); err != nil {
		return err
	}
	if c.Cluster, err = testcluster.New(c.dir, memberCount, services...); err != nil {
		return err
	}
	known := slices.Clone(services)
	slices.Sort(known)
	if err := c.modify(testcluster.ModifyCall(1, slices.Compact(known), routes...)); err != nil {
		return err
	}
	if !c.AwaitReady(startTimeout) {
		return errors.New("the sidecars do not get ready")
	}
	return nil
}

// closeAndRemove ends all processes and removes their files.
func (c *cluster) closeAndRemove() {
	if c.Cluster != nil {
		c.Close()
	}
	if err := os.RemoveAll(c.dir); err != nil {
		fmt.Fprintln(c.out, err)
	}
}

// modify sends a change to the members in turn until one acknowledges it.
func (c *cluster) modify(body []byte) error {
	status, text := 0, ""
	acknowledged := testfleet.Await(startTimeout, func() bool {
		for _, member := range c.Members {
			if member.Process == nil {
				continue
			}
			if status, text = member.Modify(body); status == http.StatusOK {
				return true
			}
		}
		return false
	})
	if !acknowledged {
		return errors.Errorf("the change is not acknowledged: %d %s", status, text)
	}
	return nil
}

// sidecar returns one of the sidecars, in turn.
func (c *cluster) sidecar(n int) *testcluster.Machine { return c.Sidecars[n%len(c.Sidecars)] }

// checkRecords returns the violations in the records of the servers and callers.
func (c *cluster) checkRecords() error {
	if violations := c.Recorder.Violations(); len(violations) > 0 {
		return errors.Errorf("broken: %v", violations)
	}
	return nil
}
