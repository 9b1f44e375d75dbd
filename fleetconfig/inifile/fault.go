package inifile

import (
	"fmt"
	"strings"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Fault is one thing that is wrong in a file.
type Fault struct {
	// File is the name of the file.
	File string
	// Section is the section's name, without brackets.
	Section string
	// Key is the key, or empty when the section as a whole is wrong.
	Key string
	// Problem says what is wrong.
	Problem string
	// Remedy says what to do about it.
	Remedy string
}

// String returns the fault in one line.
func (f Fault) String() string {
	place := f.File
	if f.Section != "" {
		place += fmt.Sprintf(": [%s]", f.Section)
	}
	if f.Key != "" {
		place += " " + f.Key
	}
	return fmt.Sprintf("%s: %s; %s", place, f.Problem, f.Remedy)
}

// FaultsError lists everything that is wrong in a file.
type FaultsError struct {
	// Faults are the faults, in the order of the file where it has one.
	Faults []Fault
}

// Error lists the faults, a line each.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// documentFaults turns faults of a document into faults of the file. Subject and
// field of the one are section and key of the other.
func documentFaults(file string, faults []fleetconfig.Fault) []Fault {
	list := make([]Fault, len(faults))
	for i, fault := range faults {
		list[i] = Fault{File: file, Section: fault.Subject, Key: fault.Field, Problem: fault.Problem, Remedy: fault.Remedy}
		if fault.Subject == "holders" {
			list[i].Section, list[i].Key = sectionFleet, keyHolders
		}
	}
	return list
}
