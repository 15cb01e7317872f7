// Package opsconfig reads the operations file: what an operator may set about one agent beside
// what the platform tells it. An agent without such a file does all that the platform asks.
//
// The file is TOML. It is taken whole or not at all: an unknown key, a value of the wrong
// kind or out of its range is an error that names the file, the line where it is known, the
// key and what was expected, and all that is wrong is told at once.
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

// maxFile bounds an operations file, in bytes.
const maxFile = 1 << 20

// File is the whole of it. The tags say how a key is written, what it is for, and whether
// a change is used only after a restart.
type File struct {
	Agent   Agent   `toml:"agent" doc:"What the platform tells by environment variables, where it sets none of them."`
	Log     Log     `toml:"log" doc:"The log, on standard error."`
	Metrics Metrics `toml:"metrics" doc:"Counters and histograms for a monitoring system, off by default."`
	State   State   `toml:"state" doc:"What the agent has learned, kept on disk for its next life, off by default."`
	Fleet   Fleet   `toml:"fleet" doc:"Other agents to act together with, off by default."`
	Vote    Vote    `toml:"vote" doc:"Ejection of report servers by vote of a site's agents; off without an electorate."`
	Council Council `toml:"council" doc:"The voters that decide for the whole fleet which zones are used; off without voters."`
	Site    Site    `toml:"site" doc:"How a site, the agents of vote.electorate, finds out that its uplink is lost and goes on by itself."`
}

// Agent stands in for the environment; a variable that is set wins over it.
type Agent struct {
	Config    string `toml:"config" restart:"yes" doc:"Path of the configuration that the platform writes (PROXY_CONFIG)."`
	Name      string `toml:"name" restart:"yes" doc:"Name of the agent (PROXY_NAME); empty: as the configuration says."`
	Listen    string `toml:"listen" restart:"yes" doc:"host:port for clients (PROXY_LISTEN); empty: as the configuration says."`
	Discovery string `toml:"discovery" restart:"yes" doc:"host:port of discovery (PROXY_DISCOVERY); empty: as the configuration says."`
}

// Log says how the log is written.
type Log struct {
	Format string `toml:"format" doc:"\"text\" or \"json\"."`
	Level  string `toml:"level" doc:"The least that is written: \"debug\", \"info\", \"warn\" or \"error\"."`
}

// Metrics says where figures are served.
type Metrics struct {
	Address string `toml:"address" restart:"yes" doc:"host:port that serves GET /-/metrics; empty: none."`
	Runtime bool   `toml:"runtime" restart:"yes" doc:"Also figures of the Go runtime and of the process."`
}

// State says where and how often what the agent has learned is kept.
type State struct {
	Dir   string   `toml:"dir" restart:"yes" doc:"Folder of this agent alone; empty: nothing is kept."`
	Every Duration `toml:"every" restart:"yes" doc:"Time between two saves, 100ms to 1h."`
}

// Fleet says who the other agents are and how they are reached.
type Fleet struct {
	Name      string   `toml:"name" restart:"yes" doc:"Name of the fleet; agents of another are turned away. Empty: this agent acts alone."`
	Region    string   `toml:"region" restart:"yes" doc:"Region of this agent's zone."`
	Role      string   `toml:"role" restart:"yes" doc:"What this agent is, for the others to know."`
	Bind      string   `toml:"bind" restart:"yes" doc:"address:port for messages of other agents, UDP and TCP. What is sent to them comes from this address."`
	Advertise string   `toml:"advertise" restart:"yes" doc:"address:port where others reach it; empty: as bind."`
	Seeds     []string `toml:"seeds" restart:"yes" doc:"address:port of some agents that others are found through."`
	Trace     string   `toml:"trace" restart:"yes" doc:"File that the steps of votes are added to, a line of JSON each; empty: none. It is not bounded: for the laboratory."`
}

// Vote says how the agents of a site eject a report server together.
type Vote struct {
	Electorate []string `toml:"electorate" restart:"yes" doc:"Names of all agents of this agent's site, the same at each of them; empty: no votes."`
	Roll       uint64   `toml:"roll" restart:"yes" doc:"Number of the electorate, one more with each change of it. Votes by another number do not count."`
	Cap        float64  `toml:"cap" restart:"yes" doc:"Part of a zone's weight that may be ejected at once, at most 0.5."`
	Lease      Duration `toml:"lease" restart:"yes" doc:"How long a first ejection lasts; each further one lasts twice as long."`
	Longest    Duration `toml:"longest" restart:"yes" doc:"The longest that one lasts, and how long an agent that starts does not vote."`
	Remember   Duration `toml:"remember" restart:"yes" doc:"For how long an ejection makes the next of that server longer."`
	Age        Duration `toml:"age" restart:"yes" doc:"How old an agent's own evidence may be to vote by."`
	Step       Duration `toml:"step" restart:"yes" doc:"How long a returning server gets each part of its share: 0.1, 0.3, then all."`
	Trial      Duration `toml:"trial" restart:"yes" doc:"The least time between two trials of an ejected server by the site."`
}

// Council says who decides which zones the fleet uses, and how.
type Council struct {
	Voters    []string `toml:"voters" restart:"yes" doc:"name=address:port of three or five agents, spread over sites, the same at all agents of the fleet; empty: no council."`
	Bind      string   `toml:"bind" restart:"yes" doc:"address:port of a voter's log, TCP. What is sent to other voters comes from this address."`
	Dir       string   `toml:"dir" restart:"yes" doc:"Folder of a voter's log, of this agent alone."`
	Heartbeat Duration `toml:"heartbeat" restart:"yes" doc:"How long a voter waits for its leader before it stands for election."`
	Bound     Duration `toml:"bound" restart:"yes" doc:"How old the council's last word may be to be acted on."`
	After     Duration `toml:"after" restart:"yes" doc:"For how long a majority of the sites must see a zone bad before it is left."`
	Hold      Duration `toml:"hold" restart:"yes" doc:"How long a zone stays out the first time; twice as long each further time."`
	HoldMost  Duration `toml:"hold_most" restart:"yes" doc:"The longest that it stays out."`
	Step      Duration `toml:"step" restart:"yes" doc:"The least time between two steps back: 0.1, 0.3, then all of its share."`
	Target    float64  `toml:"target" restart:"yes" doc:"Part of its weight that a zone is filled to before traffic of its site leaves it; 0: each agent seeks its own way."`
	Most      float64  `toml:"most" restart:"yes" doc:"Part of the fleet's weight that other sites may leave at once."`
}

// Config is the same as its package has it; nil without voters. The error names the key.
func (c *Council) Config(self string) (*consensus.Config, error) {
	if len(c.Voters) == 0 {
		return nil, nil
	}
	z := zonefailover.Defaults()
	z.UnhealthyFor, z.EjectionTime, z.MaxEjectionTime, z.SlowStartStep, z.MaxEjectedFraction = time.Duration(c.After), time.Duration(c.Hold), time.Duration(c.HoldMost), time.Duration(c.Step), c.Most
	z.TargetUtilization = c.Target
	out := &consensus.Config{Self: self, Bind: c.Bind, Dir: c.Dir, Zones: z, Heartbeat: time.Duration(c.Heartbeat)}
	for i, text := range c.Voters {
		v, err := consensus.ParseVoter(text)
		if err != nil {
			return nil, fmt.Errorf("voters[%d]: %w", i, err)
		}
		out.Voters = append(out.Voters, v)
	}
	if b := time.Duration(c.Bound); b < time.Second || b > time.Hour {
		return nil, fmt.Errorf("bound: %v is not 1s to 1h", b)
	}
	return out, out.Validate()
}

// Site says when a site counts as cut off from all that lies outside.
type Site struct {
	Quiet Duration `toml:"quiet" restart:"yes" doc:"For how long nothing from outside (discovery, other sites' agents and servers) must have been heard."`
	Beat  Duration `toml:"beat" restart:"yes" doc:"Time between two words to the other agents of the site, and between two pings to other sites."`
	Step  Duration `toml:"step" restart:"yes" doc:"How long other zones get each part of their share when the uplink is back: 0.1, 0.3, then all."`
	Hold  Duration `toml:"hold" restart:"yes" doc:"How long the site stays by itself after the last majority for it, where nothing from outside is heard."`
}

// UplinkConfig is the same as its package has it, but for who the members are.
func (s *Site) UplinkConfig() stalerouting.Config {
	return stalerouting.Config{IsolationTimeout: time.Duration(s.Quiet), HeartbeatInterval: time.Duration(s.Beat), SlowStartStep: time.Duration(s.Step), MaxIsolation: time.Duration(s.Hold)}
}

// Duration is written as "1.5s" in a file.
type Duration time.Duration

// UnmarshalText reads a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// GoString is the duration as a file has it.
func (d Duration) GoString() string { return strconv.Quote(time.Duration(d).String()) }

// The words that keys of the log may have.
var (
	Formats = []string{"text", "json"}
	Levels  = []string{"debug", "info", "warn", "error"}
)

// Default is the file that says nothing.
func Default() File {
	v, s, z := ejection.Defaults(), stalerouting.Defaults(), zonefailover.Defaults()
	return File{Log: Log{Format: "text", Level: "info"}, State: State{Every: Duration(time.Second)},
		Fleet: Fleet{Role: "agent", Seeds: []string{}}, Vote: Vote{Electorate: []string{}, Roll: 1, Cap: v.MaxEjectedFraction, Lease: Duration(v.Lease), Longest: Duration(v.MaxLease),
			Remember: Duration(v.EscalationWindow), Age: Duration(v.MaxEvidenceAge), Step: Duration(v.SlowStartStep), Trial: Duration(v.TrialInterval)},
		Council: Council{Voters: []string{}, Heartbeat: Duration(time.Second), Bound: Duration(15 * time.Second), After: Duration(z.UnhealthyFor),
			Hold: Duration(z.EjectionTime), HoldMost: Duration(z.MaxEjectionTime), Step: Duration(z.SlowStartStep), Most: z.MaxEjectedFraction, Target: z.TargetUtilization},
		Site: Site{Quiet: Duration(s.IsolationTimeout), Beat: Duration(s.HeartbeatInterval), Step: Duration(s.SlowStartStep), Hold: Duration(s.MaxIsolation)}}
}

// EjectionConfig is the vote of one agent as its package has it.
func (v *Vote) EjectionConfig(self string) ejection.Config {
	return ejection.Config{Self: self, Electorate: ejection.Electorate{Number: v.Roll, Members: v.Electorate}, MaxEjectedFraction: v.Cap, Lease: time.Duration(v.Lease),
		MaxLease: time.Duration(v.Longest), EscalationWindow: time.Duration(v.Remember), MaxEvidenceAge: time.Duration(v.Age), SlowStartStep: time.Duration(v.Step),
		TrialInterval: time.Duration(v.Trial), EarlierPromisesFor: -1}
}

// Error is one thing that is wrong with an operations file.
type Error struct {
	File string
	Line int // 0: not known
	Key  string
	Text string // what was expected
}

// Error implements error: file, line, key and what was expected.
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

// typeErrorPattern takes apart what the library says of a value of the wrong kind: its error for
// that has no fields.
var typeErrorPattern = regexp.MustCompile(`^toml: (?:line (\d+) )?\(last key "(.*?)"\): (.*)$`)

// Load reads and checks a file. The error joins an Error for each thing that is wrong.
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
		return File{}, &Error{File: path, Text: fmt.Sprintf("over %d bytes", maxFile)}
	}
	return Parse(path, string(text))
}

// Parse checks the text of a file; its name is for messages.
func Parse(name, text string) (File, error) {
	f := Default()
	meta, err := toml.Decode(text, &f)
	if err != nil {
		var bad toml.ParseError
		if errors.As(err, &bad) {
			return File{}, &Error{File: name, Line: bad.Position.Line, Key: bad.LastKey, Text: bad.Message}
		}
		e := &Error{File: name, Text: err.Error()}
		if m := typeErrorPattern.FindStringSubmatch(err.Error()); m != nil {
			e.Line, _ = strconv.Atoi(m[1]) // digits, by the expression
			e.Key, e.Text = m[2], m[3]
		}
		return File{}, e
	}
	var wrong []error
	known := Keys()
	unknown := meta.Undecoded()
	for i, key := range unknown {
		if i+1 < len(unknown) && strings.HasPrefix(unknown[i+1].String(), key.String()+".") {
			continue // a table, named by its keys
		}
		e := &Error{File: name, Key: key.String(), Text: "unknown key"}
		if near := Nearest(key.String(), known); near != "" {
			e.Text += fmt.Sprintf(", did you mean %s?", near)
		}
		wrong = append(wrong, e)
	}
	for _, e := range f.validate() {
		e.File = name
		wrong = append(wrong, e)
	}
	if len(wrong) > 0 {
		return File{}, errors.Join(wrong...)
	}
	return f, nil
}

// problems collects what is wrong with a file.
type problems []*Error

func (p *problems) add(key, format string, args ...any) {
	*p = append(*p, &Error{Key: key, Text: fmt.Sprintf(format, args...)})
}

// addInSection adds an error whose text begins with its key within a section.
func (p *problems) addInSection(section string, err error) {
	if err == nil {
		return
	}
	key, text, _ := strings.Cut(err.Error(), ": ")
	p.add(section+"."+key, "%s", text)
}

// requireOneOf wants a value to be one of the given words.
func (p *problems) requireOneOf(key, value string, words []string) {
	if !slices.Contains(words, value) {
		p.add(key, "%q is none of %s", value, strings.Join(words, ", "))
	}
}

// requireHostPort wants a host and a port, or nothing. Port 0 is allowed for metrics only.
func (p *problems) requireHostPort(key, value string) {
	if value == "" {
		return
	}
	_, port, err := net.SplitHostPort(value)
	if n, bad := strconv.ParseUint(port, 10, 16); err != nil || bad != nil || key != "metrics.address" && n == 0 {
		p.add(key, "%q is no host:port", value)
	}
}

// validate returns all that is wrong with the values of a file, in the order of its sections.
func (f *File) validate() []*Error {
	var wrong problems
	wrong.requireHostPort("agent.listen", f.Agent.Listen)
	wrong.requireHostPort("agent.discovery", f.Agent.Discovery)
	wrong.requireHostPort("metrics.address", f.Metrics.Address)
	if every := time.Duration(f.State.Every); every < 100*time.Millisecond || every > time.Hour {
		wrong.add("state.every", "%v is not 100ms to 1h", every)
	}
	f.validateFleet(&wrong)
	f.validateVote(&wrong)
	_, err := f.Council.Config(f.Agent.Name)
	wrong.addInSection("council", err)
	if len(f.Council.Voters) > 0 && len(f.Vote.Electorate) == 0 {
		wrong.add("council.voters", "there is no council without vote.electorate")
	}
	site := f.Site.UplinkConfig()
	site.Members = []string{site.Self}
	wrong.addInSection("site", site.Validate())
	wrong.requireOneOf("log.format", f.Log.Format, Formats)
	wrong.requireOneOf("log.level", f.Log.Level, Levels)
	return wrong
}

func (f *File) validateFleet(wrong *problems) {
	for _, address := range append([]string{f.Fleet.Bind, f.Fleet.Advertise}, f.Fleet.Seeds...) {
		if _, err := netip.ParseAddrPort(address); err != nil && address != "" {
			wrong.add(f.Fleet.keyOf(address), "%q is no address:port", address)
		}
	}
	if f.Fleet.Name == "" {
		return
	}
	if f.Fleet.Bind == "" {
		wrong.add("fleet.bind", "needed by a fleet that has a name")
	}
	if len(f.Fleet.Seeds) == 0 {
		wrong.add("fleet.seeds", "needed by a fleet that has a name")
	}
}

func (f *File) validateVote(wrong *problems) {
	if len(f.Vote.Electorate) == 0 {
		return
	}
	if f.Fleet.Name == "" {
		wrong.add("vote.electorate", "there are no votes without fleet.name")
	}
	self := f.Agent.Name
	if self == "" {
		self = f.Vote.Electorate[0]
	}
	if !slices.Contains(f.Vote.Electorate, self) {
		wrong.add("vote.electorate", "%q, this agent, is not in it", self)
	}
	config := f.Vote.EjectionConfig(self)
	wrong.addInSection("vote", config.Validate())
}

// keyOf is the key that an address stands at.
func (f *Fleet) keyOf(addr string) string {
	switch addr {
	case f.Bind:
		return "fleet.bind"
	case f.Advertise:
		return "fleet.advertise"
	}
	return "fleet.seeds"
}

// Getenv is the environment with what the file says where a variable is not set.
func (f *File) Getenv(getenv func(string) string) func(string) string {
	ours := map[string]string{"PROXY_CONFIG": f.Agent.Config, "PROXY_NAME": f.Agent.Name,
		"PROXY_LISTEN": f.Agent.Listen, "PROXY_DISCOVERY": f.Agent.Discovery}
	return func(name string) string {
		if v := getenv(name); v != "" {
			return v
		}
		return ours[name]
	}
}

// Keys names all keys, in the order of the file.
func Keys() (keys []string) {
	walk(reflect.ValueOf(File{}), func(key string, _ reflect.StructField, _ reflect.Value) {
		keys = append(keys, key)
	})
	return keys
}

// NeedRestart names the keys that differ and are used only after a restart.
func NeedRestart(old, new *File) (keys []string) {
	was := map[string]any{}
	walk(reflect.ValueOf(*old), func(key string, _ reflect.StructField, v reflect.Value) { was[key] = v.Interface() })
	walk(reflect.ValueOf(*new), func(key string, f reflect.StructField, v reflect.Value) {
		if f.Tag.Get("restart") == "yes" && !reflect.DeepEqual(was[key], v.Interface()) {
			keys = append(keys, key)
		}
	})
	return keys
}

// Example writes the file that says what holds without one, each key with what it is for.
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
			note := key.Tag.Get("doc")
			if key.Tag.Get("restart") == "yes" {
				note += " A change needs a restart."
			}
			value := fmt.Sprintf("%#v", v.Field(i).Field(j).Interface())
			switch key.Type.Kind() {
			case reflect.Slice:
				value = "[]"
			case reflect.Uint64:
				value = fmt.Sprint(v.Field(i).Field(j).Uint())
			}
			if _, err := fmt.Fprintf(w, "# %s\n%s = %s\n", note, key.Tag.Get("toml"), value); err != nil {
				return err
			}
		}
		if i < v.NumField()-1 {
			fmt.Fprintln(w)
		}
	}
	return nil
}

// walk visits every key of a section.
func walk(file reflect.Value, visit func(key string, f reflect.StructField, v reflect.Value)) {
	for i := range file.NumField() {
		section := file.Type().Field(i)
		for j := range file.Field(i).NumField() {
			f := section.Type.Field(j)
			visit(section.Tag.Get("toml")+"."+f.Tag.Get("toml"), f, file.Field(i).Field(j))
		}
	}
}

// Nearest is the known name that the least edits make of a word; "" if none is close.
func Nearest(word string, known []string) string {
	best, least := "", len(word)/2+1
	for _, k := range known {
		if d := distance(word, k); d < least {
			best, least = k, d
		}
	}
	return best
}

// distance is Levenshtein's: letters put in, taken out or changed.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		before := row[0]
		row[0] = i + 1
		for j := range len(b) {
			change := before
			if a[i] != b[j] {
				change++
			}
			before = row[j+1]
			row[j+1] = min(change, before+1, row[j]+1)
		}
	}
	return row[len(b)]
}
