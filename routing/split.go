package routing

import "github.com/hemlockring/hemlockring/fleetconfig"

// ChooseService returns the service whose part of the split contains point, a number from 0
// to 1. The parts are adjacent intervals in the given order; the width of each is its weight
// divided by the sum of all weights.
func ChooseService(parts []fleetconfig.SplitPart, point float64) fleetconfig.ServiceName {
	total := 0.0
	for _, part := range parts {
		total += float64(part.Weight)
	}
	end := 0.0
	chosen := parts[0].Service
	for _, part := range parts {
		if part.Weight == 0 {
			continue
		}
		chosen = part.Service
		end += float64(part.Weight)
		if point*total < end {
			break
		}
	}
	return chosen
}
