package transport

import (
	"net"
	"time"
)

// acceptRetryInterval is the pause after a failed accept.
const acceptRetryInterval = 20 * time.Millisecond

// AcceptEach accepts connections until stopped is closed, and calls serve with each on a goroutine of its own, which ends with serve.
// After a failed accept, for instance for lack of a file descriptor, it retries. It only returns once the listener is closed as well as
// stopped.
func AcceptEach(listener net.Listener, stopped <-chan struct{}, serve func(net.Conn)) {
	for {
		accepted, err := listener.Accept()
		if err == nil {
			go serve(accepted)
			continue
		}
		select {
		case <-stopped:
			return
		case <-time.After(acceptRetryInterval):
		}
	}
}
