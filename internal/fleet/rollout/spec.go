package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/knadh/koanf/parsers/toml/v2"
	"github.com/knadh/koanf/providers/rawbytes"
	"github.com/knadh/koanf/v2"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
	"chalkdoor.example/chalkdoor/internal/fleet/config"
)

const (
	// MaxSpec is the largest operator's file, in bytes.
	MaxSpec = 64 << 10
	// maxRoutes bounds the routes that a file names, maxAtOnce the servers that are out at once.
	maxRoutes, maxAtOnce = 256, 64
	// maxName bounds names, in bytes.
	maxName = 256
)

// What follows on a verdict that the new revision is worse.
const (
	OnWorseRollback = "turn-back"
	OnWorseHalt     = "halt"
)

// Spec is what the operator asks for: all servers of a service are to hold another revision of a
// model. Times are in seconds.
type Spec struct {
	Service string               `koanf:"service" msgpack:"s" json:"service"`
	Model   string               `koanf:"model" msgpack:"m" json:"model"`
	From    int                  `koanf:"from" msgpack:"f" json:"from"` // revisions of the weights
	To      int                  `koanf:"to" msgpack:"t" json:"to"`
	OnWorse string               `koanf:"on-worse" msgpack:"w" json:"on-worse"`
	Pace    Pace                 `koanf:"pace" msgpack:"p" json:"pace"`
	Safety  Safety               `koanf:"keep" msgpack:"k" json:"keep"`
	Judge   JudgeSpec            `koanf:"judge" msgpack:"j" json:"judge"`
	Routes  map[string]RouteSpec `koanf:"routes" msgpack:"r" json:"routes,omitempty"`
}

// Pace is how fast it goes.
type Pace struct {
	AtOnce                 int     `koanf:"at-once" msgpack:"a" json:"at-once"`       // servers that are not at their full share
	GapSeconds             float64 `koanf:"gap-s" msgpack:"g" json:"gap-s"`           // least time between two that are taken
	SpreadSeconds          float64 `koanf:"spread-s" msgpack:"s" json:"spread-s"`     // least time at each share on the way out
	StageSeconds           float64 `koanf:"stage-s" msgpack:"t" json:"stage-s"`       // least time at each share on the way in
	FinishSeconds          float64 `koanf:"finish-s" msgpack:"f" json:"finish-s"`     // streams may finish before they are passed on
	ReplaceSeconds         float64 `koanf:"replace-s" msgpack:"r" json:"replace-s"`   // a new incarnation is waited for
	WaitSeconds            float64 `koanf:"wait-s" msgpack:"w" json:"wait-s"`         // a server whose groups find no replicas is given back after
	WarmupPromptsPerSecond float64 `koanf:"fill-per-s" msgpack:"l" json:"fill-per-s"` // shared prompts that a filling server is made to read
}

// Safety is what has to hold throughout.
type Safety struct {
	MinReplicas    int     `koanf:"floor" msgpack:"f" json:"floor"`   // replicas of each group beside a server that is taken
	LiveSeconds    float64 `koanf:"live-s" msgpack:"l" json:"live-s"` // of the groups that come at least once in this time
	PeakLoad       float64 `koanf:"peak" msgpack:"p" json:"peak"`     // the afternoon's load, as a part of all servers
	UsableCapacity float64 `koanf:"usable" msgpack:"u" json:"usable"` // the part of a server's time that may be planned with
	SpareServers   int     `koanf:"spare" msgpack:"s" json:"spare"`   // further servers that may fail
}

// JudgeSpec is when the new revision counts as worse than the old. Parts are differences of
// parts of requests, by ratios of means.
type JudgeSpec struct {
	MinSamples           int     `koanf:"samples" msgpack:"n" json:"samples"`     // requests on each side before a verdict
	MinServerRequests    int     `koanf:"own" msgpack:"o" json:"own"`             // of a server before its next share
	MaxFailureIncrease   float64 `koanf:"fail-by" msgpack:"f" json:"fail-by"`     // part that fails
	MaxRejectionIncrease float64 `koanf:"refuse-by" msgpack:"r" json:"refuse-by"` // part that is turned away
	MaxLatenessIncrease  float64 `koanf:"late-by" msgpack:"l" json:"late-by"`     // part whose first token is late
	MaxStallIncrease     float64 `koanf:"pause-by" msgpack:"p" json:"pause-by"`   // part with a pause that is too long
	MaxLatencyRatio      float64 `koanf:"slower-by" msgpack:"s" json:"slower-by"` // ratio of times to the first token
	MaxLengthRatio       float64 `koanf:"length-by" msgpack:"e" json:"length-by"` // ratio of events of a stream, either way; 0: not looked at
}

// RouteSpec is what differs on one route.
type RouteSpec struct {
	MinReplicas      int   `koanf:"floor" msgpack:"f" json:"floor,omitempty"`       // instead of keep.floor
	AllowedRevisions []int `koanf:"versions" msgpack:"v" json:"versions,omitempty"` // revisions that it allows; none: both
}

// defaultSpec are what a file need not say.
func defaultSpec() Spec {
	return Spec{From: -1, To: -1, OnWorse: OnWorseRollback,
		Pace:   Pace{AtOnce: 1, GapSeconds: 5, SpreadSeconds: 10, StageSeconds: 20, FinishSeconds: 20, ReplaceSeconds: 900, WaitSeconds: 300, WarmupPromptsPerSecond: 20},
		Safety: Safety{MinReplicas: 2, LiveSeconds: 15, PeakLoad: 0.7, UsableCapacity: 0.9, SpareServers: 1},
		Judge:  JudgeSpec{MinSamples: 300, MinServerRequests: 30, MaxFailureIncrease: 0.01, MaxRejectionIncrease: 0.03, MaxLatenessIncrease: 0.03, MaxStallIncrease: 0.03, MaxLatencyRatio: 1.3, MaxLengthRatio: 2}}
}

// Parse reads an operator's file, TOML or JSON, and checks it. The error joins every reason for
// which it is refused, each a fault of kind Invalid with its key and remedy.
func Parse(raw []byte) (*Spec, error) {
	if len(raw) > MaxSpec {
		return nil, apierror.New(apierror.TooLarge, "", "shorten it", "the file has %d bytes, at most %d are taken", len(raw), MaxSpec)
	}
	var parser koanf.Parser = toml.Parser()
	if t := strings.TrimSpace(string(raw)); strings.HasPrefix(t, "{") {
		parser = jsonParser{}
	}
	k := koanf.New("\x00") // names of routes may hold dots
	if err := k.Load(rawbytes.Provider(raw), parser); err != nil {
		return nil, apierror.Wrap(err, apierror.Invalid, "", "write the file as TOML or JSON")
	}
	s, all := defaultSpec(), k.Raw()
	reasons := checkFields(reflect.TypeOf(s), all, "")
	sound := koanf.New("\x00")
	if err := sound.Load(mapProvider(all), nil); err != nil {
		return nil, apierror.Wrap(err, apierror.Invalid, "", "write the file as the example is")
	}
	if err := sound.UnmarshalWithConf("", &s, koanf.UnmarshalConf{Tag: "koanf"}); err != nil {
		return nil, apierror.Wrap(err, apierror.Invalid, "", "write the file as the example is")
	}
	told := map[string]bool{}
	for _, r := range reasons {
		told[keyOf(r)] = true
	}
	for _, r := range s.validationErrors() {
		if !told[keyOf(r)] {
			reasons = append(reasons, r)
		}
	}
	slices.SortFunc(reasons, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	if err := errors.Join(reasons...); err != nil {
		return nil, err
	}
	return &s, nil
}

// jsonParser is koanf's way to read JSON, without its loss of large numbers.
type jsonParser struct{}

func (jsonParser) Unmarshal(b []byte) (map[string]any, error) {
	var m map[string]any
	err := json.Unmarshal(b, &m)
	return m, err
}

func (jsonParser) Marshal(m map[string]any) ([]byte, error) { return json.Marshal(m) }

// mapProvider gives koanf a map that is there already.
type mapProvider map[string]any

func (m mapProvider) Read() (map[string]any, error) { return m, nil }
func (m mapProvider) ReadBytes() ([]byte, error)    { return nil, errors.New("a map has no text") }

// checkFields takes out of a file what a type doesn't have, or has in another form, and tells why.
func checkFields(t reflect.Type, m map[string]any, outer string) (reasons []error) {
	known := map[string]reflect.Type{}
	var names []string
	for i := range t.NumField() {
		name := t.Field(i).Tag.Get("koanf")
		known[name] = t.Field(i).Type
		names = append(names, name)
	}
	for key, val := range m {
		at := strings.TrimPrefix(outer+"."+key, ".")
		field, ok := known[key]
		if !ok {
			reasons = append(reasons, apierror.New(apierror.Invalid, at, "use one of "+strings.Join(names, ", "), "there is no such key"))
			delete(m, key)
			continue
		}
		sub, table := val.(map[string]any)
		switch {
		case field.Kind() == reflect.Struct && table:
			reasons = append(reasons, checkFields(field, sub, at)...)
		case field.Kind() == reflect.Map && table:
			for name, v := range sub {
				if item, ok := v.(map[string]any); ok {
					reasons = append(reasons, checkFields(field.Elem(), item, at+"."+name)...)
				} else {
					reasons = append(reasons, typeError(at+"."+name, "a table", v))
					delete(sub, name)
				}
			}
		default:
			if want := expectedForm(field, val); want != "" {
				reasons = append(reasons, typeError(at, want, val))
				delete(m, key)
			}
		}
	}
	return reasons
}

func typeError(key, want string, val any) error {
	return apierror.New(apierror.Invalid, key, "give "+want, "it is %.60s", fmt.Sprint(val))
}

func keyOf(err error) string {
	var f *apierror.Error
	if errors.As(err, &f) {
		return f.Key
	}
	return ""
}

// expectedForm is what a field wants where a value is not that; "" where it is.
func expectedForm(t reflect.Type, val any) string {
	x, number := val.(float64)
	if n, ok := val.(int64); ok {
		x, number = float64(n), true
	}
	switch t.Kind() {
	case reflect.Int:
		if !number || x != math.Trunc(x) || math.Abs(x) > math.MaxInt32 {
			return "a whole number"
		}
	case reflect.Float64:
		if !number {
			return "a number"
		}
	case reflect.String:
		if _, ok := val.(string); !ok {
			return "a text in quotes"
		}
	case reflect.Slice:
		list, ok := val.([]any)
		if !ok {
			return "a list of whole numbers"
		}
		for _, v := range list {
			if expectedForm(t.Elem(), v) != "" {
				return "a list of whole numbers"
			}
		}
	default:
		return "a table"
	}
	return ""
}

// validationErrors are all that is wrong with what a file says.
func (s *Spec) validationErrors() (out []error) {
	bad := func(when bool, key, remedy, format string, args ...any) {
		if when {
			out = append(out, apierror.New(apierror.Invalid, key, remedy, format, args...))
		}
	}
	number := func(key string, x, least, most float64) {
		if !(x >= least && x <= most) {
			bad(true, key, "give "+formatNumber(least)+" to "+formatNumber(most), "it is %s", formatNumber(x))
		}
	}
	text := func(key, x, remedy string) {
		bad(x == "" || len(x) > maxName, key, remedy, "it is missing or longer than %d bytes", maxName)
	}
	text("service", s.Service, "name a service of the configuration")
	text("model", s.Model, "name the model as its servers do")
	bad(s.From < 0, "from", "give the revision that the servers hold now", "it is missing or below 0")
	bad(s.To < 0, "to", "give the revision that they are to hold", "it is missing or below 0")
	bad(s.From >= 0 && s.From == s.To, "to", "give another revision than from", "both are %d", s.To)
	bad(s.OnWorse != OnWorseRollback && s.OnWorse != OnWorseHalt, "on-worse", "give "+OnWorseRollback+" or "+OnWorseHalt, "it is %.40q", s.OnWorse)
	number("pace.at-once", float64(s.Pace.AtOnce), 1, maxAtOnce)
	number("pace.gap-s", s.Pace.GapSeconds, 0, 86400)
	number("pace.spread-s", s.Pace.SpreadSeconds, 0, 3600)
	number("pace.stage-s", s.Pace.StageSeconds, 0, 86400)
	number("pace.finish-s", s.Pace.FinishSeconds, 0, 3600)
	number("pace.replace-s", s.Pace.ReplaceSeconds, 1, 86400)
	number("pace.wait-s", s.Pace.WaitSeconds, 1, 86400)
	number("pace.fill-per-s", s.Pace.WarmupPromptsPerSecond, 0.01, 1e5)
	number("keep.floor", float64(s.Safety.MinReplicas), 0, 64)
	number("keep.live-s", s.Safety.LiveSeconds, 0.1, 300)
	number("keep.peak", s.Safety.PeakLoad, 0, 1)
	number("keep.usable", s.Safety.UsableCapacity, 0.1, 1)
	number("keep.spare", float64(s.Safety.SpareServers), 0, 64)
	number("judge.samples", float64(s.Judge.MinSamples), 10, 1e7)
	number("judge.own", float64(s.Judge.MinServerRequests), 0, 1e6)
	for _, p := range []struct {
		key string
		x   float64
	}{{"fail-by", s.Judge.MaxFailureIncrease}, {"refuse-by", s.Judge.MaxRejectionIncrease}, {"late-by", s.Judge.MaxLatenessIncrease}, {"pause-by", s.Judge.MaxStallIncrease}} {
		number("judge."+p.key, p.x, 0, 1)
	}
	number("judge.slower-by", s.Judge.MaxLatencyRatio, 1, 100)
	if s.Judge.MaxLengthRatio != 0 {
		number("judge.length-by", s.Judge.MaxLengthRatio, 1, 100)
	}
	bad(len(s.Routes) > maxRoutes, "routes", "name those only that differ", "%d routes, at most %d", len(s.Routes), maxRoutes)
	for name, r := range s.Routes {
		at := "routes." + name
		number(at+".floor", float64(r.MinReplicas), 0, 64)
		if len(r.AllowedRevisions) == 0 {
			continue
		}
		for _, v := range r.AllowedRevisions {
			bad(v != s.From && v != s.To, at+".versions", "give from, to or both", "%d is neither", v)
		}
		bad(!slices.Contains(r.AllowedRevisions, s.To), at+".versions", "allow to, or point the route at a service that keeps the old revision",
			"the route allows no server that the rollout leaves")
	}
	return out
}

func formatNumber(x float64) string { return strconv.FormatFloat(x, 'g', 6, 64) }

// CheckConfig tells what of a spec the operator's configuration contradicts; nil where nothing does.
func (s *Spec) CheckConfig(doc *config.Document) error {
	if doc == nil {
		return apierror.New(apierror.Invalid, "service", "put a configuration first", "there is no configuration")
	}
	svc := doc.Services[s.Service]
	if svc == nil {
		return apierror.New(apierror.Invalid, "service", "name a service of the configuration", "there is no %q in revision %d", s.Service, doc.Revision)
	}
	var reasons []error
	if svc.Engine != nil && len(svc.Engine.Models) > 0 && !slices.Contains(svc.Engine.Models, s.Model) {
		reasons = append(reasons, apierror.New(apierror.Invalid, "model", "name one of "+strings.Join(svc.Engine.Models, ", "), "the service has no %q", s.Model))
	}
	for name := range s.Routes {
		if !slices.ContainsFunc(doc.Routes, func(r *config.Route) bool { return r.Name == name }) {
			reasons = append(reasons, apierror.New(apierror.Invalid, "routes."+name, "name a route of the configuration", "there is none of that name"))
		}
	}
	slices.SortFunc(reasons, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return errors.Join(reasons...)
}

// minReplicas is how many replicas a route's groups keep.
func (s *Spec) minReplicas(route string) int {
	if r, ok := s.Routes[route]; ok && r.MinReplicas > 0 {
		return r.MinReplicas
	}
	return s.Safety.MinReplicas
}

// allowedRevisions is the sides whose servers a route's requests may run at.
func (s *Spec) allowedRevisions(route string) revisionSet {
	r := s.Routes[route]
	if len(r.AllowedRevisions) == 0 {
		return oldRevision | newRevision
	}
	var out revisionSet
	for _, v := range r.AllowedRevisions {
		if v == s.From {
			out |= oldRevision
		}
		if v == s.To {
			out |= newRevision
		}
	}
	return out
}

// revisionSet is a set of the two revisions of a rollout.
type revisionSet uint8

const (
	oldRevision revisionSet = 1 << iota // from
	newRevision                         // to
)

func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, 1e6) * float64(time.Second))
}
