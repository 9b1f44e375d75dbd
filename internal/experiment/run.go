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

// outputFileMode is the permission mode of the output files.
const outputFileMode = 0o644

// Run runs the experiment, prints the result tables to out and writes the JSON and plot
// files. Equal settings give equal results. It returns an error if ctx is canceled or a
// file cannot be written. Missed targets are not an error.
func Run(ctx context.Context, settings *Settings, out io.Writer) error {
	result, err := Measure(ctx, settings)
	if err != nil {
		return err
	}
	if err := printTables(out, result); err != nil {
		return errors.Wrap(err, "print tables")
	}
	if err := writeJSON(settings.JSONFile, result); err != nil {
		return err
	}
	return writePlot(settings.PlotFile, result)
}

// Measure runs the experiment and returns the results.
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

// runParallel calls do with each number from 0 to count-1, on the given number of workers.
func runParallel(ctx context.Context, workers, count int, do func(int)) error {
	numbers := make(chan int)
	var workerGroup sync.WaitGroup
	for range workers {
		workerGroup.Go(func() {
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
	workerGroup.Wait()
	return errors.Wrap(ctx.Err(), "experiment interrupted; run it again")
}

func measureDetection(ctx context.Context, settings *Settings, service *ServiceSettings, result *Result) error {
	for fault := FaultNone + 1; fault < faultCount; fault++ {
		runs := make([]map[policyName]detectionResult, settings.Seeds)
		err := runParallel(ctx, settings.Workers, settings.Seeds, func(run int) {
			runs[run] = runDetection(settings, service, fault, settings.Seed+uint64(run))
		})
		if err != nil {
			return err
		}
		for _, policy := range detectionPolicies {
			results := make([]detectionResult, len(runs))
			for i := range runs {
				results[i] = runs[i][policy]
			}
			result.Detection = append(result.Detection, detectionRow(service.Name, fault, policy, results))
		}
	}
	return nil
}

func measureHealthy(ctx context.Context, settings *Settings, service *ServiceSettings, result *Result) error {
	for _, kind := range healthyCases {
		days := settings.HealthyServerDays
		if kind != caseNoise {
			days *= otherCasesFraction
		}
		length := time.Duration(days * 24 * float64(time.Hour) / float64(service.Servers))
		count := int((length + maxHealthyRunLength - 1) / maxHealthyRunLength)
		runs := make([]healthyResult, count)
		err := runParallel(ctx, settings.Workers, count, func(run int) {
			part := length / time.Duration(count)
			runs[run] = runHealthy(settings, service, kind, part, settings.Seed+uint64(run))
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
			err := runParallel(ctx, settings.Workers, settings.LoadSeeds, func(run int) {
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
		return errors.Wrap(err, "encode results")
	}
	err = os.WriteFile(path, append(data, '\n'), outputFileMode)
	return errors.Wrapf(err, "write %s; set json_file to a writable path", path)
}
