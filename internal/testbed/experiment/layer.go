package experiment

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"chalkdoor.example/chalkdoor/internal/agent/coordination"
	"chalkdoor.example/chalkdoor/internal/agent/ejection"
	"chalkdoor.example/chalkdoor/internal/agent/membership"
	"chalkdoor.example/chalkdoor/internal/agent/metrics"
	"chalkdoor.example/chalkdoor/internal/agent/opsconfig"
	"chalkdoor.example/chalkdoor/internal/agent/outlier"
	"chalkdoor.example/chalkdoor/internal/testbed/faultyvoter"
	"chalkdoor.example/chalkdoor/internal/testbed/mesh"
	"chalkdoor.example/chalkdoor/internal/testbed/referee"
	"chalkdoor.example/chalkdoor/internal/testbed/report"
)

const (
	// peersPort, councilPort and metricsPort are the ports that each agent listens on, at its own
	// address, for other agents, for council members and for scrapes.
	peersPort, councilPort, metricsPort = 7946, 7947, 9100
	// councilSize is the number of agents in the council.
	councilSize = 3
	// seedCount is the number of agents of the fleet, and of an agent's own zone, that it discovers others
	// through.
	seedCount = 3
	// fleetName is the name of every testbed fleet.
	fleetName = "laboratory"
)

// createMesh creates the network between agents, with a relay in front of each agent and of each council
// member.
func (w *world) createMesh() error {
	w.mesh = mesh.New(w.seed)
	for _, a := range w.agents {
		own := net.JoinHostPort(w.net.agentIP(a.index).String(), strconv.Itoa(peersPort))
		var err error
		if a.peers, err = w.mesh.Join(a.name, own, w.net.relayIP(a.index)); err != nil {
			return err
		}
	}
	if w.fleet.Council {
		for _, a := range w.agents[:min(councilSize, len(w.agents))] { // agents are assigned to zones round-robin
			own := net.JoinHostPort(w.net.agentIP(a.index).String(), strconv.Itoa(councilPort))
			var err error
			if a.council, err = w.mesh.Join(a.name, own, w.net.relayIP(a.index)); err != nil {
				return err
			}
		}
	}
	w.updateMesh()
	return nil
}

// startFaultyVoters starts the faulty voters, in the first zone.
func (w *world) startFaultyVoters() error {
	var against []outlier.Host
	for _, s := range w.servers {
		if slices.Contains(w.sparedServers, s.ID()) {
			against = append(against, outlier.Host{ID: s.ID(), Incarnation: int64(s.target.StartedMs)})
		}
	}
	zone := w.fleet.Zones[0]
	for i := range w.fleet.FaultyVoters {
		name, at := fmt.Sprintf("liar-%d", i), len(w.agents)+i
		own := net.JoinHostPort(w.net.agentIP(at).String(), strconv.Itoa(peersPort))
		addr, err := w.mesh.Join(name, own, w.net.relayIP(at))
		if err != nil {
			return err
		}
		w.faultyVoters = append(w.faultyVoters, faultyvoter.Start(context.Background(),
			faultyvoter.Config{Against: against,
				Electorate: ejection.Electorate{Number: 1, Members: w.electorate(zone)},
				Peers: membership.Config{Fleet: fleetName, Name: name, Zone: zone, Role: "agent",
					Incarnation: uint64(1 + i), Bind: own, Advertise: addr,
					Seeds: []string{w.agents[0].peers}}}))
	}
	return nil
}

// updateMesh sets the delays and cuts between agents.
func (w *world) updateMesh() {
	zones := map[string]string{}
	for _, a := range w.agents {
		zones[a.name] = a.zone
	}
	for i := range w.fleet.FaultyVoters {
		zones[fmt.Sprintf("liar-%d", i)] = w.fleet.Zones[0]
	}
	near, far, cuts := time.Duration(w.fleet.Near), time.Duration(w.fleet.Far), slices.Clone(w.peerCuts)
	w.mesh.Set(func(from, to string) mesh.Quality {
		q := mesh.Quality{Delay: far}
		if zones[from] == zones[to] {
			q.Delay = near
		}
		for _, cut := range cuts {
			q.Cut = q.Cut || cut != nil && cut(from, to)
		}
		return q
	})
}

// cutPeers cuts paths between agents and returns a function that heals them. Without coordination there
// are no such paths, and heal is nil.
func (w *world) cutPeers(which func(from, to string) bool) (heal func() error, err error) {
	if w.mesh == nil {
		return nil, nil
	}
	w.peerCuts = append(w.peerCuts, which)
	at := len(w.peerCuts) - 1
	w.updateMesh()
	return func() error {
		w.peerCuts[at] = nil
		w.updateMesh()
		return nil
	}, nil
}

// electorate returns the names of a zone's agents and faulty voters.
func (w *world) electorate(zone string) (names []string) {
	for _, a := range w.agents {
		if a.zone == zone {
			names = append(names, a.name)
		}
	}
	for i := range w.fleet.FaultyVoters {
		if zone == w.fleet.Zones[0] {
			names = append(names, fmt.Sprintf("liar-%d", i))
		}
	}
	return names
}

// faultyVotersOf returns the number of a zone's faulty voters.
func (w *world) faultyVotersOf(zone string) int {
	if zone == w.fleet.Zones[0] {
		return w.fleet.FaultyVoters
	}
	return 0
}

// voteConfig returns the default voting settings with the fleet's overrides.
func (f *Fleet) voteConfig() opsconfig.Vote {
	v := opsconfig.Default().Vote
	override(&v.Cap, f.Vote.Cap)
	for _, x := range []struct {
		to *opsconfig.Duration
		v  Duration
	}{{&v.Lease, f.Vote.Lease}, {&v.Longest, f.Vote.Longest}, {&v.Age, f.Vote.Age}, {&v.Step, f.Vote.Step},
		{&v.Trial, f.Vote.Trial}} {
		override(x.to, opsconfig.Duration(x.v))
	}
	return v
}

// writeOperationsFile writes an agent's operations file and returns the arguments for its process. An agent that
// needs no such settings gets no file and no arguments.
func (w *world) writeOperationsFile(a *agent) (args []string, err error) {
	var text strings.Builder
	table := func(name string, keys map[string]any) {
		if err == nil {
			fmt.Fprintf(&text, "[%s]\n", name)
			err = toml.NewEncoder(&text).Encode(keys)
		}
	}
	ip := w.net.agentIP(a.index).String()
	if w.fleet.State {
		table("state", map[string]any{"dir": filepath.Join(w.dir, a.name+".state"), "every": "500ms"})
	}
	if w.metricsEnabled {
		table("metrics", map[string]any{"address": net.JoinHostPort(ip, strconv.Itoa(metricsPort))})
	}
	if w.mesh != nil {
		v := w.fleet.voteConfig()
		seeds := w.seedsOf(a)
		table("fleet", map[string]any{"name": fleetName, "bind": net.JoinHostPort(ip, strconv.Itoa(peersPort)),
			"advertise": a.peers,
			"seeds":     seeds, "trace": w.tracePath(a)})
		table("vote", map[string]any{"electorate": w.electorate(a.zone), "cap": v.Cap,
			"lease":   time.Duration(v.Lease).String(),
			"longest": time.Duration(v.Longest).String(), "age": time.Duration(v.Age).String(),
			"step":  time.Duration(v.Step).String(),
			"trial": time.Duration(v.Trial).String()})
	}
	if w.mesh != nil && w.fleet.Council {
		var all []string
		for _, o := range w.agents {
			if o.council != "" {
				all = append(all, o.name+"="+o.council)
			}
		}
		keys := map[string]any{"voters": all}
		if a.council != "" {
			keys["bind"], keys["dir"] = net.JoinHostPort(ip, strconv.Itoa(councilPort)),
				filepath.Join(w.dir, a.name+".council")
		}
		table("council", keys)
	}
	if err != nil || text.Len() == 0 {
		return nil, err
	}
	path := filepath.Join(w.dir, a.name+".toml")
	if err := os.WriteFile(path, []byte(text.String()), 0o644); err != nil {
		return nil, fmt.Errorf("experiment: operations file: %w", err)
	}
	return []string{"agent", "--ops", path}, nil
}

// seedsOf returns the addresses of the agents that an agent discovers others through: the first agents
// of the fleet, and the first ones of its own site, which it can reach while the site's uplink is lost.
func (w *world) seedsOf(a *agent) (addrs []string) {
	remaining := seedCount
	for i, o := range w.agents {
		if own := o.zone == a.zone && remaining > 0; own || i < seedCount {
			addrs = append(addrs, o.peers)
			if own {
				remaining--
			}
		}
	}
	return addrs
}

// zoneOf returns the zone of an agent; "" if there is no such agent.
func (w *world) zoneOf(name string) string {
	i := slices.IndexFunc(w.agents, func(a *agent) bool { return a.name == name })
	if i < 0 {
		return ""
	}
	return w.agents[i].zone
}

// councilFigures computes the figures of the council's decisions from the agents' traces:
//   - decisions: the number of decisions that any agent received
//   - zone_moves: how often the number of zones with a reduced share changed at one agent, the maximum over
//     all agents
//   - zones_age_ms: the maximum age of a decision when an agent received it
//   - left_ms: the time from the first fault until all agents of a site had received a decision by which
//     a zone gets no share
func councilFigures(lines []coordination.TraceLine, w *world, fig map[string]float64) {
	began := w.log.Began().UnixMilli()
	lastCount, moves := map[string]int{}, map[string]float64{}
	decided, reached := map[uint64]bool{}, map[string]map[string]bool{}
	for _, l := range lines {
		if l.Kind != "zones" {
			continue
		}
		decided[l.Electorate] = true
		if l.Failures != lastCount[l.Agent] {
			moves[l.Agent]++
			fig["zone_moves"] = max(fig["zone_moves"], moves[l.Agent])
		}
		lastCount[l.Agent] = l.Failures
		fig["zones_age_ms"] = max(fig["zones_age_ms"], float64(l.RemainingMs))
		if l.Attempts == 0 {
			continue
		}
		zone := w.zoneOf(l.Agent)
		if reached[zone] == nil {
			reached[zone] = map[string]bool{}
		}
		if reached[zone][l.Agent] = true; len(reached[zone]) >= len(w.electorate(zone)) && fig["left_ms"] == 0 &&
			w.firstFault > 0 {
			fig["left_ms"] = float64(l.AtMs-began) - float64(w.firstFault.Milliseconds())
		}
	}
	fig["decisions"] = float64(len(decided))
}

// tracePath returns the path of an agent's trace.
func (w *world) tracePath(a *agent) string { return filepath.Join(w.dir, a.name+".trace") }

// scrape reads the agents' metrics and adds up their failed attempts, in total and by outcome.
func (w *world) scrape(fig map[string]float64) error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for _, a := range w.agents {
		url := "http://" + net.JoinHostPort(w.net.agentIP(a.index).String(), strconv.Itoa(metricsPort)) + metrics.Path
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return fmt.Errorf("experiment: metrics: %w", err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return fmt.Errorf("experiment: metrics of %s: %w", a.name, err)
		}
		parser := expfmt.NewTextParser(model.LegacyValidation)
		families, err := parser.TextToMetricFamilies(resp.Body)
		resp.Body.Close()
		if err != nil {
			return fmt.Errorf("experiment: metrics of %s: %w", a.name, err)
		}
		for _, m := range families["chalkdoor_attempts_total"].GetMetric() {
			i := slices.IndexFunc(m.GetLabel(), func(l *dto.LabelPair) bool {
				return l.GetName() == "outcome" &&
					slices.Contains([]string{"error", "timeout", "connect_failed", "reset"}, l.GetValue())
			})
			if i >= 0 {
				fig["failed_attempts"] += m.GetCounter().GetValue()
				fig["failed_attempts, "+m.GetLabel()[i].GetValue()] += m.GetCounter().GetValue()
			}
		}
	}
	return nil
}

// readTraces returns the lines of all agents' traces in order of time.
func (w *world) readTraces() (lines []coordination.TraceLine, err error) {
	for _, a := range w.agents {
		f, err := os.Open(w.tracePath(a))
		if err != nil {
			return nil, fmt.Errorf("experiment: trace: %w", err)
		}
		scan := bufio.NewScanner(f)
		for scan.Scan() {
			var l coordination.TraceLine
			if err := json.Unmarshal(scan.Bytes(), &l); err != nil {
				f.Close()
				return nil, fmt.Errorf("experiment: trace of %s: %w", a.name, err)
			}
			lines = append(lines, l)
		}
		f.Close()
		if err := scan.Err(); err != nil {
			return nil, fmt.Errorf("experiment: trace of %s: %w", a.name, err)
		}
	}
	slices.SortStableFunc(lines, func(a, b coordination.TraceLine) int { return cmp.Compare(a.AtMs, b.AtMs) })
	return lines, nil
}

// checkVotes checks the traces against the invariants of votes and of uplinks, and computes figures from them.
func (p *play) checkVotes(w *world, r *report.Report, fig map[string]float64) error {
	lines, err := w.readTraces()
	if err != nil {
		return err
	}
	v := p.fleet.voteConfig()
	electorate := referee.Electorate{Zone: map[string]string{}, Members: map[string][]string{}, Cap: v.Cap,
		Weight: map[string]float64{}, HostZone: map[string]string{}}
	for _, a := range w.agents {
		electorate.Zone[a.name] = a.zone
		electorate.Members[a.zone] = w.electorate(a.zone)
	}
	for i := range w.fleet.FaultyVoters {
		electorate.FaultyVoters = append(electorate.FaultyVoters, fmt.Sprintf("liar-%d", i))
	}
	for _, s := range w.servers {
		electorate.Weight[s.ID()], electorate.HostZone[s.ID()] = s.target.Weight, s.Zone()
	}
	var steps []referee.VoteStep
	for _, l := range lines {
		at := time.Duration(l.AtMs)*time.Millisecond - time.Duration(w.log.Began().UnixMilli())*time.Millisecond
		steps = append(steps, referee.VoteStep{At: at, Agent: l.Agent, AgentIncarnation: l.AgentIncarnation,
			Kind: l.Kind, Host: l.Host, Incarnation: l.Incarnation,
			Electorate: l.Electorate, Failures: l.Failures, Granters: l.Granters,
			ValidFor: time.Duration(l.RemainingMs) * time.Millisecond})
	}
	r.Violations = append(r.Violations, referee.CheckVotes(steps, electorate)...)
	broken, meanTimes := referee.CheckSites(steps, electorate.Zone, w.uplinkLosses)
	r.Violations = append(r.Violations, broken...)
	for name, d := range meanTimes {
		fig[name] = float64(d) / float64(time.Millisecond)
	}
	darkProcesses := map[string]bool{} // agent processes that lost their uplink
	councilFigures(lines, w, fig)
	for _, s := range steps {
		if s.Kind == "dark" {
			darkProcesses[fmt.Sprint(s.Agent, s.AgentIncarnation)] = true
		}
	}
	fig["dark agents"] = float64(len(darkProcesses))
	complete, totalMs := 0, 0.0          // ejections by all agents of a zone, and their summed times
	seen := map[string]map[string]bool{} // agents that ejected a host, by zone and host
	for _, s := range steps {
		if s.Kind != "eject" {
			continue
		}
		fig["ejections"]++
		if slices.Contains(w.sparedServers, s.Host) {
			fig["wrong_ejections"]++
		}
		key := electorate.Zone[s.Agent] + " " + s.Host
		if seen[key] == nil {
			seen[key] = map[string]bool{}
		}
		if seen[key][s.Agent] {
			continue
		}
		if seen[key][s.Agent] = true; len(seen[key]) ==
			len(electorate.Members[electorate.Zone[s.Agent]])-w.faultyVotersOf(electorate.Zone[s.Agent]) {
			if began, ok := w.firstFaultAt[s.Host]; ok && s.At > began {
				complete++
				totalMs += (s.At - began).Seconds() * 1000
			}
		}
	}
	if complete > 0 {
		fig["eject_ms"] = totalMs / float64(complete)
	}
	bytes := int64(0)
	for _, a := range w.agents {
		bytes += w.mesh.Stats(a.name).Bytes
	}
	fig["peer_bytes_s"] = float64(bytes) / float64(len(w.agents)) / max((w.log.Now()-w.loadStart).Seconds(), 1)
	return nil
}
