package inifile

import (
	"cmp"
	"slices"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// mergeItems returns the items of the file. An item that the current document has, too, keeps
// the fields for which the file has no key; merge returns it, given the current item and that
// of the file.
func mergeItems[K cmp.Ordered, V any](current, file []V, id func(*V) K, merge func(current, file V) V) []V {
	merged := slices.Clone(file)
	for i := range merged {
		for j := range current {
			if id(&current[j]) == id(&merged[i]) {
				merged[i] = merge(current[j], merged[i])
			}
		}
	}
	return merged
}

func accountID(account *fleetconfig.Account) fleetconfig.AccountID { return account.ID }

func mergeAccount(current, file fleetconfig.Account) fleetconfig.Account {
	current.RatePerSecond, current.Burst = file.RatePerSecond, file.Burst
	return current
}

func serviceName(service *fleetconfig.Service) fleetconfig.ServiceName { return service.Name }

func mergeService(current, file fleetconfig.Service) fleetconfig.Service {
	current.FloorSlots, current.FloorPercent = file.FloorSlots, file.FloorPercent
	current.ColdRate, current.ColdStart = file.ColdRate, file.ColdStart
	return current
}

func routeID(route *fleetconfig.Route) string { return route.ID }

// mergeRoute also drops a split when the file names another service than the route had,
// because a route with a split does not use its service.
func mergeRoute(current, file fleetconfig.Route) fleetconfig.Route {
	if file.Service != current.Service {
		current.Split = nil
	}
	current.Host, current.Service = file.Host, file.Service
	current.PathPrefix, current.BelowPrefix = file.PathPrefix, file.BelowPrefix
	current.OpenToAll, current.Idempotency = file.OpenToAll, file.Idempotency
	current.Timeout, current.LargeResponses = file.Timeout, file.LargeResponses
	return current
}

func presetName(preset *fleetconfig.Preset) string { return preset.Name }

func mergePreset(current, file fleetconfig.Preset) fleetconfig.Preset {
	current.RetryBudgetPercent, current.HedgeAfter = file.RetryBudgetPercent, file.HedgeAfter
	current.QueueLength, current.EjectionEnabled = file.QueueLength, file.EjectionEnabled
	current.SlowStart = file.SlowStart
	return current
}
