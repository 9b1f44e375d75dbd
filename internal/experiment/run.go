package experiment

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// outputMode is the mode of the written files.
const outputMode = 0o644

// Run runs the experiment, prints its tables to out and writes the JSON and the
// plot file. The same settings always give the same figures. It returns an error
// when ctx ends first or a file cannot be written; missed targets are no error.
func Run(ctx context.Context, settings *Settings, out io.Writer) error {
	result, err := Measure(ctx, settings)
	if err != nil {
		return err
	}
	if err := printTables(out, result); err != nil {
		return errors.Wrap(err, "print the tables")
	}
	if err := writeJSON(settings.JSONFile, result); err != nil {
		return err
	}
	return writePlot(settings.PlotFile, result)
}

// Measure runs the experiment and returns what it measured.
func Measure(ctx context.Context, settings *Settings) (*Result, error) {
	result := &Result{Name: settings.Name, Seed: settings.Seed, Seeds: settings.Seeds}
	for i := range settings.Services {
		service := &settings.Services[i]
		if err := measureDetection(ctx, settings, service, result); err != nil {
			return nil, err
		}
		if err := measureHealthy(ctx, settings, service, result); err != nil {
			return nil, err
		}
		if err := measureLoad(ctx, settings, service, result); err != nil {
			return nil, err
		}
	}
	result.checkTargets()
	return result, nil
}

// parallel calls do with the numbers from 0 to count-1, several at once.
func parallel(ctx context.Context, workers, count int, do func(int)) error {
	numbers := make(chan int)
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for number := range numbers {
				do(number)
			}
		})
	}
	for number := range count {
		if ctx.Err() != nil {
			break
		}
		numbers <- number
	}
	close(numbers)
	group.Wait()
	return errors.Wrap(ctx.Err(), "the experiment was stopped; run it again")
}

func measureDetection(ctx context.Context, settings *Settings, service *ServiceSettings, result *Result) error {
	for fault := FaultNone + 1; fault < faults; fault++ {
		runs := make([]map[policyName]detection, settings.Seeds)
		err := parallel(ctx, settings.Workers, settings.Seeds, func(run int) {
			runs[run] = detectionRun(settings, service, fault, settings.Seed+uint64(run))
		})
		if err != nil {
			return err
		}
		for _, policy := range detectionPolicies {
			found := make([]detection, len(runs))
			for i := range runs {
				found[i] = runs[i][policy]
			}
			result.Detection = append(result.Detection, detectionRow(service.Name, fault, policy, found))
		}
	}
	return nil
}

func measureHealthy(ctx context.Context, settings *Settings, service *ServiceSettings, result *Result) error {
	for _, kind := range healthyCases {
		days := settings.HealthyServerDays
		if kind != caseNoise {
			days *= otherCasesShare
		}
		length := time.Duration(days * 24 * float64(time.Hour) / float64(service.Servers))
		count := int((length + healthyRunLimit - 1) / healthyRunLimit)
		runs := make([]healthyResult, count)
		err := parallel(ctx, settings.Workers, count, func(run int) {
			part := length / time.Duration(count)
			runs[run] = healthyRun(settings, service, kind, part, settings.Seed+uint64(run))
		})
		if err != nil {
			return err
		}
		for _, policy := range detectionPolicies {
			row := HealthyRow{Service: service.Name, Case: string(kind), Policy: string(policy)}
			for _, run := range runs {
				row.ServerDays += run.serverDays
				row.Ejections += run.ejections[policy]
			}
			row.PerServerDay = float64(row.Ejections) / row.ServerDays
			result.Healthy = append(result.Healthy, row)
		}
	}
	return nil
}

func measureLoad(ctx context.Context, settings *Settings, service *ServiceSettings, result *Result) error {
	for _, kind := range loadCases {
		for _, policy := range loadPolicies {
			runs := make([]loadTotals, settings.LoadSeeds)
			err := parallel(ctx, settings.Workers, settings.LoadSeeds, func(run int) {
				runs[run] = newLoadRun(settings, service, policy, kind, settings.Seed+uint64(run)).run()
			})
			if err != nil {
				return err
			}
			totals := newLoadTotals(service.Accounts)
			for i := range runs {
				totals.merge(&runs[i])
			}
			result.Load = append(result.Load, loadRow(service, kind, &policy, &totals))
		}
	}
	return nil
}

func writeJSON(path string, result *Result) error {
	if path == "" {
		return nil
	}
	data, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode the results")
	}
	err = os.WriteFile(path, append(data, '\n'), outputMode)
	return errors.Wrapf(err, "write %s; name a writable json_file", path)
}
