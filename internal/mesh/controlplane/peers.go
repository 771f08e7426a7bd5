package controlplane

import (
	"context"
	"sync"

	"github.com/rs/zerolog"

	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/wire"
)

// peerSet holds the links to other members, by address. Any goroutine may call its methods.
type peerSet struct {
	ctx   context.Context // of dials: ends with the member
	log   zerolog.Logger
	hello func() *wire.HelloT // introduces this member
	// onConnected and onRefused are called on the link's goroutine, after it has connected and after the peer's host has refused the
	// connection.
	onConnected func(*transport.Conn)
	onRefused   func(address string)
	calls       transport.Calls

	mu    sync.Mutex // guards links
	links map[string]*peerLink
}

// link returns the link to the member at an address, and creates it if there is none.
func (s *peerSet) link(address string) *peerLink {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.links == nil {
		s.links = map[string]*peerLink{}
	}
	link := s.links[address]
	if link == nil {
		link = &peerLink{peers: s, address: address}
		s.links[address] = link
	}
	return link
}

// broadcast sends a frame to all peers.
func (s *peerSet) broadcast(frame []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, link := range s.links {
		link.sendFrame(frame)
	}
}
