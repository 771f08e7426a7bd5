package program

import (
	"context"
	"errors"
	"log"
	"math"
	"os"
	"runtime"
	"runtime/debug"

	"cranegrade/internal/node"
	"cranegrade/internal/operator"
)

// configuration is a node's configuration, from the platform or from an operator's file.
type configuration struct {
	name     string  // of the node
	cores    float64 // 0 if not known
	memoryMB float64 // MiB; 0 if not known
	open     func(node.Options) (*node.Node, error)
	reload   func(*node.Node) error // reads the file again
}

// runNode runs a node by an operator's file, or by the platform's configuration if path is empty, until ctx ends.
func runNode(ctx context.Context, reload <-chan os.Signal, path string, o node.Options, t *tracer) error {
	load := loadOperatorFile
	if path == "" {
		load = loadPlatformFile
	}
	c, err := load(path)
	if err != nil {
		return err
	}
	prepareProcess(c)
	defer t.close()
	n, err := c.open(t.options(o, c.name))
	if err != nil {
		return err
	}
	return serve(ctx, n, reload, func() error { return c.reload(n) })
}

// loadPlatformFile reads the platform's configuration from the file that $ROUTER_CONFIG names.
func loadPlatformFile(string) (configuration, error) {
	path := os.Getenv("ROUTER_CONFIG")
	if path == "" {
		return configuration{}, errors.New("ROUTER_CONFIG is not set, and there is no -config FILE")
	}
	cfg, err := node.LoadConfig(path)
	if err != nil {
		return configuration{}, err
	}
	return configuration{
		name:     cfg.Name,
		cores:    cfg.Cores,
		memoryMB: cfg.MemoryMB,
		open:     func(o node.Options) (*node.Node, error) { return node.New(cfg, o) },
		reload: func(n *node.Node) error {
			cfg, err := node.LoadConfig(path)
			if err != nil {
				return err
			}
			return n.ReloadConfig(cfg)
		},
	}, nil
}

// loadOperatorFile reads an operator's file.
func loadOperatorFile(path string) (configuration, error) {
	plan, err := operator.Load(path)
	if err != nil {
		return configuration{}, err
	}
	return configuration{
		name:     plan.Name,
		cores:    plan.Cores,
		memoryMB: plan.MemoryMB,
		open:     func(o node.Options) (*node.Node, error) { return node.NewFromPlan(plan, o) },
		reload: func(n *node.Node) error {
			plan, err := operator.Load(path)
			if err != nil {
				return err
			}
			return n.Reload(plan)
		},
	}, nil
}

// processAlone is the number of processes that share the node's memory at the start. If a predecessor runs, the node divides
// the memory once it serves.
const processAlone = 1

// prepareProcess sets what holds for the whole process: the log, the soft limit of memory and the number of threads.
func prepareProcess(c configuration) {
	log.SetOutput(&rateLimitedWriter{to: os.Stderr})
	log.SetFlags(log.Ltime | log.Lmicroseconds)
	log.SetPrefix(c.name + " ")
	if c.memoryMB > 0 {
		debug.SetMemoryLimit(node.MemoryLimit(c.memoryMB, processAlone))
	}
	if c.cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(c.cores)))
	}
}

// serve runs a node until ctx ends, and reloads its configuration at every signal. A reload at the very end is not waited for,
// so that it can't delay the exit.
func serve(ctx context.Context, n *node.Node, reload <-chan os.Signal, reloadFile func() error) error {
	logAddresses(n)
	done := make(chan struct{})
	defer close(done)
	go reloadOnSignal(reload, done, reloadFile)
	return n.Run(ctx)
}

// reloadOnSignal reloads the configuration at every signal until done is closed.
func reloadOnSignal(reload <-chan os.Signal, done <-chan struct{}, reloadFile func() error) {
	for {
		select {
		case <-reload:
		case <-done:
			return
		}
		if err := reloadFile(); err != nil {
			log.Printf("reload rejected, the configuration stays as it was: %v", err)
		}
	}
}

// logAddresses logs the addresses that the node listens on, which others read to learn of free ports.
func logAddresses(n *node.Node) {
	for _, addr := range n.Addrs() {
		log.Printf("listening on %s", addr)
	}
	if addr := n.InspectionAddr(); addr != nil {
		log.Printf("inspection server started: address=%s", addr)
	}
	if addr := n.OperatorAddr(); addr != nil {
		log.Printf("command port started: address=%s", addr)
	}
}
