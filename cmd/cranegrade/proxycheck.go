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

// proxyCheckUsage is the help of the command, as part of the program's.
const proxyCheckUsage = `  cranegrade proxy-check ENVOY_FILE -config FILE
                              what in a proxy's configuration would leave decisions unheeded or break
                              a rule; exits 1 if anything would; for example:
                              cranegrade proxy-check deploy/examples/envoy-header.yaml -config deploy/examples/extproc.toml
`

// proxyCheckCommand checks a proxy's configuration against an operator's file.
var proxyCheckCommand = program.Command{Name: "proxy-check", Usage: proxyCheckUsage, Run: proxyCheck}

// proxyCheck prints the findings in a proxy's configuration, and fails if there are any.
func proxyCheck(args []string, stdout, stderr io.Writer) int {
	file, config, ok := parseProxyCheckFlags(args)
	if !ok {
		fmt.Fprint(stderr, "usage:\n"+proxyCheckUsage)
		return program.ExitUsage
	}
	findings, err := checkProxy(file, config)
	if err != nil {
		fmt.Fprintf(stderr, "cranegrade: %v\n", err)
		return program.ExitFailed
	}
	for _, f := range findings {
		fmt.Fprintf(stdout, "%s: %s\n", file, f)
	}
	if len(findings) > 0 {
		return program.ExitFailed
	}
	fmt.Fprintf(stdout, "%s: good for %s\n", file, config)
	return program.ExitOK
}

// parseProxyCheckFlags reads the command line, on which the proxy's file may stand before or after the flag. It reports false
// if the command line is wrong.
func parseProxyCheckFlags(args []string) (file, config string, ok bool) {
	flags := flag.NewFlagSet("cranegrade proxy-check", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.StringVar(&config, "config", "", "")
	var files []string
	for rest := args; ; {
		if err := flags.Parse(rest); err != nil {
			return "", "", false
		}
		rest = flags.Args()
		if len(rest) == 0 {
			break
		}
		// Package flag stops at the first argument that is no flag.
		files = append(files, rest[0])
		rest = rest[1:]
	}
	if len(files) != 1 || config == "" {
		return "", "", false
	}
	return files[0], config, true
}

// checkProxy returns the findings in a proxy's configuration, for the operator's file config.
func checkProxy(file, config string) ([]envoyconf.Finding, error) {
	plan, err := loadExtProcPlan(config)
	if err != nil {
		return nil, err
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	findings, err := envoyconf.Check(text, processorSettings(plan))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return findings, nil
}

// loadExtProcPlan reads an operator's file, which must have a front for proxies.
func loadExtProcPlan(config string) (operator.Plan, error) {
	plan, err := operator.Load(config)
	if err == nil && plan.ExtProc == nil {
		err = errors.New(config + " has no [ext_proc]: no proxy asks it")
	}
	return plan, err
}

// processorSettings returns the settings that a proxy's configuration has to fit.
func processorSettings(plan operator.Plan) envoyconf.ProcessorSettings {
	s := envoyconf.ProcessorSettings{
		DecisionTimeout: plan.ExtProc.DecisionTimeout,
		Retries:         plan.ExtProc.Retries,
		RetryHeader:     plan.ExtProc.RetryHeader,
	}
	for _, p := range plan.Pools {
		s.MaxFallbacks = max(s.MaxFallbacks, p.Settings.Spares)
	}
	return s
}
