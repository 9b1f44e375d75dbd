package backendproxy

import (
	"context"
	"sync"
)

// tracker counts running exchanges and lets one goroutine wait until there are
// none. Unlike sync.WaitGroup it permits new ones while somebody waits.
type tracker struct {
	mu      sync.Mutex
	running int
	idle    chan struct{}
}

func (t *tracker) start() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running++
}

func (t *tracker) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	if t.running == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

// wait returns nil once nothing runs, or the error of ctx.
func (t *tracker) wait(ctx context.Context) error {
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
