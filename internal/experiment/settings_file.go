package experiment

import (
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// servicePrefix is the prefix of section names that configure a service.
const servicePrefix = "service "

// SettingsError lists all faults of a settings file.
type SettingsError struct {
	// File is the path of the settings file.
	File string
	// Faults describes each fault with its section, key and remedy.
	Faults []string
}

// Error implements error.
func (e *SettingsError) Error() string {
	return fmt.Sprintf("%s: %s", e.File, strings.Join(e.Faults, "; "))
}

// LoadSettings reads and validates a settings file. For an invalid file it returns a
// *SettingsError that lists all faults. Unknown sections and keys are faults.
func LoadSettings(path string) (*Settings, error) {
	file, err := ini.Load(path)
	if err != nil {
		return nil, errors.Wrapf(err, "read settings file %s; pass a valid INI file", path)
	}
	r := &reader{knownKeys: map[string]bool{}}
	settings := &Settings{}
	for _, section := range file.Sections() {
		r.section = section
		switch name := section.Name(); {
		case name == ini.DefaultSection:
		case name == "experiment":
			r.readExperiment(settings)
		case name == "preset":
			r.readPreset(settings)
		case strings.HasPrefix(name, servicePrefix):
			settings.Services = append(settings.Services, r.readService(strings.TrimPrefix(name, servicePrefix)))
		default:
			r.addFault("", "is unknown; use [experiment], [preset] or [service NAME]")
			continue
		}
		r.checkUnknownKeys()
	}
	if len(settings.Services) == 0 {
		r.faults = append(r.faults, "section [service NAME] is missing; add at least one")
	}
	if !file.HasSection("experiment") || !file.HasSection("preset") {
		r.faults = append(r.faults, "sections [experiment] and [preset] are required; add the missing ones")
	}
	if len(r.faults) > 0 {
		return nil, &SettingsError{File: path, Faults: r.faults}
	}
	return settings, nil
}

// reader reads the keys of one section at a time and collects the faults of all sections.
// knownKeys holds the keys that were read, as SECTION/KEY.
type reader struct {
	section   *ini.Section
	knownKeys map[string]bool
	faults    []string
}

func (r *reader) readExperiment(s *Settings) {
	s.Name = r.value("name")
	s.Seed = uint64(r.integer("seed", 0, 1<<31))
	s.Seeds = r.integer("seeds", 1, 10_000)
	s.HealthyServerDays = r.number("healthy_server_days", 0.001, 100_000)
	s.LoadSeconds = r.integer("load_seconds", 1, 86_400)
	s.LoadSeeds = r.integer("load_seeds", 1, 1000)
	s.Workers = r.integer("workers", 1, 64)
	s.FailureDomains = r.integer("failure_domains", 1, 64)
	s.Ingresses = r.integer("ingresses", 1, 64)
	s.Deadline = r.duration("deadline", time.Millisecond, time.Hour)
	s.JSONFile = r.value("json_file")
	s.PlotFile = r.value("plot_file")
}

func (r *reader) readPreset(s *Settings) {
	s.Preset.Name = "experiment"
	s.Preset.EjectionEnabled = true
	s.Preset.RetryBudgetPercent = uint32(r.integer("retry_budget_percent", 0, 100))
	s.Preset.HedgeAfter = r.duration("hedge_after", 0, time.Minute)
	s.Preset.QueueLength = uint32(r.integer("queue_length", 0, 100_000))
	s.Preset.SlowStart = r.duration("slow_start", 0, time.Hour)
}

func (r *reader) readService(name string) ServiceSettings {
	service := ServiceSettings{
		Name:              name,
		Servers:           r.integer("servers", 2, 4096),
		Slots:             r.integer("slots", 1, 1024),
		RequestRate:       r.number("request_rate", 0.1, 10_000),
		FloorPercent:      uint32(r.integer("floor_percent", 1, 100)),
		Accounts:          r.integer("accounts", 2, 10_000),
		LargeAccounts:     r.integer("large_accounts", 0, 10_000),
		LargeSharePercent: r.number("large_share_percent", 0, 100),
		LatencyMedian:     r.duration("latency_median", 100*time.Microsecond, time.Minute),
		LatencySigma:      r.number("latency_sigma", 0, 3),
		ErrorPercent:      r.number("error_percent", 0, 50),
		MeanPauseInterval: r.duration("pause_every", time.Second, 24*time.Hour),
		MeanPause:         r.duration("pause", 0, time.Minute),
		ColdStart:         r.duration("cold_start", 0, time.Hour),
		ColdFactor:        r.number("cold_factor", 1, 100),
	}
	if service.LargeAccounts >= service.Accounts {
		r.addFault("large_accounts", "is not less than accounts; lower it")
	}
	return service
}

func (r *reader) value(key string) string {
	r.knownKeys[r.section.Name()+"/"+key] = true
	if !r.section.HasKey(key) {
		r.addFault(key, "is missing; add it")
	}
	return r.section.Key(key).String()
}

func (r *reader) integer(key string, minimum, maximum int) int {
	text := r.value(key)
	value, err := r.section.Key(key).Int()
	if r.section.HasKey(key) && (err != nil || value < minimum || value > maximum) {
		r.addFault(key, fmt.Sprintf("is %q; use an integer from %d to %d", text, minimum, maximum))
	}
	return value
}

func (r *reader) number(key string, minimum, maximum float64) float64 {
	text := r.value(key)
	value, err := r.section.Key(key).Float64()
	if r.section.HasKey(key) && (err != nil || !(value >= minimum && value <= maximum)) {
		r.addFault(key, fmt.Sprintf("is %q; use a number from %g to %g", text, minimum, maximum))
	}
	return value
}

func (r *reader) duration(key string, minimum, maximum time.Duration) time.Duration {
	text := r.value(key)
	value, err := r.section.Key(key).Duration()
	if r.section.HasKey(key) && (err != nil || value < minimum || value > maximum) {
		r.addFault(key, fmt.Sprintf("is %q; use a duration from %s to %s", text, minimum, maximum))
	}
	return value
}

func (r *reader) checkUnknownKeys() {
	for _, key := range r.section.Keys() {
		if !r.knownKeys[r.section.Name()+"/"+key.Name()] {
			r.addFault(key.Name(), "is unknown; remove it")
		}
	}
}

func (r *reader) addFault(key, problem string) {
	r.faults = append(r.faults, strings.TrimSpace(fmt.Sprintf("section [%s] %s", r.section.Name(), key))+" "+problem)
}
