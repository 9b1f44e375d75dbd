package experiment

import (
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// servicePrefix starts the name of a section that describes a service.
const servicePrefix = "service "

// SettingsError lists every fault of a settings file.
type SettingsError struct {
	// File is the settings file.
	File string
	// Faults are the faults, each with section, key and remedy.
	Faults []string
}

// Error implements error.
func (e *SettingsError) Error() string {
	return fmt.Sprintf("%s: %s", e.File, strings.Join(e.Faults, "; "))
}

// LoadSettings reads and checks a settings file. It returns a *SettingsError that
// names all faults at once; an unknown section or key is a fault.
func LoadSettings(path string) (*Settings, error) {
	file, err := ini.Load(path)
	if err != nil {
		return nil, errors.Wrapf(err, "read %s; give a readable INI file", path)
	}
	r := &reader{known: map[string]bool{}}
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
			r.fault("", "is unknown; use [experiment], [preset] or [service NAME]")
			continue
		}
		r.unknownKeys()
	}
	if len(settings.Services) == 0 {
		r.faults = append(r.faults, "no section [service NAME]; add one")
	}
	if !file.HasSection("experiment") || !file.HasSection("preset") {
		r.faults = append(r.faults, "sections [experiment] and [preset] are needed; add them")
	}
	if len(r.faults) > 0 {
		return nil, &SettingsError{File: path, Faults: r.faults}
	}
	return settings, nil
}

// reader reads the keys of a section and gathers the faults.
type reader struct {
	section *ini.Section
	known   map[string]bool
	faults  []string
}

func (r *reader) readExperiment(s *Settings) {
	s.Name = r.text("name")
	s.Seed = uint64(r.whole("seed", 0, 1<<31))
	s.Seeds = r.whole("seeds", 1, 10_000)
	s.HealthyServerDays = r.number("healthy_server_days", 0.001, 100_000)
	s.LoadSeconds = r.whole("load_seconds", 1, 86_400)
	s.LoadSeeds = r.whole("load_seeds", 1, 1000)
	s.Workers = r.whole("workers", 1, 64)
	s.FailureDomains = r.whole("failure_domains", 1, 64)
	s.Ingresses = r.whole("ingresses", 1, 64)
	s.Deadline = r.duration("deadline", time.Millisecond, time.Hour)
	s.JSONFile = r.text("json_file")
	s.PlotFile = r.text("plot_file")
}

func (r *reader) readPreset(s *Settings) {
	s.Preset.Name = "experiment"
	s.Preset.EjectionEnabled = true
	s.Preset.RetryBudgetPercent = uint32(r.whole("retry_budget_percent", 0, 100))
	s.Preset.HedgeAfter = r.duration("hedge_after", 0, time.Minute)
	s.Preset.QueueLength = uint32(r.whole("queue_length", 0, 100_000))
	s.Preset.SlowStart = r.duration("slow_start", 0, time.Hour)
}

func (r *reader) readService(name string) ServiceSettings {
	service := ServiceSettings{
		Name:              name,
		Servers:           r.whole("servers", 2, 4096),
		Slots:             r.whole("slots", 1, 1024),
		RequestRate:       r.number("request_rate", 0.1, 10_000),
		FloorPercent:      uint32(r.whole("floor_percent", 1, 100)),
		Accounts:          r.whole("accounts", 2, 10_000),
		LargeAccounts:     r.whole("large_accounts", 0, 10_000),
		LargeSharePercent: r.number("large_share_percent", 0, 100),
		LatencyMedian:     r.duration("latency_median", 100*time.Microsecond, time.Minute),
		LatencySigma:      r.number("latency_sigma", 0, 3),
		ErrorPercent:      r.number("error_percent", 0, 50),
		PauseEvery:        r.duration("pause_every", time.Second, 24*time.Hour),
		Pause:             r.duration("pause", 0, time.Minute),
		ColdStart:         r.duration("cold_start", 0, time.Hour),
		ColdFactor:        r.number("cold_factor", 1, 100),
	}
	if service.LargeAccounts >= service.Accounts {
		r.fault("large_accounts", "is not below accounts; lower it")
	}
	return service
}

func (r *reader) text(key string) string {
	r.known[r.section.Name()+"/"+key] = true
	if !r.section.HasKey(key) {
		r.fault(key, "is missing; add it")
	}
	return r.section.Key(key).String()
}

func (r *reader) whole(key string, least, most int) int {
	text := r.text(key)
	value, err := r.section.Key(key).Int()
	if text != "" && (err != nil || value < least || value > most) {
		r.fault(key, fmt.Sprintf("is %q; give a whole number from %d to %d", text, least, most))
	}
	return value
}

func (r *reader) number(key string, least, most float64) float64 {
	text := r.text(key)
	value, err := r.section.Key(key).Float64()
	if text != "" && (err != nil || !(value >= least && value <= most)) {
		r.fault(key, fmt.Sprintf("is %q; give a number from %g to %g", text, least, most))
	}
	return value
}

func (r *reader) duration(key string, least, most time.Duration) time.Duration {
	text := r.text(key)
	value, err := r.section.Key(key).Duration()
	if text != "" && (err != nil || value < least || value > most) {
		r.fault(key, fmt.Sprintf("is %q; give a duration from %s to %s", text, least, most))
	}
	return value
}

func (r *reader) unknownKeys() {
	for _, key := range r.section.Keys() {
		if !r.known[r.section.Name()+"/"+key.Name()] {
			r.fault(key.Name(), "is unknown; remove it")
		}
	}
}

func (r *reader) fault(key, text string) {
	r.faults = append(r.faults, strings.TrimSpace(fmt.Sprintf("section [%s] %s", r.section.Name(), key))+" "+text)
}
