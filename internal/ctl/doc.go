// Package ctl is the body of the hemlockctl command, the operators' command line:
// commands, output and exit codes. cmd/hemlockctl only parses the arguments.
package ctl
