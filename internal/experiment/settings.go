package experiment

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Settings describe one experiment.
type Settings struct {
	// Name names the experiment in the output.
	Name string
	// Seed is the first seed; every run uses its own, derived from it.
	Seed uint64
	// Seeds is how many runs each fault gets.
	Seeds int
	// HealthyServerDays is how long the healthy servers run in the noise case. The
	// other healthy cases run a tenth of it.
	HealthyServerDays float64
	// LoadSeconds is the length of each load run.
	LoadSeconds int
	// LoadSeeds is how many runs each load case gets.
	LoadSeeds int
	// Workers is how many runs go on at once.
	Workers int
	// FailureDomains is how many failure domains the servers are spread over.
	FailureDomains int
	// Ingresses is how many ingresses send requests.
	Ingresses int
	// Deadline is how long a request may take.
	Deadline time.Duration
	// Preset holds the policies.
	Preset fleetconfig.Preset
	// Services are the measured services.
	Services []ServiceSettings
	// JSONFile is the file for the results, PlotFile the one for the plot. An empty
	// name writes none.
	JSONFile, PlotFile string
}

// ServiceSettings describe the fake backend servers of one service.
type ServiceSettings struct {
	// Name names the service.
	Name string
	// Servers is the number of backend servers, Slots the slots of each.
	Servers, Slots int
	// RequestRate is how many requests a second each server gets.
	RequestRate float64
	// FloorPercent is the healthy share of the slots that ejection keeps.
	FloorPercent uint32
	// Accounts is the number of client accounts; LargeAccounts of them share
	// LargeSharePercent of the requests evenly, the others the rest.
	Accounts, LargeAccounts int
	LargeSharePercent       float64
	// LatencyMedian and LatencySigma form the lognormal time in a slot.
	LatencyMedian time.Duration
	LatencySigma  float64
	// ErrorPercent is the usual share of failed requests.
	ErrorPercent float64
	// PauseEvery is the mean time between pauses of a healthy server, Pause the
	// mean length of one.
	PauseEvery, Pause time.Duration
	// ColdStart is how long a started server is slow, by ColdFactor at first.
	ColdStart  time.Duration
	ColdFactor float64
}
