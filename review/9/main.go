//go:build review2

// Command config shows invalid configurations that are acknowledged and in force.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/hemlockring/hemlockring/review/kit2"
)

func main() { os.Exit(kit2.Run(os.Args[1], run)) }

// invalid are configurations that the pages call invalid, by what is wrong with them. Each is
// made from a valid one.
var invalid = []struct {
	name string
	make func(valid []byte) []byte
}{
	{"cut short", func(valid []byte) []byte { return valid[:len(valid)/2] }},
	{"a route names an unknown service", func(valid []byte) []byte {
		return setRoute(valid, "Service", "no-such-service")
	}},
	{"a route names an unknown service beside its split", func(valid []byte) []byte {
		split := []map[string]any{{"Service": kit2.ServiceB, "Weight": 1}}
		return setRoute(setRoute(valid, "TrafficSplit", split), "Service", "no-such-service")
	}},
	{"it can not be read in full: its end is there twice", func(valid []byte) []byte {
		return append(bytes.Clone(valid), valid[len(valid)-20:]...)
	}},
	{"it can not be read in full: a closing brace too many and a rest", func(valid []byte) []byte {
		return append(bytes.Clone(valid), `}{"Version":"0000`...)
	}},
	{"a timeout over ten minutes", func(valid []byte) []byte { return setRoute(valid, "TimeoutMs", 600_001) }},
}

// setRoute sets a field of the second route.
func setRoute(configuration []byte, field string, value any) []byte {
	var body map[string]any
	if err := json.Unmarshal(configuration, &body); err != nil {
		panic(err)
	}
	routes := body["Routes"].(map[string]any)
	for i, name := range routes["Columns"].([]any) {
		if name == field {
			routes["Rows"].([]any)[1].([]any)[i] = value
		}
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return data
}

func run(record *kit2.Record) (bool, error) {
	fleet, err := kit2.NewFleet(record, 3, kit2.ServiceA)
	if err != nil {
		return false, err
	}
	defer fleet.Stop()
	version := 1
	if err := fleet.StartAll(kit2.Configuration(version, 0, 100, false)); err != nil {
		return false, err
	}
	broken := 0
	for i := range invalid {
		valid := kit2.Configuration(version+1, version, 100, false)
		body := valid
		if kit2.Trouble() {
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
		if !kit2.Trouble() {
			continue
		}
		broken++
		record.Log("an invalid configuration was acknowledged; it is in force: %t", bytes.Equal(read, body))
	}
	record.Log("invalid configurations that were acknowledged: %d of %d", broken, len(invalid))
	return broken > 0, nil
}

func name(i int) string {
	if !kit2.Trouble() {
		return "valid"
	}
	return fmt.Sprintf("invalid: %s", invalid[i].name)
}
