// Package emulator provides an emulated backend server for tests, demonstrations and
// measurements. It is a real HTTP server with a limited number of slots, a cold start,
// load shedding and gray faults that can be set while it runs. It counts the executions
// of each request id and of each order, so that an order that runs twice under two request
// ids is detected.
package emulator
