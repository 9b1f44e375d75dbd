//go:build review3

// Package platform starts a small fleet of hemlockd processes on loopback addresses and the stand-ins
// that a review case needs: backend servers, clients and an operator, as the users' pages
// describe them.
package platform
