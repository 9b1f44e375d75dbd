package orders

import (
	"net/http"
	"slices"

	"github.com/hemlockring/hemlockring/internal/codec"
)

// HeaderField is one header or trailer field with its values.
type HeaderField struct {
	// Name is the canonical field name.
	Name string `cbor:"1,keyasint"`
	// Values are the values in their order.
	Values []string `cbor:"2,keyasint"`
}

// StoredResponse is a whole answer of a backend server, as it is kept for repeats.
type StoredResponse struct {
	// Status is the status code.
	Status int `cbor:"1,keyasint"`
	// Header is the header, ordered by name.
	Header []HeaderField `cbor:"2,keyasint"`
	// Body is the whole body.
	Body []byte `cbor:"3,keyasint"`
	// Trailer is the trailer, ordered by name.
	Trailer []HeaderField `cbor:"4,keyasint,omitempty"`
}

func (a *StoredResponse) encode() ([]byte, error) {
	if a == nil {
		return nil, nil
	}
	return codec.Marshal(a)
}

func decodeResponse(data []byte) (*StoredResponse, error) {
	answer := new(StoredResponse)
	if err := codec.Unmarshal(data, answer); err != nil {
		return nil, err
	}
	return answer, nil
}

// Write sends the answer to a caller.
func (a *StoredResponse) Write(w http.ResponseWriter) {
	header := w.Header()
	for _, field := range a.Header {
		header[field.Name] = slices.Clone(field.Values)
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
	for _, field := range a.Trailer {
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
