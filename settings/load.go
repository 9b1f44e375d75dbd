package settings

import (
	"os"
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// Load reads and checks a settings file. The error is of type Faults when the
// file can be read but is not right.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read the settings; 'hemlockctl settings default' prints a file to start from")
	}
	settings, err := Parse(file, data)
	if err != nil {
		return nil, err
	}
	settings.resolvePaths(filepath.Dir(file))
	return settings, nil
}

// resolvePaths makes relative file names relative to the settings file's folder.
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

// Parse checks the content of a settings file. The file's name is only used in
// messages.
func Parse(file string, data []byte) (*Settings, error) {
	source, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows:            true,
		IgnoreInlineComment:     true,
		SkipUnrecognizableLines: false,
	}, data)
	if err != nil {
		return nil, Faults{{File: file, Problem: err.Error(), Remedy: "write lines of the form KEY = VALUE under [SECTION]"}}
	}
	parser := &fileParser{file: file, source: source, settings: &Settings{}}
	parser.readFields()
	parser.readAdapter()
	parser.findUnknown()
	if len(parser.faults) == 0 {
		parser.checkTogether()
	}
	if len(parser.faults) > 0 {
		return nil, parser.faults
	}
	return parser.settings, nil
}

// fileParser collects settings and faults of one file.
type fileParser struct {
	file     string
	source   *ini.File
	settings *Settings
	faults   Faults
}

func (p *fileParser) fault(section, key, problem, remedy string) {
	p.faults = append(p.faults, Fault{File: p.file, Section: section, Key: key, Problem: problem, Remedy: remedy})
}

func (p *fileParser) readFields() {
	for i := range fields {
		p.readField(&fields[i])
	}
}

func (p *fileParser) readField(field *field) {
	section := p.source.Section(field.section)
	text := field.standard
	if section.HasKey(field.key) {
		key := section.Key(field.key)
		if len(key.ValueWithShadows()) > 1 {
			p.fault(field.section, field.key, "the key is there more than once", "keep one of the lines")
			return
		}
		text = key.String()
	} else if field.required {
		p.fault(field.section, field.key, "the key is missing", "write it, as in "+field.key+" = "+field.example)
		return
	}
	if err := field.set(p.settings, text); err != nil {
		p.fault(field.section, field.key, "the value is not right", err.Error())
	}
}

// readAdapter keeps the keys of the adapter's section as they are.
func (p *fileParser) readAdapter() {
	section, err := p.source.GetSection(sectionAdapter)
	if err != nil {
		return
	}
	p.settings.Adapter = section.KeysHash()
}

func (p *fileParser) findUnknown() {
	for _, section := range p.source.Sections() {
		name := section.Name()
		if name == sectionAdapter {
			continue
		}
		if !knownSection(name) {
			if name != ini.DefaultSection || len(section.Keys()) > 0 {
				p.fault(name, "", "the section is unknown", "use the sections that 'hemlockctl settings default' prints")
			}
			continue
		}
		for _, key := range section.Keys() {
			if !knownKey(name, key.Name()) {
				p.fault(name, key.Name(), "the key is unknown", "use the keys that 'hemlockctl settings default' prints")
			}
		}
	}
}

func knownSection(section string) bool {
	return slices.ContainsFunc(fields, func(f field) bool { return f.section == section })
}

func knownKey(section, key string) bool {
	return slices.ContainsFunc(fields, func(f field) bool { return f.section == section && f.key == key })
}

// checkTogether checks the settings that depend on each other.
func (p *fileParser) checkTogether() {
	settings := p.settings
	if settings.Instance.HasRole(RoleProxy) && settings.Callers.Address == "" {
		p.fault(sectionCallers, "address", "the key is missing", "the role proxy needs an address for callers")
	}
	p.checkTrust()
	if settings.Limits.StopDelay >= settings.Limits.DrainTimeout() {
		p.fault(sectionLimits, "stop_linger", "it is not shorter than five sixths of stop_timeout", "leave the requests in flight some time to end")
	}
	if (settings.Callers.Certificate == "") != (settings.Callers.Key == "") {
		p.fault(sectionCallers, "certificate", "certificate and key go together", "write both, or neither for plain HTTP")
	}
	if (settings.Admin.Certificate == "") != (settings.Admin.Key == "") {
		p.fault(sectionAdmin, "certificate", "certificate and key go together", "write both, or neither for the fleet certificate")
	}
	if settings.Instance.HasRole(RoleControl) {
		p.checkControl()
	} else if settings.Admin.Address != "" {
		p.fault(sectionAdmin, "address", "the instance has no role control", "remove the key, or add the role")
	}
}

// checkTrust checks that the trust certificates has its files.
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
			p.fault(sectionFleet, file.key, "the key is missing", "name the file that 'hemlockctl ca' made, or trust the network")
		}
	}
}

func (p *fileParser) checkControl() {
	settings := p.settings
	if settings.Instance.DataFolder == "" {
		p.fault(sectionInstance, "data_folder", "the key is missing", "the role control needs a folder for its files")
	}
	if settings.Admin.Address != "" && settings.Admin.Operators == "" {
		p.fault(sectionAdmin, "operators", "the key is missing", "the administration API needs the file with the operators")
	}
	if settings.Control.SelfForming() {
		return
	}
	isSelf := func(m ControlMember) bool { return m.ID == settings.Instance.ID }
	index := slices.IndexFunc(settings.Control.Members, isSelf)
	if index < 0 {
		p.fault(sectionControl, "members", "this instance has the role control and is not among them", "add it, or remove the role")
		return
	}
	if settings.Control.Members[index].Address != settings.Fleet.Address {
		p.fault(sectionControl, "members", "this instance stands there with another fleet address", "write the same address in both places")
	}
}
