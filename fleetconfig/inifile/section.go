package inifile

import (
	"fmt"
	"strconv"
	"time"

	"gopkg.in/ini.v1"
)

// section reads the keys of one section and records which keys have been used.
// reportUnknownKeys reports the keys that have not been used as unknown.
type section struct {
	file   string
	name   string
	keys   []entry
	faults *[]Fault
}

// entry is one key of a section.
type entry struct {
	key   string
	value string
	used  bool
}

func newSection(file string, raw *ini.Section, faults *[]Fault) *section {
	s := &section{file: file, name: raw.Name(), faults: faults}
	for _, key := range raw.Keys() {
		if len(key.ValueWithShadows()) > 1 {
			s.fault(key.Name(), "is given more than once", "keep one of the lines")
		}
		s.keys = append(s.keys, entry{key: key.Name(), value: key.Value()})
	}
	return s
}

func (s *section) fault(key, problem, remedy string) {
	*s.faults = append(*s.faults, Fault{File: s.file, Section: s.name, Key: key, Problem: problem, Remedy: remedy})
}

// value returns the value of a key and whether the key is present.
func (s *section) value(key string) (string, bool) {
	for i := range s.keys {
		if s.keys[i].key == key {
			s.keys[i].used = true
			return s.keys[i].value, true
		}
	}
	return "", false
}

// required is like value, but reports a fault if the key is absent.
func (s *section) required(key, example string) (string, bool) {
	value, given := s.value(key)
	if !given {
		s.fault(key, "is missing", "add a line such as "+key+" = "+example)
	}
	return value, given
}

func (s *section) float(key, example string) float64 {
	value, given := s.required(key, example)
	if !given {
		return 1
	}
	return s.parseFloat(key, value, example)
}

// optionalFloat returns the value of a key that is zero unless the file sets it.
func (s *section) optionalFloat(key, example string) float64 {
	value, given := s.value(key)
	if !given {
		return 0
	}
	return s.parseFloat(key, value, example)
}

// parseFloat returns 1 for a value that is not a number, and reports a fault.
func (s *section) parseFloat(key, value, example string) float64 {
	number, err := strconv.ParseFloat(value, 64)
	if err != nil {
		s.fault(key, fmt.Sprintf("%.64q is not a number", value), "write a number such as "+example)
		return 1
	}
	return number
}

func (s *section) number(key string, fallback uint32) uint32 {
	value, given := s.value(key)
	if !given {
		return fallback
	}
	number, err := strconv.ParseUint(value, 10, 32)
	if err != nil {
		s.fault(key, fmt.Sprintf("%.64q is not a whole number", value), "write a whole number such as 10")
		return fallback
	}
	return uint32(number)
}

func (s *section) duration(key string) time.Duration {
	value, given := s.value(key)
	if !given {
		return 0
	}
	duration, err := time.ParseDuration(value)
	if err != nil {
		s.fault(key, fmt.Sprintf("%.64q is not a duration", value), "write a duration with its unit, such as 250ms or 30s")
		return 0
	}
	return duration
}

// boolean returns the value of a key that is false unless the file sets it.
func (s *section) boolean(key string) bool {
	value, given := s.value(key)
	if !given {
		return false
	}
	switch value {
	case "true":
		return true
	case "false":
		return false
	}
	s.fault(key, fmt.Sprintf("%.64q is not true or false", value), "write true or false")
	return false
}

// reportUnknownKeys reports the keys that have not been used.
func (s *section) reportUnknownKeys() {
	for _, entry := range s.keys {
		if !entry.used {
			s.fault(entry.key, "is unknown here", "remove it or correct its spelling; see the documentation for the keys of a section")
		}
	}
}
