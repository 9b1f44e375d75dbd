// Package strictjson decodes JSON texts that must be read in full. encoding/json by itself
// replaces some of its input before the caller sees it: the last of several members of one
// name wins, and bytes that are not UTF-8 become U+FFFD. Its Decoder leaves what follows the
// first value unread.
package strictjson

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// Unmarshal decodes data, which must be one JSON value and nothing else, without two members
// of one name in an object. Names that differ only in case count as one, since encoding/json
// matches them with the same field.
func Unmarshal(data []byte, value any) error {
	if err := check(data); err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(data, value), "decode the JSON text")
}

// UnmarshalKnown is Unmarshal, and returns an error for members that value has no field for.
func UnmarshalKnown(data []byte, value any) error {
	if err := check(data); err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return errors.Wrap(decoder.Decode(value), "decode the JSON text")
}

// Read is Unmarshal for the whole of an input of at most limit bytes.
func Read(input io.Reader, limit int64, value any) error {
	data, err := readAll(input, limit)
	if err != nil {
		return err
	}
	return Unmarshal(data, value)
}

// ReadKnown is UnmarshalKnown for the whole of an input of at most limit bytes.
func ReadKnown(input io.Reader, limit int64, value any) error {
	data, err := readAll(input, limit)
	if err != nil {
		return err
	}
	return UnmarshalKnown(data, value)
}

func readAll(input io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(input, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "read the JSON text")
	}
	if int64(len(data)) > limit {
		return nil, errors.Newf("the JSON text is longer than %d bytes", limit)
	}
	return data, nil
}

// check returns an error unless data is one valid JSON value with distinct names.
func check(data []byte) error {
	if !utf8.Valid(data) {
		return errors.New("the JSON text is not UTF-8")
	}
	var raw json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return errors.Wrap(err, "decode the JSON text")
	}
	return checkNames(json.NewDecoder(bytes.NewReader(data)))
}

// object holds the names of the members of an object that have been read.
type object struct {
	names map[string]bool
	// isName says that the next string is the name of a member.
	isName bool
}

// checkNames reads a valid JSON text.
func checkNames(decoder *json.Decoder) error {
	decoder.UseNumber()
	// The objects and lists that the next token is in; nil stands for a list.
	var open []*object
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "decode the JSON text")
		}
		var current *object
		if len(open) > 0 {
			current = open[len(open)-1]
		}
		if name, isText := token.(string); isText && current != nil && current.isName {
			folded := strings.ToLower(strings.ToUpper(name))
			if current.names[folded] {
				return errors.Newf("an object has two members named %q", name)
			}
			current.names[folded], current.isName = true, false
			continue
		}
		switch token {
		case json.Delim('{'):
			open = append(open, &object{names: make(map[string]bool), isName: true})
			continue
		case json.Delim('['):
			open = append(open, nil)
			continue
		case json.Delim('}'), json.Delim(']'):
			open = open[:len(open)-1]
		}
		// A value has ended.
		if len(open) > 0 && open[len(open)-1] != nil {
			open[len(open)-1].isName = true
		}
	}
}
