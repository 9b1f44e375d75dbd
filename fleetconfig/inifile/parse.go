package inifile

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// MaxBytes is the maximum size of a file.
const MaxBytes = 32 << 20

// Kinds of sections. In the header of every section except [fleet], a name follows the
// kind.
const (
	sectionFleet   = "fleet"
	sectionAccount = "account"
	sectionService = "service"
	sectionRoute   = "route"
	sectionPreset  = "preset"
)

// Keys of the [fleet] section.
const (
	keyPreset  = "preset"
	keyHolders = "holders"
)

// sectionsRemedy lists the valid sections.
const sectionsRemedy = "use [fleet], [account NAME], [service NAME], [route NAME] or [preset NAME]"

// File is a file that was parsed without faults.
type File struct {
	name         string
	accounts     []fleetconfig.Account
	services     []fleetconfig.Service
	routes       []fleetconfig.Route
	presets      []fleetconfig.Preset
	activePreset string
	holders      []fleetconfig.InstanceAddress
}

// Parse parses a file. The name is used only in faults. The error is a *FaultsError
// with all faults.
func Parse(name string, data []byte) (*File, error) {
	if len(data) > MaxBytes {
		return nil, &FaultsError{Faults: []Fault{{File: name, Problem: "is too large",
			Remedy: fmt.Sprintf("keep it below %d bytes", MaxBytes)}}}
	}
	p := &parser{file: &File{name: name}}
	raw, err := load(data, false)
	if err != nil {
		p.faults = append(p.faults, Fault{File: name, Problem: err.Error(),
			Remedy: "use lines of the form [section], key = value or ; comment"})
		// Continue past invalid lines, so that other faults are reported too.
		raw, err = load(data, true)
	}
	if err == nil {
		p.sections(raw)
	}
	if len(p.faults) > 0 {
		return nil, &FaultsError{Faults: p.faults}
	}
	if faults := fleetconfig.Validate(p.file.standalone()); len(faults) > 0 {
		return nil, &FaultsError{Faults: documentFaults(name, faults)}
	}
	return p.file, nil
}

func load(data []byte, skipInvalidLines bool) (*ini.File, error) {
	return ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:         true,
		SpaceBeforeInlineComment:   true,
		KeyValueDelimiters:         "=",
		AllowNonUniqueSections:     true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		PreserveEmptyShadowValues:  true,
		SkipUnrecognizableLines:    skipInvalidLines,
	}, data)
}

// parser collects the items of a file and the faults.
type parser struct {
	file   *File
	faults []Fault
}

func (p *parser) sections(raw *ini.File) {
	seen := make(map[string]bool)
	for _, rawSection := range raw.Sections() {
		s := newSection(p.file.name, rawSection, &p.faults)
		if s.name == ini.DefaultSection {
			if len(s.keys) > 0 {
				s.fault(s.keys[0].key, "is before the first section", sectionsRemedy)
			}
			continue
		}
		if seen[s.name] {
			s.fault("", "is given twice", "merge the two sections into one")
			continue
		}
		seen[s.name] = true
		p.section(s)
	}
	p.file.sort()
}

func (p *parser) section(s *section) {
	kind, name, _ := strings.Cut(s.name, " ")
	switch {
	case s.name == sectionFleet:
		p.fleet(s)
	case name == "":
		s.fault("", "is unknown", sectionsRemedy)
		return
	case kind == sectionAccount:
		p.account(s, name)
	case kind == sectionService:
		p.service(s, name)
	case kind == sectionRoute:
		p.route(s, name)
	case kind == sectionPreset:
		p.preset(s, name)
	default:
		s.fault("", "is unknown", sectionsRemedy)
		return
	}
	s.reportUnknownKeys()
}

func (p *parser) account(s *section, name string) {
	account := fleetconfig.Account{ID: fleetconfig.AccountID(name)}
	account.RatePerSecond = s.float("rate_per_second", "50")
	if _, given := s.required("burst", "20"); given {
		account.Burst = s.number("burst", 1)
	}
	p.file.accounts = append(p.file.accounts, account)
}

func (p *parser) service(s *section, name string) {
	p.file.services = append(p.file.services, fleetconfig.Service{
		Name:         fleetconfig.ServiceName(name),
		FloorSlots:   s.number("floor_slots", 0),
		FloorPercent: s.number("floor_percent", 0),
		ColdRate:     s.optionalFloat("cold_rate", "12"),
		ColdStart:    s.duration("cold_start"),
	})
}

func (p *parser) route(s *section, name string) {
	route := fleetconfig.Route{
		ID:             name,
		OpenToAll:      s.boolean("open_to_all"),
		Timeout:        s.duration("timeout"),
		LargeResponses: s.boolean("large_answers"),
		BelowPrefix:    s.boolean("below_prefix"),
	}
	route.Host, _ = s.value("host")
	route.PathPrefix, _ = s.required("path_prefix", "/orders")
	service, _ := s.required("service", "stock")
	route.Service = fleetconfig.ServiceName(service)
	if text, given := s.value("idempotency"); given {
		if err := route.Idempotency.UnmarshalText([]byte(text)); err != nil {
			s.fault("idempotency", fmt.Sprintf("%.64q is unknown", text), "use by-method, always or never")
		}
	}
	p.file.routes = append(p.file.routes, route)
}

func (p *parser) preset(s *section, name string) {
	p.file.presets = append(p.file.presets, fleetconfig.Preset{
		Name:               name,
		RetryBudgetPercent: s.number("retry_budget_percent", 0),
		HedgeAfter:         s.duration("hedge_after"),
		QueueLength:        s.number("queue_length", 0),
		EjectionEnabled:    s.boolean("ejection_enabled"),
		SlowStart:          s.duration("slow_start"),
	})
}

func (p *parser) fleet(s *section) {
	p.file.activePreset, _ = s.value(keyPreset)
	holders, given := s.value(keyHolders)
	if !given {
		return
	}
	for _, text := range strings.Split(holders, ",") {
		parts := strings.Split(strings.TrimSpace(text), "@")
		if len(parts) != 3 {
			s.fault(keyHolders, fmt.Sprintf("%.64q is not a valid holder", text),
				"use ID@ADDRESS@FAILURE-DOMAIN, separated by commas, such as i1@192.0.2.1:7400@fd1")
			continue
		}
		p.file.holders = append(p.file.holders, fleetconfig.InstanceAddress{
			ID:            fleetconfig.InstanceID(parts[0]),
			Address:       parts[1],
			FailureDomain: fleetconfig.FailureDomain(parts[2]),
		})
	}
}
