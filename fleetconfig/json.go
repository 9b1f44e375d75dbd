package fleetconfig

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// durationText is a duration that is encoded in JSON as text, such as "1.5s".
type durationText time.Duration

// MarshalText formats the duration as text.
func (d durationText) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses a duration.
func (d *durationText) UnmarshalText(text []byte) error {
	duration, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("%q is not a duration; write one such as 250ms or 30s", text)
	}
	*d = durationText(duration)
	return nil
}

// plainRoute and plainPreset have the fields of Route and Preset without their JSON
// methods, so that encoding them does not recurse.
type (
	plainRoute  Route
	plainPreset Preset
)

// routeJSON and presetJSON encode the durations that they declare as text. The other
// durations of Route and Preset are encoded as a number of nanoseconds. A field that
// routeJSON or presetJSON declares hides the embedded field with the same JSON name.
type routeJSON struct {
	*plainRoute
	Timeout durationText `json:"timeout"`
}

type presetJSON struct {
	*plainPreset
	HedgeAfter durationText `json:"hedge_after"`
	SlowStart  durationText `json:"slow_start"`
}

// MarshalJSON encodes the timeout as text.
func (r Route) MarshalJSON() ([]byte, error) {
	return json.Marshal(routeJSON{plainRoute: (*plainRoute)(&r), Timeout: durationText(r.Timeout)})
}

// UnmarshalJSON decodes the timeout from text.
func (r *Route) UnmarshalJSON(data []byte) error {
	encoded := routeJSON{plainRoute: (*plainRoute)(r)}
	if err := json.Unmarshal(data, &encoded); err != nil {
		return err
	}
	r.Timeout = time.Duration(encoded.Timeout)
	return nil
}

// MarshalJSON encodes HedgeAfter and SlowStart as text.
func (p Preset) MarshalJSON() ([]byte, error) {
	return json.Marshal(presetJSON{
		plainPreset: (*plainPreset)(&p),
		HedgeAfter:  durationText(p.HedgeAfter),
		SlowStart:   durationText(p.SlowStart),
	})
}

// UnmarshalJSON decodes HedgeAfter and SlowStart from text.
func (p *Preset) UnmarshalJSON(data []byte) error {
	encoded := presetJSON{plainPreset: (*plainPreset)(p)}
	if err := json.Unmarshal(data, &encoded); err != nil {
		return err
	}
	p.HedgeAfter = time.Duration(encoded.HedgeAfter)
	p.SlowStart = time.Duration(encoded.SlowStart)
	return nil
}

// idempotencyNames are the names of the Idempotency values, indexed by value.
var idempotencyNames = [...]string{"by-method", "always", "never"}

// String returns the name of the value.
func (i Idempotency) String() string {
	if int(i) >= len(idempotencyNames) {
		return "unknown"
	}
	return idempotencyNames[i]
}

// MarshalText returns the name of the value.
func (i Idempotency) MarshalText() ([]byte, error) {
	return []byte(i.String()), nil
}

// UnmarshalText parses the name of a value.
func (i *Idempotency) UnmarshalText(text []byte) error {
	for value, name := range idempotencyNames {
		if name == string(text) {
			*i = Idempotency(value)
			return nil
		}
	}
	return errors.Newf("%q is not a valid idempotency; use by-method, always or never", text)
}
