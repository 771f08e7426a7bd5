// Package apiclient calls the operators' HTTP API of a control-plane member.
//
// It encodes requests and decodes responses. It makes no decisions about the mesh and never retries: whether to repeat a change that
// received no response is the operator's decision. A Client is safe for concurrent use; each call blocks until its response arrives. The
// paths and formats of the API are documented in docs/maintenance.md and docs/rules.md.
package apiclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/controlplane"
)

// ErrUnavailable is the error of a call if the member does not respond, or responds with 503. A read can be retried at this or another
// member; for changes see Client.Modify.
const ErrUnavailable = errors.ConstError("the control plane is not available")

// maxResponseBytes is the size at which a response body is truncated.
const maxResponseBytes = 64 << 20

// StatusError is the error of a call whose response has a status other than 200.
type StatusError struct {
	Addr   string // of the member
	Code   int
	Status string // status line, such as "404 Not Found"
	Text   string // body of the response: why the member rejected the call
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answers %s: %s", e.Addr, e.Status, e.Text)
}

// Is makes errors.Is match a 503 response with ErrUnavailable.
func (e *StatusError) Is(target error) bool {
	return target == ErrUnavailable && e.Code == http.StatusServiceUnavailable
}

// Client calls one control-plane member. It is safe for concurrent use.
type Client struct {
	Addr    string        // ControlPlane listen address of the member, as host:port
	Timeout time.Duration // of each call; 0 means none
}

// Configuration returns the configuration that a majority of the members confirmed, both as JSON text and as a parsed table.
func (c Client) Configuration() (text []byte, table config.Table, err error) {
	text, err = c.call(http.MethodGet, controlplane.PathFetch, nil)
	if err != nil {
		return nil, config.Table{}, err
	}
	items, err := config.ParseItems([]byte(`{"Upsert":` + string(text) + `}`))
	if err != nil {
		return nil, config.Table{}, errors.Annotatef(err, "reading the configuration that %s sent", c.Addr)
	}
	table, _ = config.Table{}.Merge(items)
	return text, table, nil
}

// Modify sends a configuration change. A nil error means that the change is acknowledged. After ErrUnavailable it is unknown whether
// the change was accepted; it is safe to send the same change again.
func (c Client) Modify(body []byte) error {
	_, err := c.call(http.MethodPost, controlplane.PathModify, body)
	return err
}

// Maintenance sends a maintenance call, which is answered by the leader.
func (c Client) Maintenance(request controlplane.MaintenanceRequest) (response controlplane.MaintenanceResponse, err error) {
	err = c.callJSON(request, &response, controlplane.PathMaintenance, controlplane.FormerPathMaintenance)
	return response, err
}

// Policy sends a policy call, which is answered by the leader.
func (c Client) Policy(request controlplane.PolicyRequest) (response controlplane.PolicyResponse, err error) {
	err = c.callJSON(request, &response, controlplane.PathPolicy, controlplane.FormerPathPolicy)
	return response, err
}

// callJSON posts a request to each path in turn until one does not respond with 404, and decodes its response into response, a pointer.
// The later paths are names from former releases.
func (c Client) callJSON(request, response any, paths ...string) error {
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	var text []byte
	for _, path := range paths {
		text, err = c.call(http.MethodPost, path, body)
		var status *StatusError
		if !errors.As(err, &status) || status.Code != http.StatusNotFound {
			break
		}
	}
	if err != nil {
		return err
	}
	return errors.Annotatef(json.Unmarshal(text, response), "reading the response of %s", c.Addr)
}

// call sends a request and returns the body of the response if its status is 200. For any other status the error is a *StatusError. If
// the member can't be reached or its response is incomplete, the error is ErrUnavailable.
func (c Client) call(method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+c.Addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := (&http.Client{Timeout: c.Timeout}).Do(request)
	if err != nil {
		return nil, errors.WithType(err, ErrUnavailable)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, errors.WithType(err, ErrUnavailable)
	}
	if response.StatusCode != http.StatusOK {
		return nil, &StatusError{
			Addr:   c.Addr,
			Code:   response.StatusCode,
			Status: response.Status,
			Text:   strings.TrimSpace(string(text)),
		}
	}
	return text, nil
}
