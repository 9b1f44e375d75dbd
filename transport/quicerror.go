package transport

import (
	"net"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// peerError is an error that the other instance has sent on the QUIC connection.
type peerError struct{ text string }

// Error implements error.
func (e *peerError) Error() string { return e.text }

// Is reports whether target is net.ErrClosed, which quic.TransportError matches too.
func (*peerError) Is(target error) bool { return target == net.ErrClosed }

// formattable returns the error in a form that cockroachdb/errors can format. It can not
// format a quic.TransportError that the peer has sent, which unwraps to a nil error.
func formattable(err error) error {
	var sent *quic.TransportError
	if errors.As(err, &sent) && sent.Remote {
		return &peerError{text: err.Error()}
	}
	return err
}
