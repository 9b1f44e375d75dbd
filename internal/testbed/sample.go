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
	// clockTick is the unit of processor times in /proc (USER_HZ is 100 on Linux).
	clockTick = 10 * time.Millisecond
	// userTimeField and systemTimeField are positions after the command's name in
	// /proc/PID/stat, as proc(5) counts from the state on.
	userTimeField   = 11
	systemTimeField = 12
	// residentField is a position in /proc/PID/statm, in pages.
	residentField = 1
)

// Sample is what a running process has used up to now.
type Sample struct {
	// CPU is the processor time of all its threads, in steps of 10 ms.
	CPU time.Duration
	// ResidentBytes is its resident memory, shared pages of the executable included.
	ResidentBytes int64
}

// Sample reads the use of a running process from /proc.
func (p *Process) Sample() (Sample, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return Sample{}, errors.Wrap(err, "read the processor time of the process")
	}
	// The command's name in parentheses may hold spaces.
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	user, err := numberAt(fields, userTimeField)
	if err != nil {
		return Sample{}, err
	}
	system, err := numberAt(fields, systemTimeField)
	if err != nil {
		return Sample{}, err
	}
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.PID()))
	if err != nil {
		return Sample{}, errors.Wrap(err, "read the memory of the process")
	}
	pages, err := numberAt(bytes.Fields(statm), residentField)
	if err != nil {
		return Sample{}, err
	}
	return Sample{
		CPU:           time.Duration(user+system) * clockTick,
		ResidentBytes: pages * int64(os.Getpagesize()),
	}, nil
}

func numberAt(fields [][]byte, position int) (int64, error) {
	if position >= len(fields) {
		return 0, errors.Newf("the kernel's line has only %d fields", len(fields))
	}
	number, err := strconv.ParseInt(string(fields[position]), 10, 64)
	return number, errors.Wrap(err, "read a number of the kernel")
}
