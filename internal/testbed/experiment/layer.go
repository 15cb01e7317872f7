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
	// peersPort and metricsPort are where agents listen for each other and for scrapes, each on
	// its own address.
	peersPort, councilPort, metricsPort = 7946, 7947, 9100
	// voters is how many agents the council has.
	voters = 3
	// seeds is how many agents others are found through.
	seeds = 3
	// fleetName is the laboratory's.
	fleetName = "laboratory"
)

// joinMesh puts a relay before each agent.
func (w *world) joinMesh() error {
	w.mesh = mesh.New(w.seed)
	for _, a := range w.agents {
		own := net.JoinHostPort(w.net.agent(a.index).String(), strconv.Itoa(peersPort))
		var err error
		if a.peers, err = w.mesh.Join(a.name, own, w.net.relay(a.index)); err != nil {
			return err
		}
	}
	if w.fleet.Council {
		for _, a := range w.agents[:min(voters, len(w.agents))] { // agents take turns by zone
			own := net.JoinHostPort(w.net.agent(a.index).String(), strconv.Itoa(councilPort))
			var err error
			if a.council, err = w.mesh.Join(a.name, own, w.net.relay(a.index)); err != nil {
				return err
			}
		}
	}
	w.setMesh()
	return nil
}

// lie starts the liars.
func (w *world) lie() error {
	var against []outlier.Host
	for _, s := range w.servers {
		if slices.Contains(w.spared, s.ID()) {
			against = append(against, outlier.Host{ID: s.ID(), Incarnation: int64(s.target.StartedMs)})
		}
	}
	zone := w.fleet.Zones[0]
	for i := range w.fleet.Liars {
		name, at := fmt.Sprintf("liar-%d", i), len(w.agents)+i
		own := net.JoinHostPort(w.net.agent(at).String(), strconv.Itoa(peersPort))
		addr, err := w.mesh.Join(name, own, w.net.relay(at))
		if err != nil {
			return err
		}
		w.liars = append(w.liars, faultyvoter.Start(context.Background(), faultyvoter.Config{Against: against, Roll: ejection.Electorate{Number: 1, Members: w.electorate(zone)},
			Peers: membership.Config{Fleet: fleetName, Name: name, Zone: zone, Role: "agent", Incarnation: uint64(1 + i), Bind: own, Advertise: addr,
				Seeds: []string{w.agents[0].peers}}}))
	}
	return nil
}

// setMesh sets the ways between agents as distance and cuts say.
func (w *world) setMesh() {
	zones := map[string]string{}
	for _, a := range w.agents {
		zones[a.name] = a.zone
	}
	for i := range w.fleet.Liars {
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

// cutPeers cuts ways between agents and returns what heals them. Agents that act alone have
// none.
func (w *world) cutPeers(which func(from, to string) bool) (heal func() error, err error) {
	if w.mesh == nil {
		return nil, nil
	}
	w.peerCuts = append(w.peerCuts, which)
	at := len(w.peerCuts) - 1
	w.setMesh()
	return func() error {
		w.peerCuts[at] = nil
		w.setMesh()
		return nil
	}, nil
}

// electorate is the agents of a zone.
func (w *world) electorate(zone string) (names []string) {
	for _, a := range w.agents {
		if a.zone == zone {
			names = append(names, a.name)
		}
	}
	for i := range w.fleet.Liars {
		if zone == w.fleet.Zones[0] {
			names = append(names, fmt.Sprintf("liar-%d", i))
		}
	}
	return names
}

func (w *world) liarsOf(zone string) int {
	if zone == w.fleet.Zones[0] {
		return w.fleet.Liars
	}
	return 0
}

// vote is how they vote.
func (f *Fleet) vote() opsconfig.Vote {
	v := opsconfig.Default().Vote
	or(&v.Cap, f.Vote.Cap)
	for _, x := range []struct {
		to *opsconfig.Duration
		v  Duration
	}{{&v.Lease, f.Vote.Lease}, {&v.Longest, f.Vote.Longest}, {&v.Age, f.Vote.Age}, {&v.Step, f.Vote.Step}, {&v.Trial, f.Vote.Trial}} {
		or(x.to, opsconfig.Duration(x.v))
	}
	return v
}

// operations writes an agent's operations file, where it is to have one, and returns the
// program's arguments.
func (w *world) operations(a *agent) (args []string, err error) {
	var text strings.Builder
	table := func(name string, keys map[string]any) {
		if err == nil {
			fmt.Fprintf(&text, "[%s]\n", name)
			err = toml.NewEncoder(&text).Encode(keys)
		}
	}
	ip := w.net.agent(a.index).String()
	if w.fleet.State {
		table("state", map[string]any{"dir": filepath.Join(w.dir, a.name+".state"), "every": "500ms"})
	}
	if w.scraped {
		table("metrics", map[string]any{"address": net.JoinHostPort(ip, strconv.Itoa(metricsPort))})
	}
	if w.mesh != nil {
		v := w.fleet.vote()
		first := w.seedsOf(a)
		table("fleet", map[string]any{"name": fleetName, "bind": net.JoinHostPort(ip, strconv.Itoa(peersPort)), "advertise": a.peers,
			"seeds": first, "trace": w.tracePath(a)})
		table("vote", map[string]any{"electorate": w.electorate(a.zone), "cap": v.Cap, "lease": time.Duration(v.Lease).String(),
			"longest": time.Duration(v.Longest).String(), "age": time.Duration(v.Age).String(), "step": time.Duration(v.Step).String(),
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
			keys["bind"], keys["dir"] = net.JoinHostPort(ip, strconv.Itoa(councilPort)), filepath.Join(w.dir, a.name+".council")
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

// seedsOf are the agents that an agent finds others through: the first of the fleet, and the
// first of its site, which it must find while its uplink is lost.
func (w *world) seedsOf(a *agent) (addrs []string) {
	left := seeds
	for i, o := range w.agents {
		if own := o.zone == a.zone && left > 0; own || i < seeds {
			addrs = append(addrs, o.peers)
			if own {
				left--
			}
		}
	}
	return addrs
}

// zoneOf is the zone of an agent.
func (w *world) zoneOf(name string) string {
	i := slices.IndexFunc(w.agents, func(a *agent) bool { return a.name == name })
	if i < 0 {
		return ""
	}
	return w.agents[i].zone
}

// zonesFigures counts what agents heard of the council: its decisions, how often one site's zones
// got or lost their whole share by them (the most over all agents), how old they were when
// they came, at the most, and when all agents of a site had heard of one by which a zone is left,
// since the first fault.
func zonesFigures(lines []coordination.TraceLine, w *world, fig map[string]float64) {
	began := w.log.Began().UnixMilli()
	short, moves := map[string]int{}, map[string]float64{}
	decided, reached := map[uint64]bool{}, map[string]map[string]bool{}
	for _, l := range lines {
		if l.Kind != "zones" {
			continue
		}
		decided[l.Electorate] = true
		if l.Failures != short[l.Agent] {
			moves[l.Agent]++
			fig["zone_moves"] = max(fig["zone_moves"], moves[l.Agent])
		}
		short[l.Agent] = l.Failures
		fig["zones_age_ms"] = max(fig["zones_age_ms"], float64(l.RemainingMs))
		if l.Attempts == 0 {
			continue
		}
		zone := w.zoneOf(l.Agent)
		if reached[zone] == nil {
			reached[zone] = map[string]bool{}
		}
		if reached[zone][l.Agent] = true; len(reached[zone]) >= len(w.electorate(zone)) && fig["left_ms"] == 0 && w.first > 0 {
			fig["left_ms"] = float64(l.AtMs-began) - float64(w.first.Milliseconds())
		}
	}
	fig["decisions"] = float64(len(decided))
}

func (w *world) tracePath(a *agent) string { return filepath.Join(w.dir, a.name+".trace") }

// scrape adds up what the agents count of themselves.
func (w *world) scrape(fig map[string]float64) error {
	ctx, cancel := context.WithTimeout(context.Background(), readyWithin)
	defer cancel()
	for _, a := range w.agents {
		url := "http://" + net.JoinHostPort(w.net.agent(a.index).String(), strconv.Itoa(metricsPort)) + metrics.Path
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
				return l.GetName() == "outcome" && slices.Contains([]string{"error", "timeout", "connect_failed", "reset"}, l.GetValue())
			})
			if i >= 0 {
				fig["failed_attempts"] += m.GetCounter().GetValue()
				fig["failed_attempts, "+m.GetLabel()[i].GetValue()] += m.GetCounter().GetValue()
			}
		}
	}
	return nil
}

// traces reads what all agents wrote of their votes, in the order of time.
func (w *world) traces() (lines []coordination.TraceLine, err error) {
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

// votes judges the traces by the layer's own invariants, and takes figures of them.
func (p *play) votes(w *world, r *report.Report, fig map[string]float64) error {
	lines, err := w.traces()
	if err != nil {
		return err
	}
	v := p.fleet.vote()
	e := referee.Electorate{Zone: map[string]string{}, Members: map[string][]string{}, Cap: v.Cap, Weight: map[string]float64{}, HostZone: map[string]string{}}
	for _, a := range w.agents {
		e.Zone[a.name] = a.zone
		e.Members[a.zone] = w.electorate(a.zone)
	}
	for i := range w.fleet.Liars {
		e.Liars = append(e.Liars, fmt.Sprintf("liar-%d", i))
	}
	for _, s := range w.servers {
		e.Weight[s.ID()], e.HostZone[s.ID()] = s.target.Weight, s.Zone()
	}
	var steps []referee.VoteStep
	for _, l := range lines {
		at := time.Duration(l.AtMs)*time.Millisecond - time.Duration(w.log.Began().UnixMilli())*time.Millisecond
		steps = append(steps, referee.VoteStep{At: at, Agent: l.Agent, Boot: l.AgentIncarnation, Kind: l.Kind, Host: l.Host, Incarnation: l.Incarnation,
			Roll: l.Electorate, Bad: l.Failures, Granters: l.Granters, Left: time.Duration(l.RemainingMs) * time.Millisecond})
	}
	r.Violations = append(r.Violations, referee.CheckVotes(steps, e)...)
	broken, site := referee.CheckSites(steps, e.Zone, w.losses)
	r.Violations = append(r.Violations, broken...)
	for name, d := range site {
		fig[name] = float64(d) / float64(time.Millisecond)
	}
	dark := map[string]bool{}
	zonesFigures(lines, w, fig)
	for _, s := range steps {
		if s.Kind == "dark" {
			dark[fmt.Sprint(s.Agent, s.Boot)] = true
		}
	}
	fig["dark agents"] = float64(len(dark))
	whole, took := 0, 0.0
	seen := map[string]map[string]bool{} // agents that saw an ejection, by zone and host
	for _, s := range steps {
		if s.Kind != "eject" {
			continue
		}
		fig["ejections"]++
		if slices.Contains(w.spared, s.Host) {
			fig["wrong_ejections"]++
		}
		key := e.Zone[s.Agent] + " " + s.Host
		if seen[key] == nil {
			seen[key] = map[string]bool{}
		}
		if seen[key][s.Agent] {
			continue
		}
		if seen[key][s.Agent] = true; len(seen[key]) == len(e.Members[e.Zone[s.Agent]])-w.liarsOf(e.Zone[s.Agent]) {
			if began, ok := w.fell[s.Host]; ok && s.At > began {
				whole++
				took += (s.At - began).Seconds() * 1000
			}
		}
	}
	if whole > 0 {
		fig["eject_ms"] = took / float64(whole)
	}
	bytes := int64(0)
	for _, a := range w.agents {
		bytes += w.mesh.Stats(a.name).Bytes
	}
	fig["peer_bytes_s"] = float64(bytes) / float64(len(w.agents)) / max((w.log.Now()-w.start).Seconds(), 1)
	return nil
}
