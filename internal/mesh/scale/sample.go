package scale

import (
	"context"
	"fmt"
	"time"

	"cranegrade/internal/mesh/testcluster"
	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/wire"
)

// statusAttempts is how often a member is asked for its status before the measurement fails.
const statusAttempts = 10

// memberSample is a control-plane process at a moment.
type memberSample struct {
	usage    Usage
	sent     map[string]int64 // bytes since its start, by type of message
	isLeader bool
	keys     uint32 // leased
}

// sidecarSample is all full sidecars together at a moment.
type sidecarSample struct {
	usage    Usage
	sent     map[string]int64 // bytes since their start, by type of message
	received map[string]int64 // not known of real sidecars
}

// sample is a fleet at a moment.
type sample struct {
	at         time.Time
	machine    machineTime
	members    []memberSample
	sidecars   sidecarSample
	heartbeats int64
}

// sample reads the usage and traffic of all processes of the fleet.
func (f *fleet) sample(ctx context.Context) (s sample, err error) {
	for i, member := range f.cluster.Members {
		m, err := f.sampleMember(ctx, i, member.Process.Cmd.Process.Pid)
		if err != nil {
			return s, err
		}
		s.members = append(s.members, m)
	}
	if f.plan.kind == realSidecars {
		s.sidecars, err = f.sampleReal(ctx)
	} else {
		s.sidecars, err = f.sampleHollow()
	}
	s.at = time.Now()
	s.heartbeats = f.heartbeats.Load()
	s.machine = readMachineTime()
	return s, err
}

// sampleMember asks a control-plane member for its status. One whose event loop is late answers with little but that, and is asked again.
func (f *fleet) sampleMember(ctx context.Context, i, pid int) (m memberSample, err error) {
	for range statusAttempts {
		status, err := readStatus(ctx, f.memberClients[i])
		if err != nil { // on a machine that is too busy the connection may have ended for its silence
			if err := f.dialMember(ctx, i); err != nil {
				return m, err
			}
			continue
		}
		if status.Fault == "" {
			m.sent = bytesByType(status.Traffic)
			m.isLeader = status.IsLeader
			m.keys = status.KeyCount
			m.usage, err = processUsage(pid)
			return m, err
		}
	}
	return m, fmt.Errorf("member %d of the control plane gave no status in %d attempts", i+1, statusAttempts)
}

// readStatus asks a member for its status.
func readStatus(ctx context.Context, client *transport.Client) (*wire.StatusT, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return client.Status(ctx)
}

// sampleHollow asks the workers of full sidecars for their traffic.
func (f *fleet) sampleHollow() (s sidecarSample, err error) {
	s.sent = map[string]int64{}
	s.received = map[string]int64{}
	err = f.callFull(request{Account: &accountRequest{}}, func(r response) {
		addTraffic(s.sent, r.Account.Sent)
		addTraffic(s.received, r.Account.Received)
	})
	if err != nil {
		return s, err
	}
	for _, w := range f.fullWorkers {
		usage, err := processUsage(w.pid())
		if err != nil {
			return s, err
		}
		s.usage.add(usage)
	}
	return s, nil
}

// addTraffic adds counts of bytes by type of message.
func addTraffic(to, from map[string]int64) {
	for messageType, bytes := range from {
		to[messageType] += bytes
	}
}

// sampleReal asks each real sidecar for what it has sent.
func (f *fleet) sampleReal(ctx context.Context) (s sidecarSample, err error) {
	s.sent = map[string]int64{}
	for _, machine := range f.cluster.Sidecars {
		traffic, err := readTraffic(ctx, machine)
		if err != nil {
			return s, err
		}
		addTraffic(s.sent, traffic)
		usage, err := processUsage(machine.Process.Cmd.Process.Pid)
		if err != nil {
			return s, err
		}
		s.usage.add(usage)
	}
	return s, nil
}

// readTraffic returns what a real sidecar has sent since its start, by type of message.
func readTraffic(ctx context.Context, machine *testcluster.Machine) (map[string]int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client, err := transport.DialClient(ctx, machine.Addr("Inbound"), clientName, nil)
	if err != nil {
		return nil, err
	}
	defer client.Close()
	status, err := client.Status(ctx)
	if err != nil {
		return nil, err
	}
	return bytesByType(status.Traffic), nil
}
