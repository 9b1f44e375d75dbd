package settings

import (
	"fmt"
	"strings"
)

// Fault is one thing that is wrong with a settings file.
type Fault struct {
	// File is the settings file.
	File string
	// Section is the INI section, empty when the fault is about the whole file.
	Section string
	// Key is the key, empty when the fault is about the section.
	Key string
	// Problem says what is wrong.
	Problem string
	// Remedy says what to do.
	Remedy string
}

// Error implements error.
func (f Fault) Error() string {
	place := f.File
	if f.Section != "" {
		place += " [" + f.Section + "]"
	}
	if f.Key != "" {
		place += " " + f.Key
	}
	return fmt.Sprintf("%s: %s; %s", place, f.Problem, f.Remedy)
}

// Faults are all that is wrong with a settings file.
type Faults []Fault

// Error implements error, one fault a line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}
