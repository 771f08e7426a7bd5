package testfleet

import (
	"context"
	"fmt"
	"time"

	"cranegrade/internal/admin"
)

// Lines that the program logs, by which its addresses are found.
const (
	loggedInspectionAddr = "inspection server started: address="
	loggedOperatorAddr   = "command port started: address="
)

// InspectionAddr returns the address of the program's inspection server.
func (p *Process) InspectionAddr() (string, error) { return p.AwaitLogged(loggedInspectionAddr) }

// OperatorAddr returns the address at which the program takes operators' commands.
func (p *Process) OperatorAddr() (string, error) { return p.AwaitLogged(loggedOperatorAddr) }

// AwaitReady waits until the program reports that it is ready to take over, as in an upgrade.
func (p *Process) AwaitReady(ctx context.Context, limit time.Duration) error {
	addr, err := p.OperatorAddr()
	if err != nil {
		return err
	}
	if !Await(limit, func() bool {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		ready, _, err := admin.Send(callCtx, addr, admin.Command{Verb: admin.Check})
		return ready && err == nil
	}) {
		return fmt.Errorf("the program is not ready within %v", limit)
	}
	return nil
}
