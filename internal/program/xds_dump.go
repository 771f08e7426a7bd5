package program

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
)

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
	url, err := InspectionURL(config, "/xds/dump")
	if err != nil {
		return err
	}
	return RequestPage(ctx, http.MethodGet, url, func(page *http.Response) error {
		if page.StatusCode != http.StatusOK {
			return fmt.Errorf("asking the node: it answers %s", page.Status)
		}
		_, err := io.Copy(to, page.Body)
		return err
	})
}
