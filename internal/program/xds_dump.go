package program

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"time"

	"cranegrade/internal/operator"
)

// inspectionTimeout bounds how long a running node may take to answer.
const inspectionTimeout = 10 * time.Second

// xdsDump prints the clusters and endpoints of a running node, which it asks at the admin address of its file. It returns the
// exit code.
func xdsDump(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("cranegrade xds dump", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	config := flags.String("config", "", "")
	if err := flags.Parse(args); err != nil || *config == "" || flags.NArg() > 0 {
		fmt.Fprint(stderr, usage)
		return ExitUsage
	}
	if err := copyXDSPage(ctx, *config, stdout); err != nil {
		fmt.Fprintf(stderr, "cranegrade: %v\n", err)
		return ExitFailed
	}
	return ExitOK
}

// copyXDSPage copies the page of the running node that has this file.
func copyXDSPage(ctx context.Context, config string, to io.Writer) error {
	plan, err := operator.Load(config)
	if err != nil {
		return err
	}
	if plan.Admin == "" {
		return fmt.Errorf("%s names no admin address to ask the node at", config)
	}
	return copyPage(ctx, "http://"+plan.Admin+"/xds/dump", to)
}

// copyPage copies a page of a running node.
func copyPage(ctx context.Context, url string, to io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, inspectionTimeout)
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
