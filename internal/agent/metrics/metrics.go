// Package metrics serves what one agent does and holds to a monitoring system, in the text
// form of Prometheus. It observes only: an agent without it decides the same.
package metrics

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"chalkdoor.example/chalkdoor/internal/agent"
	"chalkdoor.example/chalkdoor/policy"
)

const (
	// Path is where figures are served.
	Path = "/-/metrics"
	// stateTimeout bounds what the agent's loop may take to tell its state: a scrape never
	// waits longer, and then lacks the state.
	stateTimeout = time.Second
	// headerTimeout bounds how long a scraper may take to ask, and responseTimeout to be answered.
	headerTimeout, responseTimeout = 2 * time.Second, 10 * time.Second
	// maxConcurrentScrapes bounds the scrapes at once.
	maxConcurrentScrapes = 4
)

// durationBuckets are those of times in seconds: from a hop on loopback to the longest deadline.
var durationBuckets = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10}

// Metrics is an agent.Observer that counts. It is safe for concurrent use.
type Metrics struct {
	registry            *prometheus.Registry
	answers             *prometheus.CounterVec   // class, verdict
	latency             *prometheus.HistogramVec // class, verdict
	deadlineSlack       prometheus.Observer
	attemptsPerRequest  prometheus.Observer
	attempts            *prometheus.CounterVec // outcome
	attemptLatency      *prometheus.HistogramVec
	warmingUpAttempts   prometheus.Counter
	violationsPrevented *prometheus.CounterVec // rule, what
	state               *stateCollector
}

var _ agent.Observer = (*Metrics)(nil)

// New returns metrics of an agent by its name. With runtime they hold those of the Go
// runtime and of the process, too.
func New(name string, runtime bool) *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry()}
	reg := prometheus.WrapRegistererWith(prometheus.Labels{"agent": name}, m.registry)
	counter := func(n, help string, labels ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chalkdoor_" + n, Help: help}, labels)
		reg.MustRegister(c)
		return c
	}
	histogram := func(n, help string, b []float64, labels ...string) *prometheus.HistogramVec {
		h := prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "chalkdoor_" + n, Help: help, Buckets: b}, labels)
		reg.MustRegister(h)
		return h
	}
	m.answers = counter("answers_total", "Final answers to the client.", "class", "verdict")
	m.latency = histogram("answer_seconds", "Time from a request's head to its final answer.", durationBuckets, "class", "verdict")
	m.deadlineSlack = histogram("answer_left_seconds", "Time that was left to the client's deadline at the final answer (rule 1).",
		append([]float64{0}, durationBuckets...)).WithLabelValues()
	m.attemptsPerRequest = histogram("request_attempts", "Attempts of a request by its final answer.", []float64{0, 1, 2, 3, 5}).WithLabelValues()
	m.attempts = counter("attempts_total", "Attempts at report servers by their outcome.", "outcome")
	m.attemptLatency = histogram("attempt_seconds", "Time of an attempt by its outcome.", durationBuckets, "outcome")
	m.warmingUpAttempts = counter("cold_attempts_total", "Attempts at servers that are not yet warm by the list (rule 4).").WithLabelValues()
	m.violationsPrevented = counter("guarded_total", "What would have broken one of the four rules and was stopped.", "rule", "what")
	m.state = newStateCollector()
	reg.MustRegister(m.state)
	if runtime {
		reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	}
	return m
}

// Started is of agent.Observer.
func (m *Metrics) Started(read func(context.Context) (agent.Stats, error)) { m.state.read.Store(&read) }

// RequestAnswered is of agent.Observer.
func (m *Metrics) RequestAnswered(class, verdict string, took, left time.Duration, attempts int) {
	m.answers.WithLabelValues(class, verdict).Inc()
	m.latency.WithLabelValues(class, verdict).Observe(took.Seconds())
	m.deadlineSlack.Observe(left.Seconds())
	m.attemptsPerRequest.Observe(float64(attempts))
}

// AttemptEnded is of agent.Observer.
func (m *Metrics) AttemptEnded(s policy.Status, took time.Duration) {
	m.attempts.WithLabelValues(outcome(s)).Inc()
	m.attemptLatency.WithLabelValues(outcome(s)).Observe(took.Seconds())
}

// SentToWarmingUp is of agent.Observer.
func (m *Metrics) SentToWarmingUp() { m.warmingUpAttempts.Inc() }

// ViolationPrevented is of agent.Observer.
func (m *Metrics) ViolationPrevented(rule int, what string) {
	m.violationsPrevented.WithLabelValues(strconv.Itoa(rule), what).Inc()
}

func outcome(s policy.Status) string {
	switch s {
	case policy.OK:
		return "ok"
	case policy.Error:
		return "error"
	case policy.Rejected:
		return "full"
	case policy.Timeout:
		return "timeout"
	case policy.ConnectFailed:
		return "connect_failed"
	case policy.Reset:
		return "reset"
	case policy.Cancelled:
		return "cancelled"
	case policy.NotSent:
		return "moot"
	}
	return strconv.Itoa(int(s))
}

// Handler serves the figures at Path.
func (m *Metrics) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+Path, promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{
		MaxRequestsInFlight: maxConcurrentScrapes, Timeout: responseTimeout, ErrorHandling: promhttp.ContinueOnError,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelWarn)}))
	return mux
}

// Serve serves the figures on a listener until ctx is done.
func (m *Metrics) Serve(ctx context.Context, ln net.Listener) error {
	server := &http.Server{Handler: m.Handler(), ReadHeaderTimeout: headerTimeout, WriteTimeout: responseTimeout + headerTimeout,
		IdleTimeout: time.Minute, MaxHeaderBytes: 8 << 10,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelWarn)}
	defer context.AfterFunc(ctx, func() { server.Close() })()
	if err := server.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("metrics: %w", err)
	}
	return nil
}
