package fleetconfig

import (
	"fmt"
	"strings"
)

// MaxFaults is the maximum number of faults listed in one result. Any further faults
// are only counted.
const MaxFaults = 100

// Fault is one validation error of a change, with a remedy.
type Fault struct {
	// Subject is the item that the fault is about, such as "account shop".
	Subject string `cbor:"1,keyasint" json:"subject"`
	// Field is the invalid field. It is empty if the fault concerns the item as a
	// whole.
	Field string `cbor:"2,keyasint,omitempty" json:"field,omitempty"`
	// Problem says what is wrong.
	Problem string `cbor:"3,keyasint" json:"problem"`
	// Remedy says how to correct it.
	Remedy string `cbor:"4,keyasint" json:"remedy"`
}

// String returns the fault as one line.
func (f Fault) String() string {
	subject := f.Subject
	if f.Field != "" {
		subject += ", " + f.Field
	}
	return fmt.Sprintf("%s: %s; %s", subject, f.Problem, f.Remedy)
}

// faultList collects the faults of one command or document: up to MaxFaults, and a
// final fault with the number of those that are not listed.
type faultList struct {
	faults  []Fault
	omitted int
}

func (l *faultList) add(subject, field, problem, remedy string) {
	if len(l.faults) >= MaxFaults {
		l.omitted++
		return
	}
	l.faults = append(l.faults, Fault{Subject: subject, Field: field, Problem: problem, Remedy: remedy})
}

func (l *faultList) list() []Fault {
	if l.omitted == 0 {
		return l.faults
	}
	return append(l.faults, Fault{
		Subject: "change",
		Problem: fmt.Sprintf("%d more faults are not listed", l.omitted),
		Remedy:  "correct the listed faults and send the change again",
	})
}

// InvalidError reports that a change failed validation.
type InvalidError struct {
	// Faults are up to MaxFaults faults. If there are more, a final fault has the
	// number of those that are not listed.
	Faults []Fault
}

// Error lists the faults with their remedies.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.String()
	}
	return "the change is invalid: " + strings.Join(lines, "\n")
}

// ConflictError reports that the base version of a change is no longer the current
// version.
type ConflictError struct {
	// Base is the version that the change was based on.
	Base uint64
	// Current is the version of the document when the change was processed.
	Current uint64
}

// Error returns both versions and the remedy.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the change is based on version %d, but version %d is current; "+
		"read version %d, base the change on it and send it with a new change id", e.Base, e.Current, e.Current)
}

// ReusedIDError reports that the change id was already used for another change.
type ReusedIDError struct {
	// ChangeID is the reused id.
	ChangeID string
}

// Error returns the id and the remedy.
func (e *ReusedIDError) Error() string {
	return fmt.Sprintf("change id %q was already used for a change with other content; send this change with a new change id", e.ChangeID)
}
