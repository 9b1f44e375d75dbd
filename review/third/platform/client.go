//go:build review3

package platform

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// Call is a request of a client.
type Call struct {
	ID, Method, Host, Path, Key string
	DeadlineMs                  int
	Body                        string
	Headers                     []string
}

// Answer is what the client received.
type Answer struct {
	Sent, Ended time.Time
	Status      int
	Header      http.Header
	Body        []byte
	// Err is set if there was no complete answer.
	Err error
}

// NewID returns a new Request-Id.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Text returns the bytes of the request.
func (c *Call) Text() string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n", c.Method, c.Path, c.Host, c.ID)
	if c.DeadlineMs > 0 {
		text += fmt.Sprintf("Deadline-Ms: %d\r\n", c.DeadlineMs)
	}
	if c.Key != "" {
		text += "Authorization: Bearer " + c.Key + "\r\n"
	}
	for _, header := range c.Headers {
		text += header + "\r\n"
	}
	if c.Body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(c.Body))
	}
	return text + "\r\n" + c.Body
}

// Send sends the request on a new connection to the machine and reads the answer.
func (c *Call) Send(m *Machine) *Answer {
	answer := &Answer{Sent: time.Now()}
	defer func() { answer.Ended = time.Now() }()
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", m.IP, OutboundPort), time.Second)
	if err != nil {
		answer.Err = err
		return answer
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Duration(max(c.DeadlineMs, 1000)) * time.Millisecond))
	if _, err := io.WriteString(conn, c.Text()); err != nil {
		answer.Err = err
		return answer
	}
	ReadAnswer(bufio.NewReader(conn), c.Method, answer)
	return answer
}

// ReadAnswer reads an answer.
func ReadAnswer(reader *bufio.Reader, method string, answer *Answer) {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		answer.Err = err
		return
	}
	answer.Status, answer.Header = response.StatusCode, response.Header
	answer.Body, answer.Err = io.ReadAll(response.Body)
	_ = response.Body.Close()
}

// String describes the answer.
func (a *Answer) String() string {
	return fmt.Sprintf("status %d, signature %q, %d bytes, error %v, after %d ms", a.Status, a.Header.Get("Response-Signature"), len(a.Body), a.Err, a.Ended.Sub(a.Sent).Milliseconds())
}
