// Package ctl implements hemlockctl, the command-line tool for operators: its commands,
// output and exit codes. The main package in cmd/hemlockctl only parses the arguments.
package ctl
