package fleetlab

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

const (
	// minRecoveredShare is the minimum fraction of requests that have to be served once the recovery time is over.
	minRecoveredShare = 0.95
	// soakReadTimeout bounds the time in which the report reads the recovery times and the configuration from the
	// agents.
	soakReadTimeout = 20 * time.Second
	// maxRecoveryBytes bounds an agent's response about its recovery.
	maxRecoveryBytes = 64 << 10
)

// numberedEvent matches log lines with an event number.
var numberedEvent = regexp.MustCompile(`^[IWEF]\d{4} .*\] (".*" err=|)"E\d{3} `)

// SoakReport is the result of a soak test.
type SoakReport struct {
	*Report
	Closing       SoakClosing       `json:"closing"`
	AfterRecovery int               `json:"asked_after_recovery"`  // number of requests after the recovery time
	ServedAfter   int               `json:"served_after_recovery"` // number of those that were served
	Recovery      []RecoveryMoments `json:"recovery"`              // one entry for each step
	Levels        [3]Level          `json:"levels"`                // maximum resource usage in each third of the series
}

// RecoveryMoments are the times when the first and the last agent reached a step of the recovery, measured from the
// restart of the last core machine.
type RecoveryMoments struct {
	Step  string        `json:"step"`
	First time.Duration `json:"first_ns"`
	Last  time.Duration `json:"last_ns"`
	Never int           `json:"never"` // number of agents that did not reach the step
}

// recoverySteps lists the steps of the recovery in their order, with the names that agents report.
var recoverySteps = []string{"view", "core", "config", "synced", "servers", "served"}

// report checks the fleet after its recovery and summarizes the soak.
func (s *soak) report(ctx context.Context, outcomes *outcomeLog) *SoakReport {
	ctx, cancel := context.WithTimeout(ctx, soakReadTimeout)
	defer cancel()
	result := &SoakReport{Closing: s.plan.Closing}
	result.Recovery = s.recoveryMoments(ctx)
	s.checkSteps(result)
	s.fleet.ReadBack(ctx)
	s.checkRecovery(result, outcomes)
	s.checkLogs()
	s.checkLevels(result)
	result.Report = s.fleet.report(outcomes)
	s.mu.Lock()
	defer s.mu.Unlock()
	result.Fault = "soak"
	result.Violations = append(result.Violations, s.violations...)
	return result
}

// checkRecovery checks that requests are served that clients send after the recovery time (RECOVER).
func (s *soak) checkRecovery(result *SoakReport, outcomes *outcomeLog) {
	from := slices.Max(s.startedAt) + s.fleet.cfg.Bounds.Recovery
	outcomes.mu.Lock()
	defer outcomes.mu.Unlock()
	for i := range outcomes.outcomes {
		outcome := &outcomes.outcomes[i]
		if outcome.StartedAt < from {
			continue
		}
		result.AfterRecovery++
		if outcome.Verdict <= Late {
			result.ServedAfter++
		}
	}
	if float64(result.ServedAfter) < minRecoveredShare*float64(result.AfterRecovery) || result.AfterRecovery == 0 {
		s.violate("RECOVER", "%d of %d requests were served that were sent later than %v after the restart of the last machine", result.ServedAfter,
			result.AfterRecovery, s.fleet.cfg.Bounds.Recovery)
	}
}

// checkSteps checks that every agent reached every step of its recovery in time (RECOVER), except the first served
// request, whose time depends on the clients.
func (s *soak) checkSteps(result *SoakReport) {
	limit := slices.Max(s.startedAt) - slices.Max(s.startedAt[:s.fleet.cfg.Core]) + s.fleet.cfg.Bounds.Recovery
	for _, moments := range result.Recovery {
		if moments.Step == "served" {
			continue
		}
		if moments.Never > 0 {
			s.violate("RECOVER", "%d agents did not reach the step %q", moments.Never, moments.Step)
		}
		if moments.Last > limit {
			s.violate("RECOVER", "the last agent reached the step %q after %v, later than %v", moments.Step, moments.Last, limit)
		}
	}
}

// checkLevels checks that the resource usage of the processes does not keep growing (LEVEL).
func (s *soak) checkLevels(result *SoakReport) {
	result.Levels = s.levels.thirds
	if growth := s.levels.growth(); growth != "" && s.plan.ClosingAt >= minLevelSeries {
		s.violate("LEVEL", "%s between the second and the last third of the series", growth)
	}
}

// checkLogs checks that every log line of the agents has an event number (LOG).
func (s *soak) checkLogs() {
	for _, agent := range s.fleet.Agents {
		file, err := os.Open(agent.logPath())
		if err != nil {
			s.violate("LOG", "%s: %v", agent.Name, err)
			continue
		}
		lines := bufio.NewScanner(file)
		for lines.Scan() {
			if !numberedEvent.Match(lines.Bytes()) {
				s.violate("LOG", "%s logged a line without an event: %s", agent.Name, lines.Text())
				break
			}
		}
		_ = file.Close() // no error matters: the file was only read
	}
}

// recoveryMoments reads from all agents when they reached the steps of their recovery.
func (s *soak) recoveryMoments(ctx context.Context) []RecoveryMoments {
	coreBack := slices.Max(s.startedAt[:s.fleet.cfg.Core])
	moments := make([]RecoveryMoments, len(recoverySteps))
	for i, step := range recoverySteps {
		moments[i] = RecoveryMoments{Step: step, First: time.Hour}
	}
	for i, agent := range s.fleet.Agents {
		if s.startedAt[i] == 0 {
			continue // it survived the closing
		}
		steps, err := s.recoveryOf(ctx, agent)
		if err != nil {
			s.violate("FAULT", "%s: cannot read its recovery times: %v", agent.Name, err)
			continue
		}
		for k := range moments {
			after, reached := steps[moments[k].Step+"-ms"]
			if !reached || after < 0 {
				moments[k].Never++
				continue
			}
			at := s.startedAt[i] + time.Duration(after)*time.Millisecond - coreBack
			moments[k].First, moments[k].Last = min(moments[k].First, at), max(moments[k].Last, at)
		}
	}
	return moments
}

// recoveryOf reads an agent's recovery times, in milliseconds since its start by the name of the step with the suffix
// "-ms".
func (s *soak) recoveryOf(ctx context.Context, agent *Agent) (map[string]int64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+agent.ControlAddr()+"/chalkdoor/ops/recovery", nil)
	if err != nil {
		return nil, errors.Wrap(err, "recovery")
	}
	response, err := s.fleet.Operator.client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "recovery")
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxRecoveryBytes))
	if err != nil {
		return nil, errors.Wrap(err, "recovery")
	}
	steps := map[string]int64{}
	if err := json.Unmarshal(text, &steps); err != nil {
		return nil, errors.Wrap(err, "recovery")
	}
	return steps, nil
}

// Line returns a summary in one line.
func (r *SoakReport) Line() string {
	text := fmt.Sprintf("seed %d %s: served %d of %d, after recovery %d of %d", r.Seed, r.Closing, r.Served, r.Requests, r.ServedAfter, r.AfterRecovery)
	for _, step := range r.Recovery {
		text += fmt.Sprintf("; %s %.2f-%.2f s", step.Step, step.First.Seconds(), step.Last.Seconds())
		if step.Never > 0 {
			text += fmt.Sprintf(" (%d never)", step.Never)
		}
	}
	for _, level := range r.Levels {
		text += fmt.Sprintf("; %.1f MB, %d descriptors, %d threads", float64(level.Memory)/(1<<20), level.Descriptors, level.Threads)
	}
	return text + fmt.Sprintf("; %d violations", len(r.Violations))
}
