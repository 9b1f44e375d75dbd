//go:build review

package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, one event a line with the seconds
// since the start. It is safe for concurrent use.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, started: time.Now()}, err
}

func (r *record) event(what string, pairs ...any) {
	var line strings.Builder
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&line, " %v=%v", pairs[i], pairs[i+1])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s%s\n", time.Since(r.started).Seconds(), what, line.String())
}

// verdict is the result of a case: each line says how a rule was broken.
type verdict struct {
	mu     sync.Mutex
	broken []string
}

func (v *verdict) add(format string, arguments ...any) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.broken = append(v.broken, fmt.Sprintf(format, arguments...))
}

func (v *verdict) lines() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]string(nil), v.broken...)
}
