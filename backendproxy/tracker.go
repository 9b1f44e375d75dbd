package backendproxy

import (
	"context"
	"sync"
)

// exchangeTracker counts running exchanges and lets callers wait until there are none.
// Unlike with sync.WaitGroup, new exchanges may start during the wait.
type exchangeTracker struct {
	// mu guards all fields below.
	mu      sync.Mutex
	running int
	// idle is created by a call of wait, and closed and set to nil when the last exchange
	// ends.
	idle chan struct{}
}

func (t *exchangeTracker) start() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running++
}

func (t *exchangeTracker) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	if t.running == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

// wait returns nil once no exchange is running, or the error of ctx if it ends first.
func (t *exchangeTracker) wait(ctx context.Context) error {
	t.mu.Lock()
	if t.running == 0 {
		t.mu.Unlock()
		return nil
	}
	if t.idle == nil {
		t.idle = make(chan struct{})
	}
	idle := t.idle
	t.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
