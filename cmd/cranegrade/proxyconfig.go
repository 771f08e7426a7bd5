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

const proxyConfigUsage = `  cranegrade proxy-config -config FILE -mode MODE [-listen HOST:PORT] [-processor HOST:PORT] [-retries N]
                              the proxy's side for a file: MODE is header, metadata, fallbacks or every-try
                              (docs/extproc.md)
`

var proxyConfigCommand = program.Command{Name: "proxy-config", Usage: proxyConfigUsage, Run: proxyConfig}

func proxyConfig(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("cranegrade proxy-config", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	config, mode := flags.String("config", "", ""), flags.String("mode", "", "")
	listen, processor, retries := flags.String("listen", "", ""), flags.String("processor", "", ""), flags.Int("retries", 0, "")
	if err := flags.Parse(args); err != nil || *config == "" || *mode == "" || flags.NArg() > 0 || *retries < 0 {
		fmt.Fprint(stderr, "usage:\n"+proxyConfigUsage)
		return 2
	}
	text, err := buildProxy(*config, envoyconf.Options{Mode: envoyconf.Mode(*mode), Listen: *listen, Processor: *processor, Retries: *retries})
	if err != nil {
		fmt.Fprintf(stderr, "cranegrade: %v\n", err)
		return 1
	}
	stdout.Write(text)
	return 0
}

func buildProxy(config string, p envoyconf.Options) ([]byte, error) {
	plan, err := operator.Load(config)
	if err != nil {
		return nil, err
	}
	if plan.ExtProc == nil {
		return nil, errors.New(config + " has no [ext_proc]: no proxy asks it")
	}
	if p.Processor == "" {
		p.Processor = plan.ExtProc.Listen
	}
	if strings.HasSuffix(p.Processor, ":0") {
		return nil, errors.New("the processor's port is any free one: name it with -processor")
	}
	p.Settings, p.MaxStreams = processorSettings(plan), plan.ExtProc.Streams
	at, told := map[string]int{}, true
	for _, pool := range plan.Pools {
		for _, c := range pool.Settings.Classes {
			i, is := at[c.Name]
			if !is {
				i = len(p.Classes)
				at[c.Name] = i
				p.Classes = append(p.Classes, envoyconf.Class{Name: c.Name, Idempotent: true})
			}
			// What a class of that name is in one pool, it may be in the proxy's eyes in all.
			x := &p.Classes[i]
			x.Deadline, x.Idempotent = max(x.Deadline, c.Deadline), x.Idempotent && c.Effect == balancer.Idempotent
		}
		for _, s := range pool.List.Static {
			p.Endpoints = append(p.Endpoints, s.Addr)
		}
		told = told && len(pool.List.Static) > 0
	}
	if !told {
		p.Endpoints = nil // what changes by itself the proxy must be told by a control plane
	}
	return envoyconf.Build(p)
}
