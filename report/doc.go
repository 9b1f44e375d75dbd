// Package report makes the operators' report: how late answers were and whether
// every order counted once, on one page.
//
// The Collector of each instance takes in every exchange and, once an interval,
// gives out a Summary of bounded size. A Sender brings it to every control
// instance. There a Service keeps it on disk and adds it to a Book, which counts
// each summary once, knows which are missing, and holds totals by the hour.
// NewReport reads the Book; the report is rendered as text, JSON or HTML.
//
// Sums of summaries are associative and commutative, so summaries may come late,
// doubled and in any order.
package report
