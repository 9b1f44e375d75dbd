// Package emulator is a backend server for tests, demonstrations and
// measurements: a real HTTP server with slots, cold start, load shedding and
// gray faults that are switched on while it runs. It counts each execution by
// request id and by order, so that a doubled order can not hide.
package emulator
