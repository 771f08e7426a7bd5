package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/spf13/cobra"

	"cranegrade/internal/fleet"
	"cranegrade/internal/node"
	"cranegrade/internal/operator"
	"cranegrade/internal/program"
)

// fleetUsage is the help of the command, as part of the program's.
const fleetUsage = `  cranegrade fleet [-json] -config FILE
                              who is in the fleet, as the running node sees it, and what it may take of what all share
  cranegrade fleet forget NAME -config FILE
                              take a member off the roll that is dead and won't come back (docs/fleet.md);
                              for example: cranegrade fleet forget node-3 -config deploy/examples/fleet.toml
`

// fleetCommand shows and changes who is in the fleet of a running node.
var fleetCommand = program.Command{Name: "fleet", Usage: fleetUsage, Run: runFleet}

// joinFleet joins the fleet of an operator's file.
func joinFleet(name string, c operator.Fleet, pools map[string]uint32) (node.Member, error) {
	f, err := fleet.Start(fleet.Config{
		Name:          name,
		Zone:          c.Zone,
		Listen:        c.Listen,
		Advertise:     c.Advertise,
		Join:          c.Join,
		Key:           c.Key,
		Lease:         c.Lease,
		Nodes:         c.Nodes,
		SettleTime:    c.Settle,
		ProbeInterval: c.Probe,
		Pools:         fleet.PoolDigests(pools),
	})
	if err != nil {
		return nil, err // not f: a nil *fleet.Fleet in a node.Member is not nil
	}
	return f, nil
}

// runFleet runs the fleet commands.
func runFleet(args []string, stdout, stderr io.Writer) int {
	root := &cobra.Command{
		Use:           "fleet",
		Annotations:   map[string]string{cobra.CommandDisplayNameAnnotation: "cranegrade fleet"},
		Short:         "who is in the fleet, as the running node sees it",
		Example:       "  cranegrade fleet -config deploy/examples/fleet.toml",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
	}
	config := root.PersistentFlags().String("config", "", "the node's file, which names its admin address")
	asJSON := root.PersistentFlags().Bool("json", false, "print all that the node holds as JSON")
	root.CompletionOptions.DisableDefaultCmd = true
	root.RunE = func(*cobra.Command, []string) error { return showFleet(stdout, *config, *asJSON) }
	root.AddCommand(&cobra.Command{
		Use:     "forget NAME",
		Short:   "take a member off the roll that is dead and won't come back",
		Example: "  cranegrade fleet forget node-3 -config deploy/examples/fleet.toml",
		Args:    cobra.ExactArgs(1),
		RunE:    func(_ *cobra.Command, args []string) error { return forgetMember(stdout, *config, args[0]) },
	})
	root.SetArgs(longFlags(args))
	root.SetOut(stdout)
	root.SetErr(stderr)
	if err := root.Execute(); err != nil {
		fmt.Fprintf(stderr, "cranegrade fleet: %v\n", err)
		return program.ExitFailed
	}
	return program.ExitOK
}

// showFleet prints the fleet as a running node sees it.
func showFleet(stdout io.Writer, config string, asJSON bool) error {
	text, err := inspectFleet(http.MethodGet, config, "/fleet")
	if err != nil {
		return err
	}
	if asJSON {
		_, err = stdout.Write(text)
		return err
	}
	var status fleet.Status
	if err := json.Unmarshal(text, &status); err != nil {
		return fmt.Errorf("the node's answer: %w", err)
	}
	return status.Write(stdout)
}

// forgetMember has a running node remove a dead member from the roster.
func forgetMember(stdout io.Writer, config, name string) error {
	path := "/fleet/forget?name=" + url.QueryEscape(name)
	if _, err := inspectFleet(http.MethodPost, config, path); err != nil {
		return err
	}
	_, err := fmt.Fprintf(stdout, "%s is off the roll\n", name)
	return err
}

// longFlags gives flags with one dash a second one, since cobra would read -config as several flags of one letter.
func longFlags(args []string) []string {
	long := make([]string, len(args))
	for i, arg := range args {
		long[i] = arg
		if len(arg) > 2 && arg[0] == '-' && arg[1] != '-' {
			long[i] = "-" + arg
		}
	}
	return long
}

// inspectFleet requests a page of the running node that has this file.
func inspectFleet(method, config, path string) ([]byte, error) {
	if config == "" {
		return nil, errors.New("-config FILE is missing")
	}
	url, err := program.InspectionURL(config, path)
	if err != nil {
		return nil, err
	}
	page, err := inspect(method, url)
	if err != nil {
		return nil, err
	}
	if page.statusCode != http.StatusOK {
		return nil, fmt.Errorf("the node says: %s", bytes.TrimSpace(page.body))
	}
	return page.body, nil
}
