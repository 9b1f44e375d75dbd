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
	if !json.Valid(data) {
		var raw json.RawMessage
		return errors.Wrap(json.Unmarshal(data, &raw), "decode the JSON text")
	}
	return checkNames(data)
}

// object is an object whose members are being read.
type object struct {
	// names holds the names of the members so far, folded.
	names map[string]struct{}
	// nameNext says that the next string is a name.
	nameNext bool
}

// checkNames returns an error if an object in a valid JSON text has two members of one name.
func checkNames(data []byte) error {
	// The objects and lists around the next byte; nil stands for a list.
	var open []*object
	var current *object
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '{', '[':
			current = nil
			if data[i] == '{' {
				current = &object{names: make(map[string]struct{}), nameNext: true}
			}
			open = append(open, current)
		case '}', ']':
			open = open[:len(open)-1]
			current = nil
			if len(open) > 0 {
				current = open[len(open)-1]
			}
		case ',':
			if current != nil {
				current.nameNext = true
			}
		case '"':
			end := endOfString(data, i)
			if current != nil && current.nameNext {
				if err := current.add(data[i : end+1]); err != nil {
					return err
				}
			}
			i = end
		}
	}
	return nil
}

// add records the name of a member, a JSON string.
func (o *object) add(quoted []byte) error {
	o.nameNext = false
	name := string(quoted[1 : len(quoted)-1])
	if strings.Contains(name, `\`) {
		if err := json.Unmarshal(quoted, &name); err != nil {
			return errors.Wrap(err, "decode the name of a member")
		}
	}
	folded := strings.ToLower(strings.ToUpper(name))
	if _, taken := o.names[folded]; taken {
		return errors.Newf("an object has two members named %q", name)
	}
	o.names[folded] = struct{}{}
	return nil
}

// endOfString returns the index of the closing quote of the string that begins at start.
func endOfString(data []byte, start int) int {
	for i := start + 1; ; i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
}
