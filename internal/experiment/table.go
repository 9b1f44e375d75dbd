package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// printTables prints the results to out as aligned tables.
func printTables(out io.Writer, result *Result) error {
	writer := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printLine := func(format string, values ...any) {
		_, _ = fmt.Fprintf(writer, format+"\n", values...)
	}
	printLine("Experiment %s, seed %d, %d seeds", result.Name, result.Seed, result.Seeds)
	printLine("\nDetection\t\t\t\trequests until detection\t\t\tseconds until detection")
	printLine("service\tfault\tpolicy\tdetected\tp50\tp95\tmax\tp50\tp95\tmax")
	for _, row := range result.Detection {
		printLine("%s\t%s\t%s\t%d/%d\t%.0f\t%.0f\t%.0f\t%.2f\t%.2f\t%.2f", row.Service, row.Fault, row.Policy, row.Detected, row.Runs,
			row.RequestsP50, row.RequestsP95, row.RequestsMax, row.SecondsP50, row.SecondsP95, row.SecondsMax)
	}
	printLine("\nHealthy servers")
	printLine("service\tcase\tpolicy\tserver-days\tejections\tper server-day")
	for _, row := range result.Healthy {
		printLine("%s\t%s\t%s\t%.1f\t%d\t%.4f", row.Service, row.Case, row.Policy, row.ServerDays, row.Ejections, row.PerServerDay)
	}
	printLine("\nLoad\t\t\t\taccounts within their rate (requests and amplification: all accounts)")
	printLine("service\tcase\tpolicy\trequests\tmin served %%\tmax p99 ms\tp50 ms\tp99 ms\twrongful refusals %%\tamplification")
	for _, row := range result.Load {
		printLine("%s\t%s\t%s\t%d\t%.2f\t%.1f\t%.1f\t%.1f\t%.3f\t%.4f", row.Service, row.Case, row.Policy, row.Requests, row.MinServedPercent,
			row.MaxP99Millis, row.P50Millis, row.P99Millis, row.WrongfulRefusalsPercent, row.Amplification)
	}
	printLine("\nTargets")
	printLine("service\ttarget\tlimit\tmeasured\t")
	for _, row := range result.Targets {
		verdict := "met"
		if !row.Met {
			verdict = "MISSED"
		}
		printLine("%s\t%s\t%g\t%.4g\t%s", row.Service, row.Target, row.Limit, row.Measured, verdict)
	}
	return writer.Flush()
}
