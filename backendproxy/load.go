package backendproxy

import (
	"fmt"
)

// HeaderLoad carries the load of the backend server back to the ingress.
const HeaderLoad = "Hemlock-Load"

// String returns the load as it is written in HeaderLoad.
func (l Load) String() string {
	return fmt.Sprintf("%d/%d/%d", l.Running, l.Queued, l.Slots)
}

// ParseLoad reads a value of HeaderLoad.
func ParseLoad(text string) (load Load, ok bool) {
	n, err := fmt.Sscanf(text, "%d/%d/%d", &load.Running, &load.Queued, &load.Slots)
	return load, err == nil && n == 3
}
