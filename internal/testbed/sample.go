package testbed

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// clockTick is the unit of CPU times in /proc (USER_HZ is 100 on Linux).
	clockTick = 10 * time.Millisecond
	// userTimeField and systemTimeField are indexes into the fields of /proc/PID/stat
	// that follow the command name; the state, field 3 in proc(5), has index 0.
	userTimeField   = 11
	systemTimeField = 12
	// residentField is the index of the resident size, in pages, in /proc/PID/statm.
	residentField = 1
)

// Sample is the resource usage of a running process since its start.
type Sample struct {
	// CPU is the CPU time of all its threads, in steps of 10 ms.
	CPU time.Duration
	// ResidentBytes is its resident memory, including shared pages of the executable.
	ResidentBytes int64
}

// Sample reads the resource usage of a running process from /proc.
func (p *Process) Sample() (Sample, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return Sample{}, errors.Wrap(err, "read the CPU time of the process")
	}
	// The command name, in parentheses, may contain spaces.
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	user, err := parseField(fields, userTimeField)
	if err != nil {
		return Sample{}, err
	}
	system, err := parseField(fields, systemTimeField)
	if err != nil {
		return Sample{}, err
	}
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.PID()))
	if err != nil {
		return Sample{}, errors.Wrap(err, "read the memory of the process")
	}
	pages, err := parseField(bytes.Fields(statm), residentField)
	if err != nil {
		return Sample{}, err
	}
	return Sample{
		CPU:           time.Duration(user+system) * clockTick,
		ResidentBytes: pages * int64(os.Getpagesize()),
	}, nil
}

func parseField(fields [][]byte, position int) (int64, error) {
	if position >= len(fields) {
		return 0, errors.Newf("the /proc file has only %d fields", len(fields))
	}
	number, err := strconv.ParseInt(string(fields[position]), 10, 64)
	return number, errors.Wrap(err, "parse a field of the /proc file")
}
