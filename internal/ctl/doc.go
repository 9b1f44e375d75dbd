// Package ctl is the logic of hemlockctl, the operators' command line: commands,
// output and exit codes. cmd/hemlockctl only parses the arguments.
package ctl
