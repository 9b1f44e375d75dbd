//go:build review2

package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Answer is what a client got for one attempt.
type Answer struct {
	Status    int
	RequestID string
	Signature string
	Body      string
	Err       error
	// SentAt is when the last byte of the request was sent, At when the answer was complete or
	// the attempt ended.
	SentAt, At time.Time
}

// Request is one client attempt.
type Request struct {
	Method, Path, ID, Body string
	Deadline               time.Duration
	Header                 http.Header
}

// Head returns the request line and the header.
func (r *Request) Head() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		r.Method, r.Path, Host, r.ID, r.Deadline.Milliseconds(), Key)
	if r.Body != "" {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(r.Body))
	}
	for name, values := range r.Header {
		for _, value := range values {
			fmt.Fprintf(&text, "%s: %s\r\n", name, value)
		}
	}
	text.WriteString("\r\n")
	return text.String()
}

// Send sends a request on a connection of its own and closes the connection when ctx ends.
func Send(ctx context.Context, address string, r *Request) (answer Answer) {
	defer func() { answer.At = time.Now() }()
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
	if err != nil {
		return Answer{Err: err}
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if _, err := io.WriteString(conn, r.Head()+r.Body); err != nil {
		return Answer{Err: err}
	}
	answer.SentAt = time.Now()
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.Method})
	if err != nil {
		answer.Err = err
		return answer
	}
	body, err := io.ReadAll(response.Body)
	answer.Status, answer.Body, answer.Err = response.StatusCode, string(body), err
	answer.RequestID, answer.Signature = response.Header.Get("Request-Id"), response.Header.Get("Response-Signature")
	return answer
}
