// Package logwriter provides a buffered log writer that never blocks the logging
// goroutine, even if the underlying writer is slow. If the buffer is full, lines are
// dropped, and their number is logged.
package logwriter
