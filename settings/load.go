package settings

import (
	"os"
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// Load reads and validates a settings file. Relative file names in it are resolved
// against the folder of the settings file. The error is of type Faults if the file can
// be read but its content is invalid.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read the settings file; 'hemlockctl settings default' prints a template")
	}
	settings, err := Parse(file, data)
	if err != nil {
		return nil, err
	}
	settings.resolvePaths(filepath.Dir(file))
	return settings, nil
}

// resolvePaths resolves relative file names against a folder.
func (s *Settings) resolvePaths(folder string) {
	paths := []*string{
		&s.Instance.DataFolder,
		&s.Fleet.Certificate, &s.Fleet.Key, &s.Fleet.Authority, &s.Fleet.GossipKey,
		&s.Callers.Certificate, &s.Callers.Key,
		&s.Admin.Certificate, &s.Admin.Key, &s.Admin.Operators,
	}
	for _, path := range paths {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(folder, *path)
		}
	}
}

// Parse validates the content of a settings file. The file name is only used in
// messages. The error is of type Faults.
func Parse(file string, data []byte) (*Settings, error) {
	source, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows:            true,
		IgnoreInlineComment:     true,
		SkipUnrecognizableLines: false,
	}, data)
	if err != nil {
		return nil, Faults{{File: file, Problem: err.Error(), Remedy: "write lines of the form KEY = VALUE below a line [SECTION]"}}
	}
	parser := &fileParser{file: file, source: source, settings: &Settings{}}
	parser.readFields()
	parser.readAdapter()
	parser.checkUnknownKeys()
	if len(parser.faults) == 0 {
		parser.checkConsistency()
	}
	if len(parser.faults) > 0 {
		return nil, parser.faults
	}
	return parser.settings, nil
}

// fileParser collects the settings and the faults of one file.
type fileParser struct {
	file     string
	source   *ini.File
	settings *Settings
	faults   Faults
}

func (p *fileParser) addFault(section, key, problem, remedy string) {
	p.faults = append(p.faults, Fault{File: p.file, Section: section, Key: key, Problem: problem, Remedy: remedy})
}

func (p *fileParser) readFields() {
	for i := range fields {
		p.readField(&fields[i])
	}
}

func (p *fileParser) readField(field *field) {
	section := p.source.Section(field.section)
	text := field.defaultValue
	if section.HasKey(field.key) {
		key := section.Key(field.key)
		if len(key.ValueWithShadows()) > 1 {
			p.addFault(field.section, field.key, "the key is set more than once", "keep one of the lines")
			return
		}
		text = key.String()
	} else if field.required {
		p.addFault(field.section, field.key, "the key is missing", "add a line such as "+field.key+" = "+field.example)
		return
	}
	if err := field.set(p.settings, text); err != nil {
		p.addFault(field.section, field.key, "the value is invalid", err.Error())
	}
}

// readAdapter stores the keys of the section for the platform adapter as text; see
// Settings.Adapter.
func (p *fileParser) readAdapter() {
	section, err := p.source.GetSection(sectionAdapter)
	if err != nil {
		return
	}
	for _, key := range section.Keys() {
		if len(key.ValueWithShadows()) > 1 {
			p.addFault(sectionAdapter, key.Name(), "the key is set more than once", "keep one of the lines")
		}
	}
	p.settings.Adapter = section.KeysHash()
}

// checkUnknownKeys adds a fault for every unknown section and key.
func (p *fileParser) checkUnknownKeys() {
	for _, section := range p.source.Sections() {
		name := section.Name()
		if name == sectionAdapter {
			continue
		}
		if !isKnownSection(name) {
			if name != ini.DefaultSection || len(section.Keys()) > 0 {
				p.addFault(name, "", "the section is unknown", "use the sections that 'hemlockctl settings default' prints")
			}
			continue
		}
		for _, key := range section.Keys() {
			if !isKnownKey(name, key.Name()) {
				p.addFault(name, key.Name(), "the key is unknown", "use the keys that 'hemlockctl settings default' prints")
			}
		}
	}
}

func isKnownSection(section string) bool {
	return slices.ContainsFunc(fields, func(f field) bool { return f.section == section })
}

func isKnownKey(section, key string) bool {
	return slices.ContainsFunc(fields, func(f field) bool { return f.section == section && f.key == key })
}

// checkConsistency validates settings that depend on each other.
func (p *fileParser) checkConsistency() {
	settings := p.settings
	if settings.Instance.HasRole(RoleProxy) && settings.Callers.Address == "" {
		p.addFault(sectionCallers, "address", "the key is missing", "set it; the role proxy requires an address for callers")
	}
	p.checkTrust()
	if settings.Limits.StopDelay >= settings.Limits.DrainTimeout() {
		p.addFault(sectionLimits, "stop_linger", "the value is not shorter than five sixths of stop_timeout", "reduce it, so that requests in flight have time to complete")
	}
	if (settings.Callers.Certificate == "") != (settings.Callers.Key == "") {
		p.addFault(sectionCallers, "certificate", "only one of certificate and key is set", "set both, or neither for plain HTTP")
	}
	if (settings.Admin.Certificate == "") != (settings.Admin.Key == "") {
		p.addFault(sectionAdmin, "certificate", "only one of certificate and key is set", "set both, or neither to use the fleet certificate")
	}
	if settings.Instance.HasRole(RoleControl) {
		p.checkControl()
	} else if settings.Admin.Address != "" {
		p.addFault(sectionAdmin, "address", "the instance does not have the role control", "remove the key, or add the role control to roles")
	}
}

// checkTrust checks that all files that TrustCertificates requires are set.
func (p *fileParser) checkTrust() {
	fleet := &p.settings.Fleet
	if fleet.Trust != TrustCertificates {
		return
	}
	files := []struct{ key, value string }{
		{"certificate", fleet.Certificate},
		{"key", fleet.Key},
		{"authority", fleet.Authority},
		{"gossip_key", fleet.GossipKey},
	}
	for _, file := range files {
		if file.value == "" {
			p.addFault(sectionFleet, file.key, "the key is missing", "set it to the file that 'hemlockctl ca' created, or set trust = network")
		}
	}
}

// checkControl validates the settings of an instance with the role control.
func (p *fileParser) checkControl() {
	settings := p.settings
	if settings.Instance.DataFolder == "" {
		p.addFault(sectionInstance, "data_folder", "the key is missing", "set it; the role control requires a folder for its files")
	}
	if settings.Admin.Address != "" && settings.Admin.Operators == "" {
		p.addFault(sectionAdmin, "operators", "the key is missing", "set it; the administration API requires the file with the operators")
	}
	if settings.Control.SelfForming() {
		return
	}
	isSelf := func(m ControlMember) bool { return m.ID == settings.Instance.ID }
	index := slices.IndexFunc(settings.Control.Members, isSelf)
	if index < 0 {
		p.addFault(sectionControl, "members", "this instance has the role control but is not listed", "add the instance, or remove the role control from roles")
		return
	}
	if settings.Control.Members[index].Address != settings.Fleet.Address {
		p.addFault(sectionControl, "members", "this instance is listed with an address that differs from the address in [fleet]", "write the same address in both places")
	}
}
