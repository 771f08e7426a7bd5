package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"

	"cranegrade/balancer"
	"cranegrade/internal/envoyconf"
	"cranegrade/internal/operator"
	"cranegrade/internal/program"
)

// proxyConfigUsage is the help of the command, as part of the program's.
const proxyConfigUsage = `  cranegrade proxy-config -config FILE -mode MODE [-listen HOST:PORT] [-processor HOST:PORT] [-retries N]
                              the proxy's side for a file: MODE is header, metadata, fallbacks or every-try
                              (docs/extproc.md); default: -listen 127.0.0.1:10000, -processor as the file's [ext_proc]
                              listens, -retries 2; for example:
                              cranegrade proxy-config -config deploy/examples/extproc.toml -mode header
`

// proxyConfigCommand prints a proxy's configuration for an operator's file.
var proxyConfigCommand = program.Command{Name: "proxy-config", Usage: proxyConfigUsage, Run: proxyConfig}

// proxyConfig prints a proxy's configuration for an operator's file.
func proxyConfig(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("cranegrade proxy-config", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	config := flags.String("config", "", "")
	mode := flags.String("mode", "", "")
	listen := flags.String("listen", "", "")
	processor := flags.String("processor", "", "")
	retries := flags.Int("retries", 0, "")
	err := flags.Parse(args)
	if err != nil || *config == "" || *mode == "" || flags.NArg() > 0 || *retries < 0 {
		fmt.Fprint(stderr, "usage:\n"+proxyConfigUsage)
		return program.ExitUsage
	}
	text, err := buildProxy(*config, envoyconf.Options{
		Mode:      envoyconf.Mode(*mode),
		Listen:    *listen,
		Processor: *processor,
		Retries:   *retries,
	})
	if err != nil {
		fmt.Fprintf(stderr, "cranegrade: %v\n", err)
		return program.ExitFailed
	}
	fmt.Fprint(stdout, string(text))
	return program.ExitOK
}

// buildProxy returns a proxy's configuration. It completes p with what the operator's file says.
func buildProxy(config string, p envoyconf.Options) ([]byte, error) {
	plan, err := loadExtProcPlan(config)
	if err != nil {
		return nil, err
	}
	if p.Processor == "" {
		p.Processor = plan.ExtProc.Listen
	}
	if strings.HasSuffix(p.Processor, ":0") {
		return nil, errors.New("the processor's port is any free one: name it with -processor")
	}
	p.Settings = processorSettings(plan)
	p.MaxStreams = plan.ExtProc.Streams
	p.Classes = proxyClasses(plan.Pools)
	p.Endpoints = staticEndpoints(plan.Pools)
	return envoyconf.Build(p)
}

// proxyClasses returns the classes of all pools. The proxy does not know pools, so pools with a class of one name share it:
// with the longest deadline, and idempotent only if it is so in each of them.
func proxyClasses(pools []operator.Pool) (classes []envoyconf.Class) {
	indexes := map[string]int{}
	for _, pool := range pools {
		for _, c := range pool.Settings.Classes {
			i, known := indexes[c.Name]
			if !known {
				i = len(classes)
				indexes[c.Name] = i
				classes = append(classes, envoyconf.Class{Name: c.Name, Idempotent: true})
			}
			class := &classes[i]
			class.Deadline = max(class.Deadline, c.Deadline)
			class.Idempotent = class.Idempotent && c.Effect == balancer.Idempotent
		}
	}
	return classes
}

// staticEndpoints returns the servers of all pools, or none if a pool's list can change: then a control plane has to give the
// proxy its endpoints.
func staticEndpoints(pools []operator.Pool) (addrs []string) {
	for _, pool := range pools {
		if len(pool.List.Static) == 0 {
			return nil
		}
		for _, s := range pool.List.Static {
			addrs = append(addrs, s.Addr)
		}
	}
	return addrs
}
