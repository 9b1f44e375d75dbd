//go:build review

// Command review plays one case of the independent review: it starts a small fleet of daemons
// with stand-ins for the platform, workers and clients, and judges what these see.
//
// Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// caseTimeout ends a case that does not end by itself.
const caseTimeout = 110 * time.Second

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// setting is what a case gets.
type setting struct {
	// trouble says whether the case plays its disruption.
	trouble bool
	log     *record
	verdict *verdict
	// fleets are the fleets that the case has started.
	fleets []*fleet
}

// cases are the cases by name. The file of each case adds its own.
var cases = make(map[string]func(*setting) error)

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review CASE RECORD")
		os.Exit(exitFailed)
	}
	log, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	s := &setting{trouble: os.Getenv("TROUBLE") != "0", log: log, verdict: &verdict{}}
	os.Exit(s.play(os.Args[1]))
}

// play plays a case, ends all daemons that it started and returns the exit code.
func (s *setting) play(name string) int {
	defer func() {
		for _, f := range s.fleets {
			f.stopAll()
		}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	result := make(chan error, 1)
	go func() { result <- cases[name](s) }()
	select {
	case err := <-result:
		if err != nil {
			return s.failed(err.Error())
		}
	case <-stopped:
		return s.failed("stopped by a signal")
	case <-time.After(caseTimeout):
		return s.failed("the case took too long")
	}
	broken := s.verdict.lines()
	for _, line := range broken {
		s.log.event("rule broken: " + line)
	}
	fmt.Printf("%s: trouble %v: the rule was broken %d times\n", name, s.trouble, len(broken))
	if len(broken) > 0 {
		fmt.Println("first: " + broken[0])
		return exitBroken
	}
	return exitHeld
}

func (s *setting) failed(reason string) int {
	s.log.event("the case could not run: " + reason)
	fmt.Println("the case could not run: " + reason)
	return exitFailed
}

// startFleet starts the daemons of a fleet, sends the first configuration and waits until the
// sidecars are ready.
func (s *setting) startFleet(services []string, first *configuration) (*fleet, error) {
	f, err := newFleet(services, s.log)
	if err != nil {
		return nil, err
	}
	s.fleets = append(s.fleets, f)
	if err := f.startAll(); err != nil {
		return nil, err
	}
	if err := f.putConfiguration(first); err != nil {
		return nil, err
	}
	return f, f.waitReady(operatorWait)
}
