package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// inspectionTimeout bounds how long a running node may take to answer.
	inspectionTimeout = 10 * time.Second
	// maxPageBytes bounds what is read of a node's answer.
	maxPageBytes = 64 << 20
)

// inspectionPage is an answer of a node's inspection server.
type inspectionPage struct {
	statusCode int
	status     string // as "200 OK"
	body       []byte
}

// inspect requests a page of a running node's inspection server.
func inspect(method, url string) (inspectionPage, error) {
	ctx, cancel := context.WithTimeout(context.Background(), inspectionTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return inspectionPage{}, err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return inspectionPage{}, fmt.Errorf("asking the node: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPageBytes))
	if err != nil {
		return inspectionPage{}, fmt.Errorf("asking the node: %w", err)
	}
	return inspectionPage{
		statusCode: resp.StatusCode,
		status:     resp.Status,
		body:       body,
	}, nil
}
