// Package logwriter passes log lines on to a slower writer without ever making
// the goroutine that logs wait. Lines that find the buffer full are dropped and
// counted, and the count is itself logged.
package logwriter
