package program

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"cranegrade/internal/operator"
)

// inspectionTimeout bounds how long a running node may take to send a page.
const inspectionTimeout = 10 * time.Second

// InspectionURL returns the URL of a page of the running node that has the operator's file config. The error says that the
// file can't be used, or names no address of an inspection server.
func InspectionURL(config, path string) (string, error) {
	plan, err := operator.Load(config)
	if err != nil {
		return "", err
	}
	if plan.Admin == "" {
		return "", fmt.Errorf("%s names no admin address to ask the node at", config)
	}
	return "http://" + plan.Admin + path, nil
}

// RequestPage requests a page of a running node's inspection server, and has read take the response, whatever its status. The
// body is closed, and reading it fails, once read has returned or inspectionTimeout has passed. The error is that of read, or
// says why the node can't be asked.
func RequestPage(ctx context.Context, method, url string, read func(*http.Response) error) error {
	ctx, cancel := context.WithTimeout(ctx, inspectionTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("asking the node: %w", err)
	}
	defer response.Body.Close()
	return read(response)
}
