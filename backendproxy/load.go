package backendproxy

import (
	"fmt"
)

// HeaderLoad carries the load of the backend server back to the ingress.
const HeaderLoad = "Hemlock-Load"

// String returns the load as it is written in HeaderLoad.
func (l Load) String() string {
	return fmt.Sprintf("%d/%d/%d/%d", l.Running, l.Queued, l.Slots, l.WeightPercent)
}

// ParseLoad reads a value of HeaderLoad.
func ParseLoad(text string) (load Load, ok bool) {
	const fields = 4
	n, err := fmt.Sscanf(text, "%d/%d/%d/%d", &load.Running, &load.Queued, &load.Slots, &load.WeightPercent)
	return load, err == nil && n == fields
}
