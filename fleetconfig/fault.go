package fleetconfig

import (
	"fmt"
	"strings"
)

// MaxFaults is the largest number of faults that one answer lists. Faults past
// it are counted only.
const MaxFaults = 100

// Fault is one thing that is wrong with a change, with its remedy.
type Fault struct {
	// Subject is what the fault is about, such as "account shop".
	Subject string `cbor:"1,keyasint" json:"subject"`
	// Field is the field that is wrong. Empty when the subject as a whole is.
	Field string `cbor:"2,keyasint,omitempty" json:"field,omitempty"`
	// Problem says what is wrong.
	Problem string `cbor:"3,keyasint" json:"problem"`
	// Remedy says what to do about it.
	Remedy string `cbor:"4,keyasint" json:"remedy"`
}

// String returns the fault in one line.
func (f Fault) String() string {
	subject := f.Subject
	if f.Field != "" {
		subject += ", " + f.Field
	}
	return fmt.Sprintf("%s: %s; %s", subject, f.Problem, f.Remedy)
}

// faultList collects the faults of one command. It holds at most MaxFaults and
// one that counts the rest.
type faultList struct {
	faults  []Fault
	dropped int
}

func (l *faultList) add(subject, field, problem, remedy string) {
	if len(l.faults) >= MaxFaults {
		l.dropped++
		return
	}
	l.faults = append(l.faults, Fault{Subject: subject, Field: field, Problem: problem, Remedy: remedy})
}

func (l *faultList) list() []Fault {
	if l.dropped == 0 {
		return l.faults
	}
	return append(l.faults, Fault{
		Subject: "change",
		Problem: fmt.Sprintf("%d more faults are not listed", l.dropped),
		Remedy:  "mend the listed ones and send the change again",
	})
}

// InvalidError says that a change breaks the rules of the document.
type InvalidError struct {
	// Faults are all the faults, up to MaxFaults and one that counts the rest.
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

// ConflictError says that the document has moved on from the base version.
type ConflictError struct {
	// Base is the version that the change was made from.
	Base uint64
	// Current is the version of the document when the change was judged.
	Current uint64
}

// Error names both versions and the remedy.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the change was made from version %d, but version %d is in force; "+
		"read version %d, make the change from it and send it with a new change id", e.Base, e.Current, e.Current)
}

// ReusedIDError says that the change id was used for another change.
type ReusedIDError struct {
	// ChangeID is the id.
	ChangeID string
}

// Error names the id and the remedy.
func (e *ReusedIDError) Error() string {
	return fmt.Sprintf("change id %q was used for a change with other content; send this one with a new change id", e.ChangeID)
}
