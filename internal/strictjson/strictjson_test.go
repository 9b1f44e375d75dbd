package strictjson

import (
	"encoding/json"
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

// value has a field of each kind that a text may repeat.
type value struct {
	Name  string
	Inner *value
	List  []value
	Any   any
}

// Guards against a text of which only a part is read, or a part is replaced by a later one.
func TestTextThatIsNotReadInFullIsRefused(t *testing.T) {
	t.Parallel()
	for _, text := range []string{
		``, ` `, `{`, `{"Name":"a"`, `{"Name":"a"}}`, `{"Name":"a"}]`, `{"Name":"a"} {}`, `{"Name":"a"}x`, `{"Name":"a"},`, `{"Name":"a"}null`, "{}\x00",
		`{"Name":"a","Name":"b"}`, `{"Name":"a","name":"b"}`, `{"Name":"a","N\u0061me":"b"}`, `{"Inner":{"Name":"a","Name":"a"}}`,
		`{"List":[{"Name":"a"},{"Name":"a","List":[],"Name":"a"}]}`, `{"Any":[[{"x":1,"x":2}]]}`, `{"Any":{"k":1,"\u212a":2}}`,
		"{\"Name\":\"\xff\"}", `{"Name":1}`,
	} {
		must.Error(t, Unmarshal([]byte(text), new(value)), must.Sprint(text))
		must.Error(t, UnmarshalKnown([]byte(text), new(value)), must.Sprint(text))
		must.Error(t, Read(strings.NewReader(text), 1000, new(value)), must.Sprint(text))
	}
	must.Error(t, ReadKnown(strings.NewReader(`{"Other":1}`), 1000, new(value)))
	must.Error(t, Read(strings.NewReader(`{"Name":"a"} `), 12, new(value)))
}

// Guards against valid texts that are refused.
func TestTextWithDistinctNamesIsRead(t *testing.T) {
	t.Parallel()
	for _, text := range []string{
		`{}`, "\n{\"Name\":\"Name\",\"Inner\":{\"Name\":\"Name\"}}\r\n\t ", `{"List":[{"Name":"a"},{"Name":"a"}],"Any":["Name","Name",{"Name":"Any"},1,null]}`, `{"Other":1}`,
	} {
		got, want := new(value), new(value)
		must.NoError(t, Read(strings.NewReader(text), int64(len(text)), got), must.Sprint(text))
		must.NoError(t, json.Unmarshal([]byte(text), want))
		must.Eq(t, want, got)
	}
	must.NoError(t, ReadKnown(strings.NewReader(`{"Name":"a"}`), 12, new(value)))
}

// FuzzUnmarshal compares with encoding/json: what is read means the same, and what encoding/json refuses is refused.
func FuzzUnmarshal(f *testing.F) {
	for _, text := range []string{`{"Name":"a","Name":"b"}`, `{"List":[{"Any":[1,{"a":2}]}]}`, `{}}`, `[]`, `{"a":{"b":"c"},"d":"b"}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var got, want any
		err := Unmarshal(data, &got)
		plain := json.Unmarshal(data, &want)
		if err == nil {
			must.NoError(t, plain)
			must.Eq(t, want, got)
		}
		decoder := json.NewDecoder(strings.NewReader(string(data)))
		var first json.RawMessage
		if decoder.Decode(&first) == nil {
			if _, rest := decoder.Token(); !errors.Is(rest, io.EOF) {
				must.Error(t, err)
			}
		}
	})
}
