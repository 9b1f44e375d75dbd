package experiment

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

// smallSettings reads an example and shortens it.
func smallSettings(t *testing.T, name string) *Settings {
	settings, err := LoadSettings(filepath.Join("..", "..", "examples", name+".ini"))
	must.NoError(t, err)
	settings.Services = settings.Services[:1]
	settings.Seeds = 6
	settings.HealthyServerDays = 0.5
	settings.LoadSeconds = 3
	settings.LoadSeeds = 1
	settings.Workers = 2
	settings.JSONFile = filepath.Join(t.TempDir(), "result.json")
	settings.PlotFile = filepath.Join(t.TempDir(), "result.svg")
	return settings
}

// TestTargetsHold runs a short experiment over both examples and holds the
// project's targets.
func TestTargetsHold(t *testing.T) {
	for _, name := range []string{"stepvosk", "crocklid"} {
		settings := smallSettings(t, name)
		var out bytes.Buffer
		must.NoError(t, Run(t.Context(), settings, &out))
		must.False(t, strings.Contains(out.String(), "MISSED"), must.Sprintf("%s", out.String()))
		data, err := os.ReadFile(settings.JSONFile)
		must.NoError(t, err)
		var result Result
		must.NoError(t, json.Unmarshal(data, &result))
		must.Len(t, int(faults-1)*len(detectionPolicies), result.Detection)
		plot, err := os.ReadFile(settings.PlotFile)
		must.NoError(t, err)
		must.StrHasSuffix(t, "</svg>\n", string(plot))
	}
}

// TestRunsRepeat holds that the same settings give the same figures, however many
// runs go on at once.
func TestRunsRepeat(t *testing.T) {
	settings := smallSettings(t, "crocklid")
	settings.Seeds = 2
	settings.HealthyServerDays = 0.1
	settings.LoadSeconds = 1
	first, err := Measure(t.Context(), settings)
	must.NoError(t, err)
	settings.Workers = 1
	second, err := Measure(t.Context(), settings)
	must.NoError(t, err)
	must.Eq(t, first, second)
}

// TestSettingsNameEveryFault holds that one reading names all faults.
func TestSettingsNameEveryFault(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("..", "..", "examples", "stepvosk.ini"))
	must.NoError(t, err)
	text := strings.Replace(string(data), "seeds = 40", "seeds = none", 1)
	text = strings.Replace(text, "slots = 7", "slots = 0\nspots = 7", 1)
	text = strings.Replace(text, "[service stock]", "[servant stock]", 1)
	path := filepath.Join(t.TempDir(), "bad.ini")
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	_, err = LoadSettings(path)
	var faulty *SettingsError
	must.True(t, errors.As(err, &faulty))
	must.Len(t, 4, faulty.Faults, must.Sprint(err))
	for i, part := range []string{"seeds", "slots", "spots", "servant stock"} {
		must.StrContains(t, faulty.Faults[i], part)
	}
}

func FuzzLoadSettings(f *testing.F) {
	f.Add([]byte("[experiment]\nname = x\n[service a]\nslots = 1\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		path := filepath.Join(t.TempDir(), "fuzz.ini")
		must.NoError(t, os.WriteFile(path, data, 0o600))
		_, _ = LoadSettings(path)
	})
}
