//go:build review2

// Command config shows invalid configurations that are acknowledged and in force.
package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/hemlockring/hemlockring/review/second/platform"
)

func main() { os.Exit(platform.Run(os.Args[1], run)) }

// invalid are configurations that the pages call invalid, by what is wrong with them. Each is
// made from a valid one.
var invalid = []struct {
	name string
	make func(valid []byte) []byte
}{
	{"cut short", func(valid []byte) []byte { return valid[:len(valid)/2] }},
	{"a route names an unknown service", func(valid []byte) []byte {
		return platform.SetRoute(valid, "Service", "no-such-service")
	}},
	{"a route names an unknown service beside its split", func(valid []byte) []byte {
		return platform.SetRoute(platform.SplitRoute(valid), "Service", "no-such-service")
	}},
	{"it can not be read in full: its end is there twice", func(valid []byte) []byte {
		return append(bytes.Clone(valid), valid[len(valid)-20:]...)
	}},
	{"it can not be read in full: a closing brace too many and a rest", func(valid []byte) []byte {
		return append(bytes.Clone(valid), `}{"Version":"0000`...)
	}},
	{"a timeout over ten minutes", func(valid []byte) []byte { return platform.SetRoute(valid, "TimeoutMs", 600_001) }},
}

func run(record *platform.Record) (bool, error) {
	fleet, err := platform.NewFleet(record, 3, platform.ServiceA)
	if err != nil {
		return false, err
	}
	defer fleet.Stop()
	version := 1
	if err := fleet.StartAll(platform.Configuration(version, 0, 100, false)); err != nil {
		return false, err
	}
	broken := 0
	for i := range invalid {
		valid := platform.Configuration(version+1, version, 100, false)
		body := valid
		if platform.Trouble() {
			body = invalid[i].make(valid)
		}
		status, answer, err := fleet.Send(i, "PUT", body)
		if err != nil {
			return false, err
		}
		record.Log("operator: sends version %d (%s): %s", version+1, name(i), body)
		record.Log("operator: answered with %d %s", status, answer)
		if status != 200 {
			continue
		}
		version++
		time.Sleep(100 * time.Millisecond)
		status, read, err := fleet.Send(i+1, "GET", nil)
		record.Log("operator: reads the configuration: %d %s", status, errors.Join(err))
		if !platform.Trouble() {
			continue
		}
		broken++
		record.Log("an invalid configuration was acknowledged; it is in force: %t", bytes.Equal(read, body))
	}
	record.Log("invalid configurations that were acknowledged: %d of %d", broken, len(invalid))
	return broken > 0, nil
}

func name(i int) string {
	if !platform.Trouble() {
		return "valid"
	}
	return fmt.Sprintf("invalid: %s", invalid[i].name)
}
