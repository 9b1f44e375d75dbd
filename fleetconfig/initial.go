package fleetconfig

import "time"

// Names of the presets of a new fleet.
const (
	PresetOrdinary    = "ordinary"
	PresetPeak        = "peak"
	PresetMaintenance = "maintenance"
)

// NewDocument returns version 0, the initial document of a new fleet. It contains
// only the presets for ordinary operation, peak load and maintenance; the ordinary
// one is active.
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
