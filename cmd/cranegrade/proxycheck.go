package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"cranegrade/internal/envoyconf"
	"cranegrade/internal/operator"
	"cranegrade/internal/program"
)

const proxyCheckUsage = `  cranegrade proxy-check ENVOY_FILE -config FILE
                              what in a proxy's configuration would leave decisions unheeded or break
                              a rule; exits 1 if anything would
`

var proxyCheckCommand = program.Command{Name: "proxy-check", Usage: proxyCheckUsage, Run: proxyCheck}

func proxyCheck(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("cranegrade proxy-check", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	config := flags.String("config", "", "")
	// The file may stand before or after the flag.
	var files []string
	for rest := args; ; {
		if err := flags.Parse(rest); err != nil {
			fmt.Fprint(stderr, "usage:\n"+proxyCheckUsage)
			return 2
		}
		if rest = flags.Args(); len(rest) == 0 {
			break
		}
		files, rest = append(files, rest[0]), rest[1:]
	}
	if len(files) != 1 || *config == "" {
		fmt.Fprint(stderr, "usage:\n"+proxyCheckUsage)
		return 2
	}
	found, err := checkProxy(files[0], *config)
	if err != nil {
		fmt.Fprintf(stderr, "cranegrade: %v\n", err)
		return 1
	}
	for _, f := range found {
		fmt.Fprintf(stdout, "%s: %s\n", files[0], f)
	}
	if len(found) > 0 {
		return 1
	}
	fmt.Fprintf(stdout, "%s: good for %s\n", files[0], *config)
	return 0
}

func checkProxy(file, config string) ([]envoyconf.Finding, error) {
	plan, err := operator.Load(config)
	if err != nil {
		return nil, err
	}
	if plan.ExtProc == nil {
		return nil, errors.New(config + " has no [ext_proc]: no proxy asks it")
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	found, err := envoyconf.Check(text, processorSettings(plan))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return found, nil
}

// processorSettings are the settings that a proxy's configuration has to fit.
func processorSettings(plan operator.Plan) envoyconf.ProcessorSettings {
	s := envoyconf.ProcessorSettings{DecisionTimeout: plan.ExtProc.DecisionTimeout, Retries: plan.ExtProc.Retries, RetryHeader: plan.ExtProc.RetryHeader}
	for _, p := range plan.Pools {
		s.MaxFallbacks = max(s.MaxFallbacks, p.Settings.Spares)
	}
	return s
}
