// Command cranegrade is one real node. ROUTER_CONFIG names its configuration; SIGTERM ends it once
// all that it has taken is answered.
package main

import (
	"context"
	"errors"
	"fmt"
	"log"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"hollyspur/internal/node"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "cranegrade: %v\n", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	path := os.Getenv("ROUTER_CONFIG")
	if path == "" {
		return errors.New("ROUTER_CONFIG is not set")
	}
	cfg, err := node.LoadConfig(path)
	if err != nil {
		return err
	}
	log.SetFlags(log.Ltime | log.Lmicroseconds)
	log.SetPrefix(cfg.Name + " ")
	if cfg.MemoryMB > 0 {
		// Collect harder well before the limit at which the node is killed.
		debug.SetMemoryLimit(int64(cfg.MemoryMB * 0.7 * (1 << 20)))
	}
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	}
	n, err := node.New(cfg)
	if err != nil {
		return err
	}
	log.Printf("listening on %s", n.Addr())
	return n.Run(ctx)
}
