package fleetconfig

import "time"

// Names of the presets that a new fleet starts with.
const (
	PresetOrdinary    = "ordinary"
	PresetPeak        = "peak"
	PresetMaintenance = "maintenance"
)

// NewDocument returns version 0, which a new fleet starts with: nothing but
// presets for ordinary days, peaks and maintenance, with the ordinary one in
// force.
func NewDocument() *Document {
	return &Document{
		ActivePreset: PresetOrdinary,
		Presets: []Preset{
			{
				Name:               PresetMaintenance,
				RetryBudgetPercent: 10,
				QueueLength:        32,
				EjectionEnabled:    false,
				SlowStart:          30 * time.Second,
			},
			{
				Name:               PresetOrdinary,
				RetryBudgetPercent: 10,
				HedgeAfter:         250 * time.Millisecond,
				QueueLength:        32,
				EjectionEnabled:    true,
				SlowStart:          30 * time.Second,
			},
			{
				Name:               PresetPeak,
				RetryBudgetPercent: 3,
				QueueLength:        64,
				EjectionEnabled:    true,
				SlowStart:          15 * time.Second,
			},
		},
	}
}
