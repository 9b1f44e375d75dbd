//go:build review3

// Command review3 plays the scripted cases of the third review.
package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

const killSignal = syscall.SIGKILL

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	notRun  = 2
	timeout = 115 * time.Second
)

var cases = map[string]func(c *caseRun) int{
	"base":     playBase,
	"drain":    playDrain,
	"young":    playYoung,
	"deadly":   playDeadly,
	"minority": playMinority,
}

// caseRun is one play of a case.
type caseRun struct {
	trouble bool
	started time.Time

	mu     sync.Mutex
	record *os.File
}

// note writes a line to the record.
func (c *caseRun) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  ", time.Since(c.started).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Print(line)
	_, _ = c.record.WriteString(line)
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE RECORD")
		os.Exit(notRun)
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	c := &caseRun{trouble: os.Getenv("TROUBLE") != "0", record: record, started: time.Now()}
	result := make(chan int, 1)
	go func() { result <- cases[os.Args[1]](c) }()
	code := notRun
	select {
	case code = <-result:
	case <-time.After(timeout):
		// The processes of the fleet end with this one.
		c.note("the case took too long")
	}
	c.note("result: %s", map[int]string{held: "the rule held", broken: "the rule was broken", notRun: "the case could not run"}[code])
	_ = record.Close()
	os.Exit(code)
}
