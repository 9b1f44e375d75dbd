// Package client is a typed client of the administration API.
package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/admin/api"
	"github.com/hemlockring/hemlockring/fleetconfig"
)

// defaultResendDelay is the delay before a change is sent again.
const defaultResendDelay = 500 * time.Millisecond

// maxResponseBytes is the number of bytes after which a response is cut off.
const maxResponseBytes = 128 << 20

// Client calls the administration API. It is safe for concurrent use while its fields
// are not changed.
type Client struct {
	// Servers are the base URLs of control instances, such as https://192.0.2.1:7401.
	// A request that fails is sent to the next server.
	Servers []string
	// Token is the operator's token.
	Token string
	// HTTP sends the requests. It must be configured with the trusted certificates.
	HTTP *http.Client
	// ResendDelay is the delay before a change is sent again. Zero means half a
	// second.
	ResendDelay time.Duration
}

// UnreachableError reports that no control instance responded to a read request.
type UnreachableError struct {
	// Err is the last error.
	Err error
}

// Error returns the cause and the remedy.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no control instance has answered: %v; check the addresses of the servers, the CA and the network", e.Err)
}

// OutcomeUnknownError reports that no response to a change was received before the
// context ended. The change may have been made, or may still be made.
type OutcomeUnknownError struct {
	// ChangeID is the id of the change.
	ChangeID string
	// Err is the last error.
	Err error
}

// Error returns the change id, the cause and the remedy.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("the outcome of change %s is unknown: %v; send it again with the same change id to learn the outcome", e.ChangeID, e.Err)
}

// NewChangeID returns a random change id.
func NewChangeID() string { return rand.Text() }

// Status returns the state of the configuration.
func (c *Client) Status(ctx context.Context) (*api.Status, error) {
	return get[api.Status](ctx, c, "/v1/status")
}

// Document returns the configuration document as the responding instance serves it.
// It may not include a change that was just accepted; compare its Version.
func (c *Client) Document(ctx context.Context) (*fleetconfig.Document, error) {
	return get[fleetconfig.Document](ctx, c, "/v1/document")
}

// History returns the latest accepted commands, oldest first.
func (c *Client) History(ctx context.Context) ([]fleetconfig.HistoryEntry, error) {
	history, err := get[[]fleetconfig.HistoryEntry](ctx, c, "/v1/history")
	if err != nil {
		return nil, err
	}
	return *history, nil
}

// Watch returns the status once the version is above the given one. When that takes
// too long, the server returns the status with the version unchanged.
func (c *Client) Watch(ctx context.Context, after uint64) (*api.Status, error) {
	return get[api.Status](ctx, c, fmt.Sprintf("/v1/watch?after=%d", after))
}

// ReadRaw returns the undecoded body of a resource, such as a report.
func (c *Client) ReadRaw(ctx context.Context, path string) ([]byte, error) {
	var lastErr error
	for attempt := range c.Servers {
		data, err := send(ctx, c, http.MethodGet, c.server(attempt)+path, nil)
		var problem *api.Problem
		if err == nil || errors.As(err, &problem) {
			return data, err
		}
		lastErr = err
	}
	return nil, &UnreachableError{Err: lastErr}
}

// ReleaseQuarantined clears a request that has crashed backend servers, so that it runs again.
// It tries each server until one knows the request.
func (c *Client) ReleaseQuarantined(ctx context.Context, fingerprint string) error {
	var lastErr error
	for attempt := range c.Servers {
		if _, lastErr = send(ctx, c, http.MethodDelete, c.server(attempt)+"/v1/quarantine/"+url.PathEscape(fingerprint), nil); lastErr == nil {
			return nil
		}
	}
	return lastErr
}

// ChangeControlMember adds or removes one member of the replicated log, or admits the
// current disk of a member whose former disk was erased or replaced. It tries each
// server until one, the leader, accepts the request. The action is admit-disk, add or
// remove; add requires an address.
func (c *Client) ChangeControlMember(ctx context.Context, member, action, address string) ([]byte, error) {
	path := "/v1/control/" + url.PathEscape(member) + "/" + action + "?" + url.Values{"address": {address}}.Encode()
	var lastErr error
	for attempt := range c.Servers {
		data, err := send(ctx, c, http.MethodPost, c.server(attempt)+path, nil)
		if err == nil {
			return data, nil
		}
		lastErr = err
	}
	return nil, lastErr
}

// Change makes changes. When a response is lost, or the change was not made because
// there is no leader or no majority, it sends the request again with the same change
// id until the context ends. When the context ends, the error is an
// *OutcomeUnknownError, or an *api.Problem if the change was certainly not made. When
// the server rejects the change, the error is an *api.Problem.
func (c *Client) Change(ctx context.Context, request *api.ChangeRequest) (*api.ChangeReply, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, errors.Wrap(err, "encode the change")
	}
	// Once a response was lost, the change may have been made, even if a later attempt
	// gets the response that it was not proposed to the control instances.
	outcomeUnknown := false
	for attempt := 0; ; attempt++ {
		reply, err := call[api.ChangeReply](ctx, c, http.MethodPost, c.server(attempt)+"/v1/changes", body)
		if err == nil {
			return reply, nil
		}
		var problem *api.Problem
		isProblem := errors.As(err, &problem)
		if isProblem && (isFinal(problem) || !outcomeUnknown && problem.Status < http.StatusInternalServerError) {
			return nil, problem
		}
		outcomeUnknown = outcomeUnknown || !isProblem || !problem.HasType(api.ProblemNotMade)
		if c.waitForResend(ctx) {
			continue
		}
		if !outcomeUnknown {
			return nil, problem
		}
		return nil, &OutcomeUnknownError{ChangeID: request.ChangeID, Err: err}
	}
}

// isFinal reports whether the problem is the result of executing the change on the
// replicated configuration. Other problems say nothing about an earlier attempt.
func isFinal(problem *api.Problem) bool {
	return problem.HasType(api.ProblemConflict) || problem.HasType(api.ProblemInvalid) || problem.HasType(api.ProblemReusedID)
}

// waitForResend waits before the next attempt. It returns false if ctx ended
// meanwhile.
func (c *Client) waitForResend(ctx context.Context) bool {
	delay := c.ResendDelay
	if delay == 0 {
		delay = defaultResendDelay
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// server returns the base URL to use for an attempt. Successive attempts use the Servers
// in turn.
func (c *Client) server(attempt int) string {
	return strings.TrimSuffix(c.Servers[attempt%len(c.Servers)], "/")
}

// get reads a resource from the first server that responds.
func get[Reply any](ctx context.Context, c *Client, path string) (*Reply, error) {
	var lastErr error
	for attempt := range c.Servers {
		reply, err := call[Reply](ctx, c, http.MethodGet, c.server(attempt)+path, nil)
		var problem *api.Problem
		if err == nil || errors.As(err, &problem) {
			return reply, err
		}
		lastErr = err
	}
	return nil, &UnreachableError{Err: lastErr}
}

// call sends one request and decodes the response. The error is an *api.Problem if
// the server responded with one.
func call[Reply any](ctx context.Context, c *Client, method, address string, body []byte) (*Reply, error) {
	data, err := send(ctx, c, method, address, body)
	if err != nil {
		return nil, err
	}
	reply := new(Reply)
	if err := json.Unmarshal(data, reply); err != nil {
		return nil, errors.Wrap(err, "decode the response")
	}
	return reply, nil
}

// send sends one request and returns the body of the response. The error is an
// *api.Problem if the server responded with one.
func send(ctx context.Context, c *Client, method, address string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create the request")
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.HTTP.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "send the request")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read the response")
	}
	if response.StatusCode != http.StatusOK {
		problem := new(api.Problem)
		if err := json.Unmarshal(data, problem); err != nil || problem.Type == "" {
			return nil, errors.Newf("the server answered %s without a problem document; check that the address is that of a control instance", response.Status)
		}
		return nil, problem
	}
	return data, nil
}
