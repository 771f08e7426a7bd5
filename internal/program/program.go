// Package program is the command line that the node's programs share; they differ in what they link.
package program

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log"
	"math"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"cranegrade/internal/node"
	"cranegrade/internal/operator"
)

// Main runs the program by the process's command line and signals, and ends the process.
func Main(o node.Options, commands ...Command) {
	// First of all, for a signal that nobody catches ends the process. One waiting is enough: a reload
	// reads what the file holds by then.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(Run(ctx, reload, os.Args[1:], os.Stdout, os.Stderr, o, commands...))
}

// Exit codes.
const (
	exitFailed = 1 // it could not start, or a file has faults
	exitUsage  = 2
)

const usage = `cranegrade is a load balancer.

usage:
  cranegrade -config FILE     run by an operator's file
  cranegrade                  run by the platform's configuration, which ROUTER_CONFIG names
  cranegrade check FILE...    check operator's files; exits 1 if any has a fault
  cranegrade xds dump -config FILE
                              what the running node holds of clusters and endpoints
  cranegrade -version
  cranegrade -h

With -trace DIR the node writes there what each pool's module believes and does, a line a second;
with -trace-detail also a line for each request, attempt and answer (docs/overload.md).
While it runs: SIGHUP reads the file again, SIGTERM ends it once all that it has taken is answered.
Pages for operators are in docs/, examples of files in deploy/examples/.
`

// Command is one that a program has beyond the common ones, since not all link what it needs.
type Command struct {
	Name  string
	Usage string // lines for the usage, ended by a line break
	Run   func(args []string, stdout, stderr io.Writer) int
}

// usageOf is the usage with the further commands before the general flags.
func usageOf(commands []Command) string {
	const before = "  cranegrade -version\n"
	first, last, _ := strings.Cut(usage, before)
	for _, c := range commands {
		first += c.Usage
	}
	return first + before + last
}

// Run runs the program by its command line, and gives its exit code. reload brings the signals to read
// the file again; ctx ends it.
func Run(ctx context.Context, reload <-chan os.Signal, args []string, stdout, stderr io.Writer, o node.Options, commands ...Command) int {
	flags := flag.NewFlagSet("cranegrade", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	config := flags.String("config", "", "")
	traceDir := flags.String("trace", "", "")
	traceDetail := flags.Bool("trace-detail", false, "")
	version := flags.Bool("version", false, "")
	switch err := flags.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		fmt.Fprint(stdout, usageOf(commands))
		return 0
	case err != nil:
		fmt.Fprintf(stderr, "cranegrade: %v\n%s", err, usageOf(commands))
		return exitUsage
	case *version:
		fmt.Fprintln(stdout, "cranegrade", versionText())
		return 0
	case flags.Arg(0) == "check" && flags.NArg() > 1 && *config == "":
		return check(flags.Args()[1:], stdout, stderr)
	case flags.Arg(0) == "xds" && flags.Arg(1) == "dump" && *config == "":
		return dump(ctx, flags.Args()[2:], stdout, stderr)
	case flags.NArg() > 0:
		for _, c := range commands {
			if c.Name == flags.Arg(0) && *config == "" {
				return c.Run(flags.Args()[1:], stdout, stderr)
			}
		}
		fmt.Fprint(stderr, usageOf(commands))
		return exitUsage
	}
	var err error
	if *config != "" {
		err = runOperator(ctx, reload, *config, o, &tracer{dir: *traceDir, detail: *traceDetail})
	} else {
		err = runPlatform(ctx, reload, o, &tracer{dir: *traceDir, detail: *traceDetail})
	}
	if err != nil {
		fmt.Fprintf(stderr, "cranegrade: %v\n", err)
		return exitFailed
	}
	return 0
}

// versionText is what the build knows of itself.
func versionText() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "of an unknown version"
	}
	text, dirty := info.Main.Version, false
	if text == "" || text == "(devel)" {
		text = "devel"
		for _, s := range info.Settings {
			switch s.Key {
			case "vcs.revision":
				text = s.Value[:min(12, len(s.Value))]
			case "vcs.modified":
				dirty = s.Value == "true"
			}
		}
	}
	if dirty {
		text += " with changes"
	}
	return text + " " + info.GoVersion
}

// check prints every fault of the files, or that there is none.
func check(paths []string, stdout, stderr io.Writer) int {
	code := 0
	for _, path := range paths {
		p, err := operator.Load(path)
		switch faults := operator.Faults(nil); {
		case errors.As(err, &faults):
			for _, f := range faults {
				fmt.Fprintln(stdout, f.Error())
			}
			code = exitFailed
		case err != nil:
			fmt.Fprintf(stderr, "cranegrade: %v\n", err)
			code = exitFailed
		default:
			fmt.Fprintf(stdout, "%s: good; %d pools\n", path, len(p.Pools))
		}
	}
	return code
}

// dump asks a running node what it holds, at the admin address of its file.
func dump(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("cranegrade xds dump", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	config := flags.String("config", "", "")
	if err := flags.Parse(args); err != nil || *config == "" || flags.NArg() > 0 {
		fmt.Fprint(stderr, usage)
		return exitUsage
	}
	plan, err := operator.Load(*config)
	if err == nil && plan.Admin == "" {
		err = fmt.Errorf("%s names no admin address to ask the node at", *config)
	}
	if err == nil {
		err = fetch(ctx, "http://"+plan.Admin+"/xds/dump", stdout)
	}
	if err != nil {
		fmt.Fprintf(stderr, "cranegrade: %v\n", err)
		return exitFailed
	}
	return 0
}

func fetch(ctx context.Context, url string, to io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return fmt.Errorf("asking the node: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("asking the node: it answers %s", resp.Status)
	}
	_, err = io.Copy(to, resp.Body)
	return err
}

// prepare sets what counts for the whole process.
func prepare(name string, cores, memoryMB float64) {
	log.SetOutput(&calmWriter{to: os.Stderr})
	log.SetFlags(log.Ltime | log.Lmicroseconds)
	log.SetPrefix(name + " ")
	if memoryMB > 0 {
		// Collect harder well before the limit at which the node is killed.
		debug.SetMemoryLimit(node.MemoryLimit(memoryMB, 1))
	}
	if cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cores)))
	}
}

func runPlatform(ctx context.Context, reload <-chan os.Signal, o node.Options, t *tracer) error {
	path := os.Getenv("ROUTER_CONFIG")
	if path == "" {
		return errors.New("ROUTER_CONFIG is not set, and there is no -config FILE")
	}
	cfg, err := node.LoadConfig(path)
	if err != nil {
		return err
	}
	prepare(cfg.Name, cfg.Cores, cfg.MemoryMB)
	defer t.close()
	n, err := node.New(cfg, t.options(o, cfg.Name))
	if err != nil {
		return err
	}
	return serve(ctx, n, reload, func() error {
		cfg, err := node.LoadConfig(path)
		if err != nil {
			return err
		}
		return n.ReloadConfig(cfg)
	})
}

func runOperator(ctx context.Context, reload <-chan os.Signal, path string, o node.Options, t *tracer) error {
	plan, err := operator.Load(path)
	if err != nil {
		return err
	}
	prepare(plan.Name, plan.Cores, plan.MemoryMB)
	defer t.close()
	n, err := node.NewFromPlan(plan, t.options(o, plan.Name))
	if err != nil {
		return err
	}
	return serve(ctx, n, reload, func() error {
		plan, err := operator.Load(path)
		if err != nil {
			return err
		}
		return n.Reload(plan)
	})
}

// serve runs a node until ctx ends, and has again read its file at every signal.
func serve(ctx context.Context, n *node.Node, reload <-chan os.Signal, again func() error) error {
	for _, a := range n.Addrs() {
		log.Printf("listening on %s", a)
	}
	if a := n.InspectionAddr(); a != nil {
		log.Printf("telling what it holds on %s", a)
	}
	if a := n.OperatorAddr(); a != nil {
		log.Printf("operators call on %s", a)
	}
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case <-reload:
			case <-done:
				return
			}
			if err := again(); err != nil {
				log.Printf("reload: %v; the configuration stays as it was", err)
			}
		}
	}()
	return n.Run(ctx)
}
