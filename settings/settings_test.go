package settings

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

func parseFaults(t *testing.T, text string) Faults {
	t.Helper()
	_, err := Parse("test.ini", []byte(text))
	var faults Faults
	must.True(t, errors.As(err, &faults))
	return faults
}

// The default file is valid once the required address for callers is added.
func TestDefaultFileIsValid(t *testing.T) {
	text := strings.Replace(DefaultFile(), "[callers]", "[callers]\naddress = 127.0.0.1:8080", 1)
	settings, err := Parse("default.ini", []byte(text))
	must.NoError(t, err)
	must.Eq(t, "X-Api-Key", settings.Callers.KeyHeader)
}

func TestParseReportsAllFaultsWithLocationAndRemedy(t *testing.T) {
	faults := parseFaults(t, `
[instance]
id = trnava a 1
failure_domain = a
roles = proxy, chef
colour = blue
[fleet]
address = localhost:7400
address = 127.0.0.1:7400
certificate = c
key = k
authority = a
gossip_key = g
[control]
members = a=127.0.0.1:1, b=127.0.0.1:2
[limits]
stop_timeout = 2h
[extras]
x = 1
[platform]
bounds = {}
bounds = {"QuotaSlack":1}
`)
	text := faults.Error()
	for _, want := range []string{
		"test.ini [instance] id:",
		"test.ini [instance] roles:",
		"test.ini [instance] colour: the key is unknown",
		"test.ini [fleet] address: the key is set more than once",
		"test.ini [platform] bounds: the key is set more than once",
		"test.ini [local] address: the key is missing",
		"test.ini [control] members: the value is invalid; write 1, 3, 5 or 7 members, not 2",
		"test.ini [limits] stop_timeout:",
		"test.ini [extras]: the section is unknown",
	} {
		must.StrContains(t, text, want)
	}
	must.Len(t, 9, faults)
}

// An instance with the role control must have a data folder and be listed in members.
func TestParseReportsFaultsOfControlInstance(t *testing.T) {
	faults := parseFaults(t, `
[instance]
id = one
failure_domain = a
roles = control
[fleet]
address = 127.0.0.1:7400
certificate = c
key = k
authority = a
gossip_key = g
[local]
address = 127.0.0.1:7401
[control]
members = two=127.0.0.1:7400
`)
	must.StrContains(t, faults.Error(), "data_folder")
	must.StrContains(t, faults.Error(), "has the role control but is not listed")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(DefaultFile()))
	f.Add([]byte("[fleet]\naddress = [::1]:7\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		settings, err := Parse("fuzz.ini", data)
		if (settings == nil) == (err == nil) {
			t.Fatal("Parse must return either settings or an error")
		}
	})
}
