// Package ctl is the body of the hemlockctl command, the operators' command line.
package ctl
