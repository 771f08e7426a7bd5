package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/spf13/cobra"

	"cranegrade/internal/fleet"
	"cranegrade/internal/node"
	"cranegrade/internal/operator"
	"cranegrade/internal/program"
)

const fleetUsage = `  cranegrade fleet [-json] -config FILE
                              who is in the fleet, as the running node sees it, and what it may take of what all share
  cranegrade fleet forget NAME -config FILE
                              take a member off the roll that is dead and won't come back (docs/fleet.md)
`

var fleetCommand = program.Command{Name: "fleet", Usage: fleetUsage, Run: runFleet}

// joinFleet has a node join the fleet that its file names.
func joinFleet(name string, c operator.Fleet, pools map[string]uint32) (node.Member, error) {
	f, err := fleet.Start(fleet.Config{
		Name: name, Zone: c.Zone, Listen: c.Listen, Advertise: c.Advertise, Join: c.Join, Key: c.Key, Lease: c.Lease,
		Nodes: c.Nodes, SettleTime: c.Settle, ProbeInterval: c.Probe, Pools: fleet.PoolDigests(pools),
	})
	if err != nil {
		return nil, err // no nil *Fleet in an interface
	}
	return f, nil
}

func runFleet(args []string, stdout, stderr io.Writer) int {
	root := &cobra.Command{Use: "cranegrade fleet", Short: "who is in the fleet, as the running node sees it", SilenceUsage: true, SilenceErrors: true, Args: cobra.NoArgs}
	config := root.PersistentFlags().String("config", "", "the node's file, which names its admin address")
	raw := root.PersistentFlags().Bool("json", false, "print all that the node holds as JSON")
	root.CompletionOptions.DisableDefaultCmd = true
	root.RunE = func(*cobra.Command, []string) error {
		text, err := askFleet(http.MethodGet, *config, "/fleet")
		if err != nil {
			return err
		}
		if *raw {
			_, err = stdout.Write(text)
			return err
		}
		var s fleet.Status
		if err := json.Unmarshal(text, &s); err != nil {
			return fmt.Errorf("the node's answer: %w", err)
		}
		return s.Write(stdout)
	}
	root.AddCommand(&cobra.Command{
		Use: "forget NAME", Short: "take a member off the roll that is dead and won't come back", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if _, err := askFleet(http.MethodPost, *config, "/fleet/forget?name="+url.QueryEscape(args[0])); err != nil {
				return err
			}
			_, err := fmt.Fprintf(stdout, "%s is off the roll\n", args[0])
			return err
		},
	})
	root.SetArgs(longFlags(args))
	root.SetOut(stdout)
	root.SetErr(stderr)
	if err := root.Execute(); err != nil {
		fmt.Fprintf(stderr, "cranegrade fleet: %v\n", err)
		return 1
	}
	return 0
}

// longFlags has -config and -json mean what they mean in the program's other commands.
func longFlags(args []string) []string {
	l := make([]string, len(args))
	for i, a := range args {
		if l[i] = a; len(a) > 2 && a[0] == '-' && a[1] != '-' {
			l[i] = "-" + a
		}
	}
	return l
}

// askFleet asks the running node whose file that is.
func askFleet(method, config, path string) ([]byte, error) {
	if config == "" {
		return nil, errors.New("-config FILE is missing")
	}
	plan, err := operator.Load(config)
	if err != nil {
		return nil, err
	}
	if plan.Admin == "" {
		return nil, fmt.Errorf("%s names no admin address to ask the node at", config)
	}
	r, err := http.NewRequest(method, "http://"+plan.Admin+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := (&http.Client{Timeout: 10 * time.Second}).Do(r)
	if err != nil {
		return nil, fmt.Errorf("asking the node: %w", err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxReport))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("the node says: %s", bytes.TrimSpace(text))
	}
	return text, err
}
