package agent

import (
	"math"
	"slices"
	"strconv"
	"strings"
)

// parseLoadReport returns the values of a load report ("qps=3,util=0.5") in the order of the given metrics, or
// nil if there is no valid report. A valid report has each of the metrics once, with a finite value of at least
// 0. If there are several header fields, the first valid one counts.
func parseLoadReport(fields, metrics []string) []float32 {
	if len(metrics) == 0 {
		return nil
	}
	for _, field := range fields {
		if values, ok := parseLoadField(field, metrics); ok {
			return values
		}
	}
	return nil
}

func parseLoadField(field string, metrics []string) (values []float32, ok bool) {
	values = make([]float32, len(metrics))
	seen := 0 // a bit for each metric
	for pair := range strings.SplitSeq(field, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(pair), "=")
		for i, metric := range metrics {
			if name != metric {
				continue
			}
			value, err := strconv.ParseFloat(text, 32)
			if err != nil || !(value >= 0) || math.IsInf(value, 1) || seen&(1<<i) != 0 {
				return nil, false
			}
			values[i] = float32(value)
			seen |= 1 << i
		}
	}
	return values, seen == 1<<len(metrics)-1
}

// reportedUtilization returns the utilization in a load report, or a negative number if the report has none.
func (l *eventLoop) reportedUtilization(report []float32) float64 {
	if i := slices.Index(l.config.Settings.LoadReport.Metrics, "util"); i >= 0 && i < len(report) {
		return float64(report[i])
	}
	return -1
}
