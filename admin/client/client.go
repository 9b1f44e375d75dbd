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

// resendPause is the pause before a change is sent again.
const resendPause = 500 * time.Millisecond

// maxReplyBytes is the largest reply that is read.
const maxReplyBytes = 128 << 20

// Client calls the API. It is safe for concurrent use.
type Client struct {
	// Servers are the base URLs of control instances, such as https://192.0.2.1:7401.
	// They are tried in turn.
	Servers []string
	// Token is the operator's token.
	Token string
	// HTTP sends the requests. It has the certificates to trust.
	HTTP *http.Client
	// ResendDelay is the pause before a request is sent again. Zero is half a second.
	ResendDelay time.Duration
}

// UnreachableError says that no server has answered a request that reads.
type UnreachableError struct {
	// Err is the last error.
	Err error
}

// Error names the cause and the remedy.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no control instance has answered: %v; check the servers' addresses, the CA and the network", e.Err)
}

// OutcomeUnknownError says that no answer to a change was had before the time ran
// out. The change may have been made or may still be.
type OutcomeUnknownError struct {
	// ChangeID is the id of the change.
	ChangeID string
	// Err is the last error.
	Err error
}

// Error names the change id and the remedy.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("the outcome of change %s is unknown: %v; send it again with the same change id to learn it", e.ChangeID, e.Err)
}

// NewChangeID returns a random change id.
func NewChangeID() string { return rand.Text() }

// Status returns the state of the configuration.
func (c *Client) Status(ctx context.Context) (*api.Status, error) {
	return get[api.Status](ctx, c, "/v1/status")
}

// Document returns the document as the asked instance serves it, which may be behind a
// change that was just accepted; its Version tells.
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

// Watch returns the status once the version is above the given one, or after a
// while with the status as it is.
func (c *Client) Watch(ctx context.Context, after uint64) (*api.Status, error) {
	return get[api.Status](ctx, c, fmt.Sprintf("/v1/watch?after=%d", after))
}

// ReadRaw returns a resource as the server sends it, such as a report.
func (c *Client) ReadRaw(ctx context.Context, path string) ([]byte, error) {
	var last error
	for attempt := range c.Servers {
		data, err := exchange(ctx, c, http.MethodGet, c.server(attempt)+path, nil)
		var problem *api.Problem
		if err == nil || errors.As(err, &problem) {
			return data, err
		}
		last = err
	}
	return nil, &UnreachableError{Err: last}
}

// ChangeControlMember changes one member of the replicated log. It asks each server until
// the leader has answered. The action is admit-disk, add or remove; add needs an
// address.
func (c *Client) ChangeControlMember(ctx context.Context, member, action, address string) ([]byte, error) {
	path := "/v1/control/" + url.PathEscape(member) + "/" + action + "?" + url.Values{"address": {address}}.Encode()
	var last error
	for attempt := range c.Servers {
		data, err := exchange(ctx, c, http.MethodPost, c.server(attempt)+path, nil)
		if err == nil {
			return data, nil
		}
		last = err
	}
	return nil, last
}

// Change makes changes. When an answer is lost, or the change was not made for
// want of a leader or a majority, it sends the request again with the same change
// id until the context ends. Then the error is an *OutcomeUnknownError, or an
// *api.Problem if the change was certainly not made. A refusal is an *api.Problem.
func (c *Client) Change(ctx context.Context, request *api.ChangeRequest) (*api.ChangeReply, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, errors.Wrap(err, "encode the change")
	}
	// Once an answer was lost the change may have been made, whatever later
	// attempts that were certainly not proposed say.
	lost := false
	for attempt := 0; ; attempt++ {
		reply, err := call[api.ChangeReply](ctx, c, http.MethodPost, c.server(attempt)+"/v1/changes", body)
		if err == nil {
			return reply, nil
		}
		var problem *api.Problem
		isProblem := errors.As(err, &problem)
		if isProblem && (isVerdict(problem) || !lost && problem.Status < http.StatusInternalServerError) {
			return nil, problem
		}
		lost = lost || !isProblem || !problem.HasType(api.ProblemNotMade)
		if c.pause(ctx) {
			continue
		}
		if !lost {
			return nil, problem
		}
		return nil, &OutcomeUnknownError{ChangeID: request.ChangeID, Err: err}
	}
}

// isVerdict reports whether the replicated configuration itself has judged the
// change. Other refusals say nothing about an earlier attempt.
func isVerdict(problem *api.Problem) bool {
	return problem.HasType(api.ProblemConflict) || problem.HasType(api.ProblemInvalid) || problem.HasType(api.ProblemReusedID)
}

// pause waits before the next attempt and reports whether there is time for one.
func (c *Client) pause(ctx context.Context) bool {
	pause := c.ResendDelay
	if pause == 0 {
		pause = resendPause
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (c *Client) server(attempt int) string {
	return strings.TrimSuffix(c.Servers[attempt%len(c.Servers)], "/")
}

// get reads a resource from the first server that answers.
func get[Reply any](ctx context.Context, c *Client, path string) (*Reply, error) {
	var last error
	for attempt := range c.Servers {
		reply, err := call[Reply](ctx, c, http.MethodGet, c.server(attempt)+path, nil)
		var problem *api.Problem
		if err == nil || errors.As(err, &problem) {
			return reply, err
		}
		last = err
	}
	return nil, &UnreachableError{Err: last}
}

// call sends one request and decodes the answer. The error is an *api.Problem if
// the server has answered with one.
func call[Reply any](ctx context.Context, c *Client, method, address string, body []byte) (*Reply, error) {
	data, err := exchange(ctx, c, method, address, body)
	if err != nil {
		return nil, err
	}
	reply := new(Reply)
	if err := json.Unmarshal(data, reply); err != nil {
		return nil, errors.Wrap(err, "read the answer")
	}
	return reply, nil
}

// exchange sends one request and returns the body of the answer.
func exchange(ctx context.Context, c *Client, method, address string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make the request")
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.HTTP.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "send the request")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read the answer")
	}
	if response.StatusCode != http.StatusOK {
		problem := new(api.Problem)
		if err := json.Unmarshal(data, problem); err != nil || problem.Type == "" {
			return nil, errors.Newf("the server answered %s without a problem document", response.Status)
		}
		return nil, problem
	}
	return data, nil
}
