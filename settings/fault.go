package settings

import (
	"fmt"
	"strings"
)

// Fault describes one error in a settings file.
type Fault struct {
	// File is the name of the settings file.
	File string
	// Section is the INI section. It is empty if the fault concerns the whole file.
	Section string
	// Key is the key. It is empty if the fault concerns the whole section.
	Key string
	// Problem describes what is wrong.
	Problem string
	// Remedy describes how to correct the problem.
	Remedy string
}

// Error returns the location, the problem and the remedy.
func (f Fault) Error() string {
	location := f.File
	if f.Section != "" {
		location += " [" + f.Section + "]"
	}
	if f.Key != "" {
		location += " " + f.Key
	}
	return fmt.Sprintf("%s: %s; %s", location, f.Problem, f.Remedy)
}

// Faults are all errors in a settings file.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}
