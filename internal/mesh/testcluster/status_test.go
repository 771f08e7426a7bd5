package testcluster

import (
	"context"
	"time"

	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/wire"
	"cranegrade/internal/testfleet"
)

// statusTimeout bounds a status query.
const statusTimeout = time.Second

// Status queries the status of a machine's process.
func (x *Machine) Status() (*wire.StatusT, error) { return queryStatus(x.Process.Addr) }

// statusPastRelay queries the status of a machine's process, bypassing the relay if there is one. It is nil without an answer.
func (x *Machine) statusPastRelay() *wire.StatusT {
	var addr string
	switch {
	case x.cluster.relay != nil: // also while another goroutine ends or starts the process
		addr = x.cluster.addr(x.IP, portBehindRelay)
	case x.Process != nil:
		addr = x.Process.Addr
	default:
		return nil
	}
	status, err := queryStatus(addr)
	if err != nil {
		return nil
	}
	return status
}

// queryStatus queries the status of the process at a transport address.
func queryStatus(addr string) (*wire.StatusT, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	client, err := transport.DialClient(ctx, addr, "test", nil)
	if err != nil {
		return nil, err
	}
	defer client.Close()
	return client.Status(ctx)
}

// awaitSettled waits until all members are voters and follow one leader, and all sidecars follow a member. It returns the leader, or nil
// after a timeout.
func (m *Cluster) awaitSettled(timeout time.Duration) (leader *Machine) {
	testfleet.Await(timeout, func() bool {
		leader = m.settledLeader()
		return leader != nil
	})
	return leader
}

// settledLeader returns the leader of a settled mesh, or nil if it is not settled.
func (m *Cluster) settledLeader() (leader *Machine) {
	terms := map[uint64]bool{}
	for _, x := range m.Members {
		status, err := x.Status()
		if err != nil || !status.QuorumContact || status.IsNonMember || len(status.Members) != len(m.Members) {
			return nil
		}
		terms[status.Term] = true
		if status.IsLeader {
			leader = x
		}
	}
	for _, x := range m.Sidecars {
		if status, err := x.Status(); err != nil || !status.QuorumContact || status.FollowedMember == "" {
			return nil
		}
	}
	if len(terms) != 1 {
		return nil
	}
	return leader
}
