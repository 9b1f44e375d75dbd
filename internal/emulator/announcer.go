package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/backendproxy"
)

const (
	// renewInterval is the interval at which an announcement is renewed.
	renewInterval = 500 * time.Millisecond
	// announceTimeout is the timeout of a request to the instance.
	announceTimeout = 2 * time.Second
)

// Announcer announces a backend server to a proxy instance.
type Announcer struct {
	// LocalAddress is the local address of the instance.
	LocalAddress string
	// ID is the id of the backend server.
	ID string
	// Announcement is the content of the announcement.
	Announcement backendproxy.Announcement
	// ProcessStart returns the start time to announce. Nil means that none is announced.
	ProcessStart func() time.Time
	// ColdRemaining returns how much longer the server stays cold. Nil means that it is not
	// announced.
	ColdRemaining func() time.Duration
	// Down reports whether the server is down and announces nothing. Nil means that it is
	// always up.
	Down func() bool
}

// Run announces the backend server and renews the announcement until ctx ends. Then it
// withdraws the announcement with Leave.
func (a *Announcer) Run(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		if a.Down == nil || !a.Down() {
			_ = a.Announce(ctx)
		}
		select {
		case <-ctx.Done():
			leave, cancel := context.WithTimeout(context.Background(), announceTimeout)
			defer cancel()
			_ = a.Leave(leave)
			return
		case <-ticker.C:
		}
	}
}

// Announce announces the backend server, or renews its announcement.
func (a *Announcer) Announce(ctx context.Context) error {
	announcement := a.Announcement
	if a.ProcessStart != nil {
		announcement.ProcessStartUnixMilli = a.ProcessStart().UnixMilli()
	}
	if a.ColdRemaining != nil {
		millis := a.ColdRemaining().Milliseconds()
		announcement.WarmUpMillis = &millis
	}
	body, err := json.Marshal(announcement)
	if err != nil {
		return errors.Wrap(err, "encode the announcement")
	}
	return a.send(ctx, http.MethodPut, body)
}

// Leave withdraws the announcement of the backend server.
func (a *Announcer) Leave(ctx context.Context) error {
	return a.send(ctx, http.MethodDelete, nil)
}

func (a *Announcer) send(ctx context.Context, method string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+a.LocalAddress+"/v1/servers/"+a.ID, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create the request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "send the request to the proxy")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusNoContent {
		return errors.Newf("the proxy rejected the request with status %d", response.StatusCode)
	}
	return nil
}
