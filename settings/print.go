package settings

import (
	"fmt"
	"strings"
)

// DefaultFile returns a commented settings file with every key. Keys that must
// be written carry an example; the others stand as comments with their default.
func DefaultFile() string {
	var out strings.Builder
	out.WriteString("; Settings of one hemlockd process. Check a file with 'hemlockd --check -c FILE'.\n")
	out.WriteString("; Relative file names count from the folder of this file.\n")
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
		fmt.Fprintf(&out, "; %s = %s\n", field.key, field.standard)
	}
	return out.String()
}
