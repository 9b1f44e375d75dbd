//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
)

// The tags of a settings template: a value, the start of a section and the end of one.
var (
	valueTag   = regexp.MustCompile(`\{\{([A-Za-z.0-9]+)\}\}`)
	sectionTag = regexp.MustCompile(`(?s)\{\{#([A-Za-z.0-9]+)\}\}\n?(.*?)\{\{/[A-Za-z.0-9]+\}\}\n?`)
)

// render fills in a settings template of the deploy folder, as far as these templates use the
// template language: values, and sections of a single value.
func render(template string, fields map[string]any) string {
	template = sectionTag.ReplaceAllStringFunc(template, func(section string) string {
		parts := sectionTag.FindStringSubmatch(section)
		value := lookup(fields, parts[1])
		if value == nil || value == false {
			return ""
		}
		return strings.ReplaceAll(parts[2], "{{.}}", text(value))
	})
	return valueTag.ReplaceAllStringFunc(template, func(tag string) string {
		return text(lookup(fields, valueTag.FindStringSubmatch(tag)[1]))
	})
}

// lookup returns the value at a path such as "Bounds.GraceS" or "PortRange.0", or nil.
func lookup(fields map[string]any, path string) any {
	var value any = fields
	for _, name := range strings.Split(path, ".") {
		switch holder := value.(type) {
		case map[string]any:
			value = holder[name]
		case []int:
			var index int
			if _, err := fmt.Sscan(name, &index); err != nil || index >= len(holder) {
				return nil
			}
			value = holder[index]
		default:
			return nil
		}
	}
	return value
}

func text(value any) string {
	switch value := value.(type) {
	case nil:
		return ""
	case []string:
		return strings.Join(value, ",")
	case map[string]any:
		data, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		return string(data)
	}
	return fmt.Sprint(value)
}
