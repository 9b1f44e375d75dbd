// Package report produces the operators' report: the response latency of every
// service, and whether every order was counted exactly once.
//
// An order is a non-idempotent request. The Collector of each instance records
// every exchange and, once per interval, returns summaries of bounded size. A
// Sender sends them to every control instance. There a Service stores them on disk
// and adds them to an Aggregator, which counts each summary once, knows which
// summaries are missing, and holds totals by the hour. NewReport computes a Report
// from the Aggregator; it can be written as text, JSON or HTML.
//
// Adding up summaries is associative and commutative, so summaries may be received
// late, more than once and in any order.
package report
