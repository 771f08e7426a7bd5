package main

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"cranegrade/internal/program"
)

// maxPageBytes bounds what is read of a node's answer.
const maxPageBytes = 64 << 20

// inspectionPage is an answer of a node's inspection server.
type inspectionPage struct {
	statusCode int
	status     string // as "200 OK"
	body       []byte
}

// inspect requests a page of a running node's inspection server. A page of any status is no error.
func inspect(method, url string) (page inspectionPage, err error) {
	err = program.RequestPage(context.Background(), method, url, func(response *http.Response) error {
		body, err := io.ReadAll(io.LimitReader(response.Body, maxPageBytes))
		if err != nil {
			return fmt.Errorf("asking the node: %w", err)
		}
		page = inspectionPage{
			statusCode: response.StatusCode,
			status:     response.Status,
			body:       body,
		}
		return nil
	})
	return page, err
}
