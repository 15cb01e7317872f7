// Package ops reads the operations file: what an operator may set about one agent beside
// what the platform tells it. An agent without such a file does all that the platform asks.
//
// The file is TOML. It is taken whole or not at all: an unknown key, a value of the wrong
// kind or out of its range is an error that names the file, the line where it is known, the
// key and what was expected, and all that is wrong is told at once.
package ops

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
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
	return File{Log: Log{Format: "text", Level: "info"}, State: State{Every: Duration(time.Second)}}
}

// Error is one thing that is wrong with an operations file.
type Error struct {
	File string
	Line int // 0: not known
	Key  string
	Text string // what was expected
}

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

// wrongKind takes apart what the library says of a value of the wrong kind: its error for
// that has no fields.
var wrongKind = regexp.MustCompile(`^toml: (?:line (\d+) )?\(last key "(.*?)"\): (.*)$`)

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
		if m := wrongKind.FindStringSubmatch(err.Error()); m != nil {
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

func (f *File) validate() (wrong []*Error) {
	oneOf := func(key, value string, words []string) {
		if !slices.Contains(words, value) {
			wrong = append(wrong, &Error{Key: key, Text: fmt.Sprintf("%q is none of %s", value, strings.Join(words, ", "))})
		}
	}
	address := func(key, value string) {
		if value == "" {
			return
		}
		_, port, err := net.SplitHostPort(value)
		if n, bad := strconv.ParseUint(port, 10, 16); err != nil || bad != nil || key != "metrics.address" && n == 0 {
			wrong = append(wrong, &Error{Key: key, Text: fmt.Sprintf("%q is no host:port", value)})
		}
	}
	address("agent.listen", f.Agent.Listen)
	address("agent.discovery", f.Agent.Discovery)
	address("metrics.address", f.Metrics.Address)
	if every := time.Duration(f.State.Every); every < 100*time.Millisecond || every > time.Hour {
		wrong = append(wrong, &Error{Key: "state.every", Text: fmt.Sprintf("%v is not 100ms to 1h", every)})
	}
	oneOf("log.format", f.Log.Format, Formats)
	oneOf("log.level", f.Log.Level, Levels)
	return wrong
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
		if f.Tag.Get("restart") == "yes" && was[key] != v.Interface() {
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
			if _, err := fmt.Fprintf(w, "# %s\n%s = %#v\n", note, key.Tag.Get("toml"), v.Field(i).Field(j).Interface()); err != nil {
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
