package inifile

import (
	"fmt"
	"strings"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Fault is one error in a file, with a remedy.
type Fault struct {
	// File is the name of the file.
	File string
	// Section is the name of the section without brackets.
	Section string
	// Key is the invalid key. It is empty if the fault concerns the section as a
	// whole.
	Key string
	// Problem says what is wrong.
	Problem string
	// Remedy says how to correct it.
	Remedy string
}

// String returns the fault as one line.
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

// FaultsError lists all faults of a file.
type FaultsError struct {
	// Faults are the faults, either those found while parsing or, if there are none,
	// those of the resulting document. Faults found while parsing are in the order of
	// the sections in the file, after the fault of an invalid line. Faults of the
	// document are in the order of fleetconfig.Validate.
	Faults []Fault
}

// Error returns the faults, one per line.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// documentFaults converts faults of a document to faults of the file: the subject
// becomes the section and the field becomes the key.
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
