// Package apiclient calls the operators' HTTP API of a control-plane member.
//
// It owns the requests and the decoding of their responses. It must never decide anything about the mesh, and never retry: whether a
// change without an answer is sent again is the operator's decision. Any goroutine may call it; each call blocks until its response. The
// API's paths and forms are those of the operators' pages, docs/maintenance.md and docs/rules.md.
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

// ErrUnavailable is the error if a member does not answer, or answers 503. A read can be tried again, at this member or another; after a
// change see Client.Modify.
const ErrUnavailable = errors.ConstError("the control plane is not available")

// maxResponseBytes is the most that is read of a response.
const maxResponseBytes = 64 << 20

// StatusError is a response with another status than 200.
type StatusError struct {
	Addr   string // of the member
	Code   int
	Status string // code and text, as HTTP has them
	Text   string // the member's reason
}

// Error returns the member, the status and the reason.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answers %s: %s", e.Addr, e.Status, e.Text)
}

// Is makes a response with 503 match ErrUnavailable.
func (e *StatusError) Is(target error) bool {
	return target == ErrUnavailable && e.Code == http.StatusServiceUnavailable
}

// Client calls one member. It may be used by any goroutine.
type Client struct {
	Addr    string        // ControlPlane of the member: host and port
	Timeout time.Duration // of each call, or 0 for none
}

// Configuration returns the configuration as a majority confirmed it, as text and as a table.
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

// Modify sends a change, which is acknowledged if there is no error. After ErrUnavailable it may have been accepted or not, and can
// safely be sent again unchanged.
func (c Client) Modify(body []byte) error {
	_, err := c.call(http.MethodPost, controlplane.PathModify, body)
	return err
}

// Maintenance sends a call about maintenance, which the leader answers.
func (c Client) Maintenance(request controlplane.MaintenanceRequest) (response controlplane.MaintenanceResponse, err error) {
	err = c.callJSON(request, &response, controlplane.PathMaintenance, controlplane.FormerPathMaintenance)
	return response, err
}

// Policy sends a call about policies, which the leader answers.
func (c Client) Policy(request controlplane.PolicyRequest) (response controlplane.PolicyResponse, err error) {
	err = c.callJSON(request, &response, controlplane.PathPolicy, controlplane.FormerPathPolicy)
	return response, err
}

// callJSON posts a request to the first of the paths that is not answered with 404. response points to what the response is decoded into.
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

// call sends one request and returns the body of the response if its status is 200. Other statuses are a *StatusError. A member that
// can't be reached, or whose response is incomplete, is ErrUnavailable.
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
