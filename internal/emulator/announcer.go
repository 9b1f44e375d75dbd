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
	// renewInterval is how often an announcement is renewed.
	renewInterval = 500 * time.Millisecond
	// announceTimeout bounds one announcement.
	announceTimeout = 2 * time.Second
)

// Announcer announces a backend server to the proxy beside it.
type Announcer struct {
	// LocalAddress is the local address of the instance.
	LocalAddress string
	// ID names the backend server.
	ID string
	// Announcement is what is announced.
	Announcement backendproxy.Announcement
}

// Run announces and renews until ctx ends, then leaves.
func (a *Announcer) Run(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		_ = a.Announce(ctx)
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

// Announce sends one announcement.
func (a *Announcer) Announce(ctx context.Context) error {
	body, err := json.Marshal(a.Announcement)
	if err != nil {
		return errors.Wrap(err, "encode the announcement")
	}
	return a.send(ctx, http.MethodPut, body)
}

// Leave tells the proxy that the backend server is gone.
func (a *Announcer) Leave(ctx context.Context) error {
	return a.send(ctx, http.MethodDelete, nil)
}

func (a *Announcer) send(ctx context.Context, method string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+a.LocalAddress+"/v1/servers/"+a.ID, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build the announcement")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "reach the proxy beside the backend server")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusNoContent {
		return errors.Newf("the proxy refused the announcement with status %d", response.StatusCode)
	}
	return nil
}
