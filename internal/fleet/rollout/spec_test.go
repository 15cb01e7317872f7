package rollout

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
	"chalkdoor.example/chalkdoor/internal/fleet/config"
)

const specText = `
service = "tenant-llm"
model = "m"
from = 1
to = 2

[pace]
at-once = 2
stage-s = 15.5

[routes."r.dossier"]
floor = 3
versions = [1, 2]
`

func TestParseAppliesDefaults(t *testing.T) {
	s, err := Parse([]byte(specText))
	require.NoError(t, err)
	assert.Equal(t, "tenant-llm", s.Service)
	assert.Equal(t, 2, s.Pace.AtOnce)
	assert.InDelta(t, 15.5, s.Pace.StageSeconds, 0)
	assert.Equal(t, defaultSpec().Pace.WarmupPromptsPerSecond, s.Pace.WarmupPromptsPerSecond)
	assert.Equal(t, defaultSpec().Judge, s.Judge)
	assert.Equal(t, OnWorseRollback, s.OnWorse)
	assert.Equal(t, 3, s.minReplicas("r.dossier"))
	assert.Equal(t, 2, s.minReplicas("another"))
	assert.Equal(t, oldRevision|newRevision, s.allowedRevisions("r.dossier"))

	j, err := Parse([]byte(`{"service":"tenant-llm","model":"m","from":1,"to":2,"pace":{"at-once":2,"stage-s":15.5},"routes":{"r.dossier":{"floor":3,"versions":[1,2]}}}`))
	require.NoError(t, err)
	assert.Equal(t, s, j, "the same spec as JSON")
}

func TestParseReportsEveryErrorWithKeyAndRemedy(t *testing.T) {
	_, err := Parse([]byte(`
service = 7
modell = "m"
from = 1
to = 1
on-worse = "hope"
[pace]
at-once = 1.5
gap-s = -1
stage-s = "long"
[keep]
peak = 70
floor = true
[judge]
samples = 1
slower-by = 0.5
[routes.a]
versions = [1]
[routes.b]
versions = [3, 2]
flor = 1
[routes]
c = 1
`))
	require.Error(t, err)
	assert.Equal(t, apierror.Invalid, apierror.KindOf(err))
	text := err.Error()
	for _, want := range []string{
		"service: it is 7; give a text in quotes",
		"modell: there is no such key; use one of service, model,",
		"model: it is missing",
		"to: both are 1; give another revision than from",
		`on-worse: it is "hope"; give turn-back or halt`,
		"pace.at-once: it is 1.5; give a whole number",
		"pace.gap-s: it is -1; give 0 to 86400",
		"pace.stage-s: it is long; give a number",
		"keep.peak: it is 70; give 0 to 1",
		"keep.floor: it is true; give a whole number",
		"judge.samples: it is 1; give 10 to 1e+07",
		"judge.slower-by: it is 0.5; give 1 to 100",
		"routes.b.versions: 3 is neither; give from, to or both",
		"routes.b.flor: there is no such key; use one of floor, versions",
		"routes.c: it is 1; give a table",
	} {
		assert.Contains(t, text, want)
	}
	for line := range strings.SplitSeq(text, "\n") {
		assert.Contains(t, line, "; ", "the error has no remedy: %s", line)
	}

	_, err = Parse([]byte("service = "))
	assert.Equal(t, apierror.Invalid, apierror.KindOf(err))
	_, err = Parse([]byte(`{"service": [`))
	assert.Equal(t, apierror.Invalid, apierror.KindOf(err))
	_, err = Parse(make([]byte, MaxSpec+1))
	assert.Equal(t, apierror.TooLarge, apierror.KindOf(err))
	_, err = Parse([]byte(strings.Replace(specText, "[1, 2]", "[1]", 1)))
	assert.ErrorContains(t, err, "routes.r.dossier.versions: the route allows no server that the rollout leaves")
}

func TestCheckConfig(t *testing.T) {
	s, err := Parse([]byte(specText))
	require.NoError(t, err)
	doc, err := config.Parse([]byte(`{"revision":7,"routes":[{"name":"r.dossier","hostname":"h","path-prefix":"/a/","route-kind":"streaming","timeout-ms":3000,"setpoint-ms":500,"target-service":"tenant-llm","max-attempts":2}],"services":[{"name":"tenant-llm","health-path":"/health","conn-limit":3,"inference-engine":{"slots":4,"models":[{"name":"m"}]}}]}`))
	require.NoError(t, err)
	require.NoError(t, s.CheckConfig(doc))
	other := *s
	other.Model, other.Routes = "x", map[string]RouteSpec{"gone": {}}
	err = other.CheckConfig(doc)
	assert.ErrorContains(t, err, `model: the service has no "x"; name one of m`)
	assert.ErrorContains(t, err, "routes.gone: there is none of that name")
	other.Service = "y"
	assert.ErrorContains(t, other.CheckConfig(doc), `service: there is no "y" in revision 7`)
	assert.Error(t, s.CheckConfig(nil))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(specText))
	f.Add([]byte(`{"service":{},"routes":[1],"pace":{"at-once":1e99}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if s, err := Parse(raw); err == nil {
			require.Empty(t, s.validationErrors())
		} else if k := apierror.KindOf(err); k != apierror.Invalid && k != apierror.TooLarge {
			t.Errorf("kind %v of %v", k, err)
		}
	})
}
