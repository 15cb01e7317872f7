package inference

import "time"

// The latencies that a LatencyModel assumes before any measurement, in milliseconds.
const (
	// priorFirstTokenMs is the fixed component of the time to the first token.
	priorFirstTokenMs = 20
	// priorPrefillMs is the prefill time per thousand tokens. priorAttentionMs is the additional time
	// per million pairs of tokens.
	priorPrefillMs, priorAttentionMs = 16, 0.3
	// priorDecodeMs is the time between two tokens of a single stream. priorDecodePerStreamMs is added
	// for each concurrent stream.
	priorDecodeMs, priorDecodePerStreamMs = 5, 0.03
	// priorErrorMs, priorMeanPrefillMs and priorMeanDecodeMs are the initial values of running means.
	priorErrorMs, priorMeanPrefillMs, priorMeanDecodeMs = 30, 50, 500
)

const (
	// sampleRetention is the factor by which the weight of a fit's older samples is multiplied with
	// each new one.
	sampleRetention = 0.99
	// serverSmoothing is the weight of a sample in a mean over one server, and fleetSmoothing in a
	// mean over all servers. orderSmoothing is its weight in fifoRatio, which has few samples.
	serverSmoothing, fleetSmoothing = 0.15, 0.02
	orderSmoothing                  = 5 * fleetSmoothing
	// fifoThreshold is the fifoRatio above which servers are assumed to prefill prompts in order of
	// arrival.
	fifoThreshold = 0.5
)

// LatencyModel holds the latencies that were learned from all servers of a service.
type LatencyModel struct {
	firstToken    linearFit // time to the first token, by promptFeatures
	decode        linearFit // time per output token, by decodeFeatures
	errorMs       float64   // mean absolute error of the estimated first-token times
	meanPrefillMs float64   // mean prefill time of a prompt
	meanDecodeMs  float64   // mean time from a request's first token to its end
	meanPeerQueue float64   // mean number of prompts of other agents that wait at a server
	fifoRatio     float64   // fraction of the short prompts that waited for a longer one before them
}

// NewLatencyModel returns a model of the prior latencies.
func NewLatencyModel() *LatencyModel {
	return &LatencyModel{
		firstToken: newLinearFit(sampleRetention, []float64{priorFirstTokenMs, priorPrefillMs, priorAttentionMs},
			[]float64{2, 40, 2000}, []float64{0.1, 0.5, 0}, []float64{500, 200, 5}),
		decode: newLinearFit(sampleRetention, []float64{priorDecodeMs, priorDecodePerStreamMs},
			[]float64{2, 400}, []float64{0.1, 0}, []float64{200, 5}),
		errorMs:       priorErrorMs,
		meanPrefillMs: priorMeanPrefillMs,
		meanDecodeMs:  priorMeanDecodeMs,
		fifoRatio:     1,
	}
}

// promptFeatures returns the features of the first-token fit: a constant, thousands of tokens to
// prefill, and millions of pairs of tokens that attend to each other.
func promptFeatures(cached, uncached int) [3]float64 {
	tokens := float64(uncached)
	return [3]float64{1, tokens / 1e3, tokens * (float64(cached) + tokens/2) / 1e6}
}

// decodeFeatures returns the features of the decode fit: a constant and the number of streams.
func decodeFeatures(streams int) [3]float64 { return [3]float64{1, float64(streams)} }

// prefillMs returns the component of the time to the first token that depends on the prompt.
func (m *LatencyModel) prefillMs(features [3]float64) float64 {
	features[0] = 0
	return m.firstToken.predict(features)
}

// PrefillTime estimates how long a server takes to prefill uncached tokens that follow cached ones.
func (m *LatencyModel) PrefillTime(cached, uncached int) time.Duration {
	return duration(m.prefillMs(promptFeatures(cached, uncached)))
}

// FirstTokenError returns the mean absolute error of the estimated times to the first token.
func (m *LatencyModel) FirstTokenError() time.Duration { return duration(m.errorMs) }

// TimePerOutputToken estimates the time between two tokens of a stream; others is the number of
// concurrent streams.
func (m *LatencyModel) TimePerOutputToken(others int) time.Duration {
	return duration(m.decode.predict(decodeFeatures(others)))
}

// prefillsInOrder reports whether servers are assumed to prefill prompts in order of arrival rather
// than interleaved.
func (m *LatencyModel) prefillsInOrder() bool { return m.fifoRatio > fifoThreshold }

// observeOrder records whether a short prompt waited for a longer one before it.
func (m *LatencyModel) observeOrder(waited bool) {
	sample := 0.0
	if waited {
		sample = 1
	}
	m.fifoRatio += orderSmoothing * (sample - m.fifoRatio)
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// maxDurationMs bounds conversions to time.Duration so that they do not overflow.
const maxDurationMs = 1e12

func duration(ms float64) time.Duration {
	return time.Duration(min(ms, maxDurationMs) * float64(time.Millisecond))
}
