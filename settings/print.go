package settings

import (
	"fmt"
	"strings"
)

// DefaultFile returns a settings file with a comment for every key. Keys with an
// example are set to it; the others are commented out and show their default.
func DefaultFile() string {
	var out strings.Builder
	out.WriteString("; Settings of one hemlockd process. Check a file with 'hemlockd --check -c FILE'.\n")
	out.WriteString("; Relative file names are resolved against the folder of this file.\n")
	section := ""
	for i := range fields {
		field := &fields[i]
		if field.section != section {
			section = field.section
			fmt.Fprintf(&out, "\n[%s]\n", section)
		}
		fmt.Fprintf(&out, "; %s\n", field.help)
		if field.example != "" {
			fmt.Fprintf(&out, "%s = %s\n", field.key, field.example)
			continue
		}
		fmt.Fprintf(&out, "; %s = %s\n", field.key, field.defaultValue)
	}
	return out.String()
}
