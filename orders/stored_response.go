package orders

import (
	"net/http"
	"slices"

	"github.com/hemlockring/hemlockring/internal/codec"
)

// HeaderField is a header or trailer field with its values.
type HeaderField struct {
	// Name is the canonical field name.
	Name string `cbor:"1,keyasint"`
	// Values are the values in their original order.
	Values []string `cbor:"2,keyasint"`
}

// StoredResponse is the complete response of a backend server, stored for
// duplicate requests.
type StoredResponse struct {
	// Status is the status code.
	Status int `cbor:"1,keyasint"`
	// Header lists the header fields, ordered by name.
	Header []HeaderField `cbor:"2,keyasint"`
	// Body is the complete body.
	Body []byte `cbor:"3,keyasint"`
	// Trailer lists the trailer fields, ordered by name.
	Trailer []HeaderField `cbor:"4,keyasint,omitempty"`
}

func (r *StoredResponse) encode() ([]byte, error) {
	if r == nil {
		return nil, nil
	}
	return codec.Marshal(r)
}

func decodeResponse(data []byte) (*StoredResponse, error) {
	response := new(StoredResponse)
	if err := codec.Unmarshal(data, response); err != nil {
		return nil, err
	}
	return response, nil
}

// Write sends the response to w.
func (r *StoredResponse) Write(w http.ResponseWriter) {
	header := w.Header()
	for _, field := range r.Header {
		header[field.Name] = slices.Clone(field.Values)
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body)
	for _, field := range r.Trailer {
		header[http.TrailerPrefix+field.Name] = slices.Clone(field.Values)
	}
}

func headerFields(header http.Header) []HeaderField {
	fields := make([]HeaderField, 0, len(header))
	for name, values := range header {
		fields = append(fields, HeaderField{Name: name, Values: slices.Clone(values)})
	}
	slices.SortFunc(fields, func(a, b HeaderField) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return fields
}
