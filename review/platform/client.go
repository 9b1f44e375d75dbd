//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// attempt is one client attempt and its result. Status 0 means that the connection ended
// without an answer.
type attempt struct {
	id, machine, worker string
	sent, done          time.Time
	status              int
	err                 error
	body                string
}

// client sends requests to the daemon of one machine, each on a connection of its own.
type client struct {
	machine *machine
	method  string
	path    string
	body    []byte
	key     string
	// exact says that the path is sent as it is; otherwise a part of the request's ID follows.
	exact bool
	// timeout is the client's time limit.
	timeout time.Duration
	log     *record
}

func requestID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// head returns the head of a request.
func (c *client) head(id string) string {
	var out strings.Builder
	path := c.path
	if !c.exact {
		path += id[:4]
	}
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", c.method, path, host, id, c.timeout.Milliseconds())
	if c.key != "" {
		fmt.Fprintf(&out, "Authorization: Bearer %s\r\n", c.key)
	}
	if len(c.body) > 0 {
		fmt.Fprintf(&out, "Content-Length: %d\r\n", len(c.body))
	}
	out.WriteString("\r\n")
	return out.String()
}

// do sends one request and reads its answer.
func (c *client) do() attempt {
	result := attempt{id: requestID(), machine: c.machine.name, sent: time.Now()}
	defer func() {
		c.log.event("client", "request", result.id, "machine", result.machine, "status", result.status, "ms", time.Since(result.sent).Milliseconds(), "error", result.err)
	}()
	conn, err := net.DialTimeout("tcp", c.machine.address(callerPort), time.Second)
	if err != nil {
		result.err = err
		return result
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(result.sent.Add(c.timeout))
	if _, err := conn.Write(append([]byte(c.head(result.id)), c.body...)); err != nil {
		result.err = err
		return result
	}
	result.read(bufio.NewReader(conn))
	return result
}

// read reads the answer.
func (a *attempt) read(reader *bufio.Reader) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		a.err, a.done = err, time.Now()
		return
	}
	body, err := io.ReadAll(response.Body)
	a.status, a.err, a.body, a.done = response.StatusCode, err, string(body), time.Now()
}

// load sends requests at a rate until ctx ends, and passes each result to done.
func load(ctx context.Context, c *client, perSecond float64, done func(attempt)) {
	var running sync.WaitGroup
	defer running.Wait()
	for {
		wait := time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		running.Go(func() { done(c.do()) })
	}
}
