package controlplane

import (
	"context"
	"sync"

	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/wire"
)

// observerName is the name by which a survey introduces itself. Processes of the former release recognize it, so it must not
// change.
const observerName = "night"

// statusConnections holds the connections to sidecars and members, which are kept between surveys. Any goroutine may use it.
type statusConnections struct {
	mu        sync.Mutex // guards the fields below
	byAddress map[string]*transport.Client
}

// status asks one process for its status, over an existing connection or a new one.
func (c *statusConnections) status(ctx context.Context, address string) (*wire.StatusT, error) {
	connection, err := c.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	status, err := connection.Status(ctx)
	if err != nil {
		c.drop(address)
		connection.Close()
	}
	return status, err
}

// connect returns the connection to a process, which it dials if there is none.
func (c *statusConnections) connect(ctx context.Context, address string) (*transport.Client, error) {
	c.mu.Lock()
	connection := c.byAddress[address]
	c.mu.Unlock()
	if connection != nil {
		return connection, nil
	}
	connection, err := transport.DialClient(ctx, address, observerName, nil)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byAddress == nil {
		c.byAddress = map[string]*transport.Client{}
	}
	c.byAddress[address] = connection
	return connection, nil
}

// drop removes the connection to a process.
func (c *statusConnections) drop(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.byAddress, address)
}

// close ends all connections.
func (c *statusConnections) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, connection := range c.byAddress {
		connection.Close()
	}
	c.byAddress = nil
}
