// Package opsconfig reads the operations file. It has the settings of one agent that an operator controls, in
// addition to the platform's configuration. Without such a file, an agent does all that the platform requires.
//
// The file is TOML. If it has an error, none of it is used. An unknown key, a value of the wrong type and a
// value out of range are errors. Each error names the file, the line if it is known, the key and what was
// expected. All errors other than those of the TOML decoder are reported together.
package opsconfig

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"chalkdoor.example/chalkdoor/internal/agent/consensus"
	"chalkdoor.example/chalkdoor/internal/agent/ejection"
	"chalkdoor.example/chalkdoor/internal/agent/stalerouting"
	"chalkdoor.example/chalkdoor/internal/agent/zonefailover"
)

// maxFile is the largest size of an operations file, in bytes.
const maxFile = 1 << 20

// File is the content of an operations file. The tag toml is a key's name, doc describes it, and restart is
// "yes" if a change has an effect only after a restart.
type File struct {
	Agent   Agent   `toml:"agent" doc:"Values for environment variables of the platform that are not set."`
	Log     Log     `toml:"log" doc:"The log, on standard error."`
	Metrics Metrics `toml:"metrics" doc:"Metrics in the Prometheus text format, off by default."`
	State   State   `toml:"state" doc:"What the agent has learned, stored on disk for its next run, off by default."`
	Fleet   Fleet   `toml:"fleet" doc:"Coordination with other agents, off by default."`
	Vote    Vote    `toml:"vote" doc:"Ejection of servers by vote of a site's agents; off without an electorate."`
	Council Council `toml:"council" doc:"Consensus group that decides for the whole fleet which zones are used; off without voters."`
	Site    Site    `toml:"site" doc:"How a site, the agents of vote.electorate, detects that its uplink is lost and continues without it."`
}

// Agent has values for environment variables. A variable that is set takes precedence.
type Agent struct {
	Config    string `toml:"config" restart:"yes" doc:"Path of the configuration that the platform writes (PROXY_CONFIG)."`
	Name      string `toml:"name" restart:"yes" doc:"Name of the agent (PROXY_NAME); empty: the one in the configuration."`
	Listen    string `toml:"listen" restart:"yes" doc:"host:port for clients (PROXY_LISTEN); empty: the one in the configuration."`
	Discovery string `toml:"discovery" restart:"yes" doc:"host:port of discovery (PROXY_DISCOVERY); empty: the one in the configuration."`
}

// Log configures the log.
type Log struct {
	Format string `toml:"format" doc:"\"text\" or \"json\"."`
	Level  string `toml:"level" doc:"The lowest level that is written: \"debug\", \"info\", \"warn\" or \"error\"."`
}

// Metrics configures whether and where metrics are served.
type Metrics struct {
	Address string `toml:"address" restart:"yes" doc:"host:port that serves GET /-/metrics; empty: no metrics are served."`
	Runtime bool   `toml:"runtime" restart:"yes" doc:"Whether metrics of the Go runtime and of the process are included."`
}

// State configures where and how often the agent saves what it has learned.
type State struct {
	Dir   string   `toml:"dir" restart:"yes" doc:"Directory that no other agent uses; empty: nothing is saved."`
	Every Duration `toml:"every" restart:"yes" doc:"Time between two saves, 100ms to 1h."`
}

// Fleet configures how the agents of a fleet find and reach each other.
type Fleet struct {
	Name      string   `toml:"name" restart:"yes" doc:"Name of the fleet; agents of other fleets are rejected. Empty: this agent acts alone."`
	Region    string   `toml:"region" restart:"yes" doc:"Region of this agent's zone."`
	Role      string   `toml:"role" restart:"yes" doc:"Role of this agent, which it announces to the other agents."`
	Bind      string   `toml:"bind" restart:"yes" doc:"address:port for messages of other agents, UDP and TCP. Messages to them are sent from this address."`
	Advertise string   `toml:"advertise" restart:"yes" doc:"address:port at which other agents reach this one; empty: the address in bind."`
	Seeds     []string `toml:"seeds" restart:"yes" doc:"address:port of some agents, through which the others are found."`
	Trace     string   `toml:"trace" restart:"yes" doc:"File to which the steps of votes are appended, a line of JSON each; empty: none. Its size is not limited; for tests only."`
}

// Vote configures how the agents of a site eject a server by vote.
type Vote struct {
	Electorate []string `toml:"electorate" restart:"yes" doc:"Names of all agents of this agent's site, with the same list at each of them; empty: no votes."`
	Roll       uint64   `toml:"roll" restart:"yes" doc:"Number of the electorate, to be incremented with each change of it. Votes with another number do not count."`
	Cap        float64  `toml:"cap" restart:"yes" doc:"Fraction of a zone's weight that may be ejected at once, at most 0.5."`
	Lease      Duration `toml:"lease" restart:"yes" doc:"Duration of a server's first ejection. Each further one within remember lasts twice as long as the one before, up to longest."`
	Longest    Duration `toml:"longest" restart:"yes" doc:"Longest duration of an ejection, and how long an agent does not vote after its start."`
	Remember   Duration `toml:"remember" restart:"yes" doc:"How long after an ejection a further one of the same server lasts longer."`
	Age        Duration `toml:"age" restart:"yes" doc:"Age up to which an agent's own evidence counts for its vote."`
	Step       Duration `toml:"step" restart:"yes" doc:"Duration of each step of a returning server's slow start: 0.1 of its share, 0.3, then all."`
	Trial      Duration `toml:"trial" restart:"yes" doc:"Shortest time between two trial requests of the site to an ejected server."`
}

// Council configures the consensus group that decides which zones the fleet uses.
type Council struct {
	Voters    []string `toml:"voters" restart:"yes" doc:"name=address:port of three or five agents, spread over sites, with the same list at all agents of the fleet; empty: no council."`
	Bind      string   `toml:"bind" restart:"yes" doc:"address:port for messages of other voters, TCP. Messages to them are sent from this address."`
	Dir       string   `toml:"dir" restart:"yes" doc:"Directory of a voter's log, which no other agent uses."`
	Heartbeat Duration `toml:"heartbeat" restart:"yes" doc:"How long a voter waits for its leader before it starts an election."`
	Bound     Duration `toml:"bound" restart:"yes" doc:"Age up to which the council's last decision is valid."`
	After     Duration `toml:"after" restart:"yes" doc:"How long a majority of the sites must see a zone unhealthy before it is ejected."`
	Hold      Duration `toml:"hold" restart:"yes" doc:"Duration of a zone's first ejection. Each further one lasts twice as long as the one before, up to hold_most."`
	HoldMost  Duration `toml:"hold_most" restart:"yes" doc:"Longest duration of a zone's ejection."`
	Step      Duration `toml:"step" restart:"yes" doc:"Shortest time between two steps of a returning zone's slow start: 0.1 of its share, 0.3, then all."`
	Target    float64  `toml:"target" restart:"yes" doc:"Fraction of its weight up to which a zone is used before traffic of its site goes to other zones; 0: each agent decides by itself."`
	Most      float64  `toml:"most" restart:"yes" doc:"Fraction of the fleet's weight that may be ejected at once for agents of other sites."`
}

// ConsensusConfig returns the configuration for package consensus, or nil if there are no voters. An error
// begins with the key within the section.
func (c *Council) ConsensusConfig(self string) (*consensus.Config, error) {
	if len(c.Voters) == 0 {
		return nil, nil
	}
	z := zonefailover.Defaults()
	z.UnhealthyFor, z.EjectionTime, z.MaxEjectionTime, z.SlowStartStep, z.MaxEjectedFraction =
		time.Duration(c.After), time.Duration(c.Hold), time.Duration(c.HoldMost), time.Duration(c.Step), c.Most
	z.TargetUtilization = c.Target
	out := &consensus.Config{
		Self: self, Bind: c.Bind, Dir: c.Dir, Zones: z, Heartbeat: time.Duration(c.Heartbeat),
	}
	for i, text := range c.Voters {
		v, err := consensus.ParseVoter(text)
		if err != nil {
			return nil, fmt.Errorf("voters[%d]: %w", i, err)
		}
		out.Voters = append(out.Voters, v)
	}
	if b := time.Duration(c.Bound); b < time.Second || b > time.Hour {
		return nil, fmt.Errorf("bound: must be 1s to 1h, is %v", b)
	}
	return out, out.Validate()
}

// Site configures when a site counts as isolated, that is cut off from everything outside.
type Site struct {
	Quiet Duration `toml:"quiet" restart:"yes" doc:"How long nothing must have been received from outside (discovery, agents and servers of other sites) before the site counts as isolated."`
	Beat  Duration `toml:"beat" restart:"yes" doc:"Time between two heartbeats to the other agents of the site, and between two pings to other sites."`
	Step  Duration `toml:"step" restart:"yes" doc:"Duration of each step in which traffic to other zones resumes when the uplink is back: 0.1 of their share, 0.3, then all."`
	Hold  Duration `toml:"hold" restart:"yes" doc:"How long the site stays isolated after a majority of its agents last agreed on it, while nothing is received from outside."`
}

// UplinkConfig returns the configuration for package stalerouting, without Self and Members.
func (s *Site) UplinkConfig() stalerouting.Config {
	return stalerouting.Config{
		IsolationTimeout: time.Duration(s.Quiet), HeartbeatInterval: time.Duration(s.Beat),
		SlowStartStep: time.Duration(s.Step), MaxIsolation: time.Duration(s.Hold),
	}
}

// Duration is a time.Duration that is written like "1.5s" in the file.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// GoString returns the duration as it is written in the file, with quotes.
func (d Duration) GoString() string { return strconv.Quote(time.Duration(d).String()) }

// Formats and Levels are the valid values of log.format and log.level.
var (
	Formats = []string{"text", "json"}
	Levels  = []string{"debug", "info", "warn", "error"}
)

// Default returns the settings of an empty file, which are the defaults of all keys.
func Default() File {
	v, s, z := ejection.Defaults(), stalerouting.Defaults(), zonefailover.Defaults()
	return File{
		Log:   Log{Format: "text", Level: "info"},
		State: State{Every: Duration(time.Second)},
		Fleet: Fleet{Role: "agent", Seeds: []string{}},
		Vote: Vote{
			Electorate: []string{}, Roll: 1, Cap: v.MaxEjectedFraction, Lease: Duration(v.Lease),
			Longest: Duration(v.MaxLease), Remember: Duration(v.EscalationWindow), Age: Duration(v.MaxEvidenceAge),
			Step: Duration(v.SlowStartStep), Trial: Duration(v.TrialInterval),
		},
		Council: Council{
			Voters: []string{}, Heartbeat: Duration(time.Second), Bound: Duration(15 * time.Second),
			After: Duration(z.UnhealthyFor), Hold: Duration(z.EjectionTime), HoldMost: Duration(z.MaxEjectionTime),
			Step: Duration(z.SlowStartStep), Most: z.MaxEjectedFraction, Target: z.TargetUtilization,
		},
		Site: Site{
			Quiet: Duration(s.IsolationTimeout), Beat: Duration(s.HeartbeatInterval), Step: Duration(s.SlowStartStep),
			Hold: Duration(s.MaxIsolation),
		},
	}
}

// EjectionConfig returns the configuration of one agent for package ejection.
func (v *Vote) EjectionConfig(self string) ejection.Config {
	return ejection.Config{
		Self: self, Electorate: ejection.Electorate{Number: v.Roll, Members: v.Electorate}, MaxEjectedFraction: v.Cap,
		Lease: time.Duration(v.Lease), MaxLease: time.Duration(v.Longest), EscalationWindow: time.Duration(v.Remember),
		MaxEvidenceAge: time.Duration(v.Age), SlowStartStep: time.Duration(v.Step),
		TrialInterval: time.Duration(v.Trial), EarlierPromisesFor: -1,
	}
}

// Error is one error in an operations file.
type Error struct {
	File string
	Line int    // 0 if not known
	Key  string // empty if the error concerns no key
	Text string // describes the error or what was expected
}

// Error returns the file, the line and the key if they are known, and the text.
func (e *Error) Error() string {
	at := e.File
	if e.Line > 0 {
		at += ":" + strconv.Itoa(e.Line)
	}
	if e.Key != "" {
		at += ": " + e.Key
	}
	return at + ": " + e.Text
}

// typeErrorPattern matches the library's error for a value of the wrong type, which has no fields for the line
// and the key.
var typeErrorPattern = regexp.MustCompile(`^toml: (?:line (\d+) )?\(last key "(.*?)"\): (.*)$`)

// Load reads and checks a file. If the content is invalid, the error is an Error or joins several of them.
func Load(path string) (File, error) {
	f, err := os.Open(path)
	if err != nil {
		return File{}, fmt.Errorf("operations file: %w", err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxFile+1))
	if err != nil {
		return File{}, fmt.Errorf("operations file: %w", err)
	}
	if len(text) > maxFile {
		return File{}, &Error{File: path, Text: fmt.Sprintf("larger than %d bytes", maxFile)}
	}
	return Parse(path, string(text))
}

// Parse decodes and checks the text of a file. Its name is only used in errors.
func Parse(name, text string) (File, error) {
	f := Default()
	meta, err := toml.Decode(text, &f)
	if err != nil {
		var parseErr toml.ParseError
		if errors.As(err, &parseErr) {
			return File{}, &Error{File: name, Line: parseErr.Position.Line, Key: parseErr.LastKey, Text: parseErr.Message}
		}
		e := &Error{File: name, Text: err.Error()}
		if m := typeErrorPattern.FindStringSubmatch(err.Error()); m != nil {
			e.Line, _ = strconv.Atoi(m[1]) // the pattern allows only digits
			e.Key, e.Text = m[2], m[3]
		}
		return File{}, e
	}
	var errs []error
	known := Keys()
	unknownKeys := meta.Undecoded()
	for i, key := range unknownKeys {
		if i+1 < len(unknownKeys) && strings.HasPrefix(unknownKeys[i+1].String(), key.String()+".") {
			continue // a table: its keys are reported instead
		}
		e := &Error{File: name, Key: key.String(), Text: "unknown key"}
		if suggestion := Nearest(key.String(), known); suggestion != "" {
			e.Text += fmt.Sprintf(", did you mean %s?", suggestion)
		}
		errs = append(errs, e)
	}
	for _, e := range f.validate() {
		e.File = name
		errs = append(errs, e)
	}
	if len(errs) > 0 {
		return File{}, errors.Join(errs...)
	}
	return f, nil
}

// problems collects the errors in a file.
type problems []*Error

func (p *problems) add(key, format string, args ...any) {
	*p = append(*p, &Error{Key: key, Text: fmt.Sprintf(format, args...)})
}

// addInSection adds an error whose text begins with the key within the section. A nil error is ignored.
func (p *problems) addInSection(section string, err error) {
	if err == nil {
		return
	}
	key, text, _ := strings.Cut(err.Error(), ": ")
	p.add(section+"."+key, "%s", text)
}

// requireOneOf adds an error unless the value is one of the given words.
func (p *problems) requireOneOf(key, value string, words []string) {
	if !slices.Contains(words, value) {
		p.add(key, "%q is not one of %s", value, strings.Join(words, ", "))
	}
}

// requireHostPort adds an error unless the value is empty or host:port. Port 0 is allowed for metrics only.
func (p *problems) requireHostPort(key, value string) {
	if value == "" {
		return
	}
	_, port, err := net.SplitHostPort(value)
	if n, portErr := strconv.ParseUint(port, 10, 16); err != nil || portErr != nil || key != "metrics.address" && n == 0 {
		p.add(key, "%q is not host:port", value)
	}
}

// validate returns all errors in the values of a file.
func (f *File) validate() []*Error {
	var errs problems
	errs.requireHostPort("agent.listen", f.Agent.Listen)
	errs.requireHostPort("agent.discovery", f.Agent.Discovery)
	errs.requireHostPort("metrics.address", f.Metrics.Address)
	if every := time.Duration(f.State.Every); every < 100*time.Millisecond || every > time.Hour {
		errs.add("state.every", "must be 100ms to 1h, is %v", every)
	}
	f.validateFleet(&errs)
	f.validateVote(&errs)
	_, err := f.Council.ConsensusConfig(f.Agent.Name)
	errs.addInSection("council", err)
	if len(f.Council.Voters) > 0 && len(f.Vote.Electorate) == 0 {
		errs.add("council.voters", "requires vote.electorate")
	}
	site := f.Site.UplinkConfig()
	site.Members = []string{site.Self}
	errs.addInSection("site", site.Validate())
	errs.requireOneOf("log.format", f.Log.Format, Formats)
	errs.requireOneOf("log.level", f.Log.Level, Levels)
	return errs
}

func (f *File) validateFleet(errs *problems) {
	for _, address := range append([]string{f.Fleet.Bind, f.Fleet.Advertise}, f.Fleet.Seeds...) {
		if _, err := netip.ParseAddrPort(address); err != nil && address != "" {
			errs.add(f.Fleet.keyOf(address), "%q is not address:port", address)
		}
	}
	if f.Fleet.Name == "" {
		return
	}
	if f.Fleet.Bind == "" {
		errs.add("fleet.bind", "required if fleet.name is set")
	}
	if len(f.Fleet.Seeds) == 0 {
		errs.add("fleet.seeds", "required if fleet.name is set")
	}
}

func (f *File) validateVote(errs *problems) {
	if len(f.Vote.Electorate) == 0 {
		return
	}
	if f.Fleet.Name == "" {
		errs.add("vote.electorate", "requires fleet.name")
	}
	self := f.Agent.Name
	if self == "" {
		self = f.Vote.Electorate[0]
	}
	if !slices.Contains(f.Vote.Electorate, self) {
		errs.add("vote.electorate", "%q, this agent, is not in it", self)
	}
	config := f.Vote.EjectionConfig(self)
	errs.addInSection("vote", config.Validate())
}

// keyOf returns the key that has an address as its value.
func (f *Fleet) keyOf(addr string) string {
	switch addr {
	case f.Bind:
		return "fleet.bind"
	case f.Advertise:
		return "fleet.advertise"
	}
	return "fleet.seeds"
}

// Getenv returns a function that looks up environment variables with getenv. If a variable is empty, the
// function returns its value in the file, if there is one.
func (f *File) Getenv(getenv func(string) string) func(string) string {
	values := map[string]string{"PROXY_CONFIG": f.Agent.Config, "PROXY_NAME": f.Agent.Name,
		"PROXY_LISTEN": f.Agent.Listen, "PROXY_DISCOVERY": f.Agent.Discovery}
	return func(name string) string {
		if v := getenv(name); v != "" {
			return v
		}
		return values[name]
	}
}

// Keys returns the names of all keys, in the order of the example file.
func Keys() (keys []string) {
	walk(reflect.ValueOf(File{}), func(key string, _ reflect.StructField, _ reflect.Value) {
		keys = append(keys, key)
	})
	return keys
}

// NeedRestart returns the names of the keys that differ and whose change has an effect only after a restart.
func NeedRestart(old, new *File) (keys []string) {
	oldValues := map[string]any{}
	walk(reflect.ValueOf(*old), func(key string, _ reflect.StructField, v reflect.Value) {
		oldValues[key] = v.Interface()
	})
	walk(reflect.ValueOf(*new), func(key string, f reflect.StructField, v reflect.Value) {
		if f.Tag.Get("restart") == "yes" && !reflect.DeepEqual(oldValues[key], v.Interface()) {
			keys = append(keys, key)
		}
	})
	return keys
}

// Example writes a file with the default of each key and with comments that describe the keys.
func Example(w io.Writer) error {
	f := Default()
	v := reflect.ValueOf(f)
	for i := range v.NumField() {
		section := v.Type().Field(i)
		if _, err := fmt.Fprintf(w, "# %s\n[%s]\n", section.Tag.Get("doc"), section.Tag.Get("toml")); err != nil {
			return err
		}
		for j := range v.Field(i).NumField() {
			key := section.Type.Field(j)
			description := key.Tag.Get("doc")
			if key.Tag.Get("restart") == "yes" {
				description += " A change needs a restart."
			}
			value := fmt.Sprintf("%#v", v.Field(i).Field(j).Interface())
			switch key.Type.Kind() {
			case reflect.Slice:
				value = "[]"
			case reflect.Uint64:
				value = fmt.Sprint(v.Field(i).Field(j).Uint())
			}
			if _, err := fmt.Fprintf(w, "# %s\n%s = %s\n", description, key.Tag.Get("toml"), value); err != nil {
				return err
			}
		}
		if i < v.NumField()-1 {
			fmt.Fprintln(w)
		}
	}
	return nil
}

// walk calls visit for every key of a file.
func walk(file reflect.Value, visit func(key string, f reflect.StructField, v reflect.Value)) {
	for i := range file.NumField() {
		section := file.Type().Field(i)
		for j := range file.Field(i).NumField() {
			f := section.Type.Field(j)
			visit(section.Tag.Get("toml")+"."+f.Tag.Get("toml"), f, file.Field(i).Field(j))
		}
	}
}

// Nearest returns the known name with the smallest edit distance to a word, or "" if none is similar.
func Nearest(word string, known []string) string {
	best, least := "", len(word)/2+1
	for _, k := range known {
		if d := distance(word, k); d < least {
			best, least = k, d
		}
	}
	return best
}

// distance returns the Levenshtein distance in bytes.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			change := diagonal
			if a[i] != b[j] {
				change++
			}
			diagonal = row[j+1]
			row[j+1] = min(change, diagonal+1, row[j]+1)
		}
	}
	return row[len(b)]
}
