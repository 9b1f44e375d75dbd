package experiment

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Settings configures one experiment.
type Settings struct {
	// Name is the name of the experiment in the output.
	Name string
	// Seed is the seed of the first run. Each further run adds one to it.
	Seed uint64
	// Seeds is the number of runs for each fault.
	Seeds int
	// HealthyServerDays is the simulated time of all servers together, in days, in the
	// noise case. The other healthy cases run for a tenth of it.
	HealthyServerDays float64
	// LoadSeconds is the measured time of each load run, in seconds.
	LoadSeconds int
	// LoadSeeds is the number of runs for each load case.
	LoadSeeds int
	// Workers is the number of runs that are executed concurrently.
	Workers int
	// FailureDomains is the number of failure domains that the servers are spread over.
	FailureDomains int
	// Ingresses is the number of ingresses that send requests.
	Ingresses int
	// Deadline is the time limit of a request.
	Deadline time.Duration
	// Preset holds the parameters of the policies.
	Preset fleetconfig.Preset
	// Services are the simulated services.
	Services []ServiceSettings
	// JSONFile is the output file for the results and PlotFile the output file for the
	// plot. If a name is empty, that file is not written.
	JSONFile, PlotFile string
}

// ServiceSettings configures the fake backend servers of one service.
type ServiceSettings struct {
	// Name is the name of the service.
	Name string
	// Servers is the number of backend servers and Slots the number of slots of each.
	Servers, Slots int
	// RequestRate is the number of requests per second that arrive at each server in the
	// detection and healthy runs.
	RequestRate float64
	// FloorPercent is the minimum healthy capacity, in percent of the slots, that ejection
	// must leave.
	FloorPercent uint32
	// Accounts is the number of client accounts. LargeAccounts of them send
	// LargeSharePercent of the requests in equal shares, and the others send the rest.
	Accounts, LargeAccounts int
	LargeSharePercent       float64
	// LatencyMedian and LatencySigma are the parameters of the lognormal service time.
	LatencyMedian time.Duration
	LatencySigma  float64
	// ErrorPercent is the percentage of requests that fail at a healthy server.
	ErrorPercent float64
	// MeanPauseInterval is the mean time between pauses of a healthy server, and
	// MeanPause the mean length of a pause.
	MeanPauseInterval, MeanPause time.Duration
	// ColdStart is how long a server is slow after its start. Its service time is
	// multiplied by ColdFactor at first, and the factor falls linearly to 1.
	ColdStart  time.Duration
	ColdFactor float64
}
