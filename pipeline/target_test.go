package pipeline

import (
	"net/url"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "github.com/hemlockring/hemlockring/internal/fixedseed"
)

// Guards against a backend server that gets another path than the caller sent.
func TestTargetIsForwardedAsTheCallerWroteIt(t *testing.T) {
	piece := rapid.SampledFrom([]string{"/", "a", "|", "^", "{", "é", "%2F", "%2f", "%41", "%7C", "+", ";", ":", "\"", "*", "?", "=", "&"})
	rapid.Check(t, func(t *rapid.T) {
		sent := "/a" + strings.Join(rapid.SliceOf(piece).Draw(t, "pieces"), "")
		incoming, err := url.ParseRequestURI(sent)
		must.NoError(t, err)
		target := TargetOf(incoming)
		target.Scheme, target.Host = "http", "127.0.0.1:80"
		must.Eq(t, sent, target.RequestURI())
	})
	incoming, err := url.ParseRequestURI("//a|b/c?d|e")
	must.NoError(t, err)
	must.Eq(t, "//a%7Cb/c?d|e", TargetOf(incoming).RequestURI())
}
