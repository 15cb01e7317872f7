// Package metrics serves the metrics of one agent in the Prometheus text format. It has no influence on what
// the agent decides.
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
	// Path is the URL path at which the metrics are served.
	Path = "/-/metrics"
	// stateTimeout is how long a scrape waits for the state of the agent's loop. After that the scrape is
	// answered without the state.
	stateTimeout = time.Second
	// headerTimeout bounds the time in which a request's header is read, and responseTimeout the time in
	// which it is answered.
	headerTimeout, responseTimeout = 2 * time.Second, 10 * time.Second
	// maxConcurrentScrapes is the largest number of scrapes that are served at once.
	maxConcurrentScrapes = 4
)

// durationBuckets are the bucket bounds of durations in seconds, from a hop over the loopback interface to the
// longest deadline.
var durationBuckets = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10}

// Metrics is an agent.Observer that keeps counters and histograms. It is safe for concurrent use.
type Metrics struct {
	registry            *prometheus.Registry
	answers             *prometheus.CounterVec   // by class and verdict
	latency             *prometheus.HistogramVec // by class and verdict
	deadlineSlack       prometheus.Observer
	attemptsPerRequest  prometheus.Observer
	attempts            *prometheus.CounterVec   // by outcome
	attemptLatency      *prometheus.HistogramVec // by outcome
	warmingUpAttempts   prometheus.Counter
	violationsPrevented *prometheus.CounterVec // by rule and what
	state               *stateCollector
}

var _ agent.Observer = (*Metrics)(nil)

// New returns the metrics of the agent with the given name. If runtime is true, they include the metrics of
// the Go runtime and of the process.
func New(name string, runtime bool) *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry()}
	reg := prometheus.WrapRegistererWith(prometheus.Labels{"agent": name}, m.registry)
	counter := func(n, help string, labels ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chalkdoor_" + n, Help: help}, labels)
		reg.MustRegister(c)
		return c
	}
	histogram := func(n, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
		h := prometheus.NewHistogramVec(
			prometheus.HistogramOpts{Name: "chalkdoor_" + n, Help: help, Buckets: buckets}, labels)
		reg.MustRegister(h)
		return h
	}
	m.answers = counter("answers_total", "Final answers to the client.", "class", "verdict")
	m.latency = histogram("answer_seconds", "Time from a request's head to its final answer.",
		durationBuckets, "class", "verdict")
	m.deadlineSlack = histogram("answer_left_seconds",
		"Time that was left to the client's deadline at the final answer (rule 1).",
		append([]float64{0}, durationBuckets...)).WithLabelValues()
	m.attemptsPerRequest = histogram("request_attempts", "Attempts of a request by its final answer.",
		[]float64{0, 1, 2, 3, 5}).WithLabelValues()
	m.attempts = counter("attempts_total", "Attempts at report servers by their outcome.", "outcome")
	m.attemptLatency = histogram("attempt_seconds", "Time of an attempt by its outcome.",
		durationBuckets, "outcome")
	m.warmingUpAttempts = counter("cold_attempts_total",
		"Attempts at servers that are not yet warm by the list (rule 4).").WithLabelValues()
	m.violationsPrevented = counter("guarded_total",
		"What would have broken one of the four rules and was stopped.", "rule", "what")
	m.state = newStateCollector()
	reg.MustRegister(m.state)
	if runtime {
		reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	}
	return m
}

// Started implements agent.Observer.
func (m *Metrics) Started(read func(context.Context) (agent.Stats, error)) { m.state.read.Store(&read) }

// RequestAnswered implements agent.Observer.
func (m *Metrics) RequestAnswered(class, verdict string, took, remaining time.Duration, attempts int) {
	m.answers.WithLabelValues(class, verdict).Inc()
	m.latency.WithLabelValues(class, verdict).Observe(took.Seconds())
	m.deadlineSlack.Observe(remaining.Seconds())
	m.attemptsPerRequest.Observe(float64(attempts))
}

// AttemptEnded implements agent.Observer.
func (m *Metrics) AttemptEnded(s policy.Status, took time.Duration) {
	m.attempts.WithLabelValues(outcome(s)).Inc()
	m.attemptLatency.WithLabelValues(outcome(s)).Observe(took.Seconds())
}

// SentToWarmingUp implements agent.Observer.
func (m *Metrics) SentToWarmingUp() { m.warmingUpAttempts.Inc() }

// ViolationPrevented implements agent.Observer.
func (m *Metrics) ViolationPrevented(rule int, what string) {
	m.violationsPrevented.WithLabelValues(strconv.Itoa(rule), what).Inc()
}

// outcome returns the value of the label for the status of an attempt.
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

// Handler returns a handler that serves the metrics at Path.
func (m *Metrics) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+Path, promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{
		MaxRequestsInFlight: maxConcurrentScrapes, Timeout: responseTimeout, ErrorHandling: promhttp.ContinueOnError,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelWarn)}))
	return mux
}

// Serve serves the metrics on a listener until ctx is done.
func (m *Metrics) Serve(ctx context.Context, ln net.Listener) error {
	server := &http.Server{
		Handler: m.Handler(), ReadHeaderTimeout: headerTimeout, WriteTimeout: responseTimeout + headerTimeout,
		IdleTimeout: time.Minute, MaxHeaderBytes: 8 << 10,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelWarn)}
	defer context.AfterFunc(ctx, func() { server.Close() })()
	if err := server.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("metrics: %w", err)
	}
	return nil
}
