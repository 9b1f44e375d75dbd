package transport

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/codec"
)

// MaxCallBytes is the maximum size in bytes of the body of a call or its reply.
const MaxCallBytes = 64 << 20

// contentTypeCBOR is the media type of calls and replies.
const contentTypeCBOR = "application/cbor"

// Caller sends calls to other instances. The drivers of replicated components depend
// on this interface, so that tests can replace it with a fake.
type Caller interface {
	// Call posts request to path at the instance with the given address and decodes
	// the reply into reply. If it returns an error, the other instance may or may
	// not have handled the call.
	Call(ctx context.Context, address, path string, request, reply any) error
}

// CallHandler handles the calls of one kind from other instances.
type CallHandler[Request, Reply any] func(ctx context.Context, from fleetconfig.InstanceID, request *Request) (*Reply, error)

// HandleCall registers the handler of the calls to path.
func HandleCall[Request, Reply any](mux *http.ServeMux, path string, handle CallHandler[Request, Reply]) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		request := new(Request)
		if err := readCall(r, request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		reply, err := handle(r.Context(), PeerID(r), request)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		writeReply(w, reply)
	})
}

// PeerID returns the instance that sent the request: the common name of its TLS
// certificate, or without TLS, in a trusted network, the id in the request header.
func PeerID(r *http.Request) fleetconfig.InstanceID {
	if r.TLS == nil {
		return fleetconfig.InstanceID(r.Header.Get(headerSenderID))
	}
	if len(r.TLS.PeerCertificates) == 0 {
		return ""
	}
	return fleetconfig.InstanceID(r.TLS.PeerCertificates[0].Subject.CommonName)
}

func readCall(r *http.Request, request any) error {
	data, err := io.ReadAll(io.LimitReader(r.Body, MaxCallBytes+1))
	if err != nil {
		return errors.Wrap(err, "read the body of the call")
	}
	if len(data) > MaxCallBytes {
		return errors.Newf("the body of the call is larger than %d bytes; send it in parts", MaxCallBytes)
	}
	return codec.Unmarshal(data, request)
}

// omitDate makes the server send no Date header, which no instance reads. As its value changes
// each second, HTTP/2 sends most of it as text.
func omitDate(w http.ResponseWriter) { w.Header()["Date"] = nil }

func writeReply(w http.ResponseWriter, reply any) {
	data, err := codec.Marshal(reply)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	omitDate(w)
	w.Header().Set("Content-Type", contentTypeCBOR)
	_, _ = w.Write(data)
}
