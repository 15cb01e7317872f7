package inference

import "time"

// The latencies that a LatencyModel assumes before anything was measured, in milliseconds.
const (
	// priorFirstTokenMs is the fixed part of the time to the first token.
	priorFirstTokenMs = 20
	// priorPrefillMs is the prefill of a thousand tokens, priorAttentionMs that of a million pairs
	// of tokens.
	priorPrefillMs, priorAttentionMs = 16, 0.3
	// priorDecodeMs is the time between two tokens of a stream that is alone, and
	// priorDecodePerStreamMs what each concurrent stream adds to it.
	priorDecodeMs, priorDecodePerStreamMs = 5, 0.03
	// priorErrorMs, priorMeanPrefillMs and priorMeanDecodeMs start the running means.
	priorErrorMs, priorMeanPrefillMs, priorMeanDecodeMs = 30, 50, 500
)

const (
	// sampleRetention is the weight that the older samples of a fit keep with each new one.
	sampleRetention = 0.99
	// serverSmoothing is the weight of a sample in an average of one server, fleetSmoothing in one
	// of all servers, and orderSmoothing in that of the prefill order, which has few samples.
	serverSmoothing, fleetSmoothing = 0.15, 0.02
	orderSmoothing                  = 5 * fleetSmoothing
	// fifoThreshold is the fifoRatio above which prompts are taken to be prefilled in order of
	// arrival.
	fifoThreshold = 0.5
)

// LatencyModel is what was learned of the latencies of all servers of a service.
type LatencyModel struct {
	firstToken    linearFit
	decode        linearFit
	errorMs       float64 // mean distance of first tokens from their estimates
	meanPrefillMs float64 // of a prompt
	meanDecodeMs  float64 // from a request's first token to its end
	meanPeerQueue float64 // prompts of other agents that wait at a server
	fifoRatio     float64 // part of the short prompts that waited for longer ones before them
}

// NewLatencyModel returns the model to use before anything was measured.
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

// promptFeatures are the features of the first-token fit: a constant, thousands of tokens to
// prefill, and millions of pairs of tokens that attend to each other.
func promptFeatures(cached, uncached int) [3]float64 {
	tokens := float64(uncached)
	return [3]float64{1, tokens / 1e3, tokens * (float64(cached) + tokens/2) / 1e6}
}

// decodeFeatures are the features of the decode fit: a constant and the concurrent streams.
func decodeFeatures(streams int) [3]float64 { return [3]float64{1, float64(streams)} }

// prefillMs is the part of the time to the first token that depends on the prompt.
func (m *LatencyModel) prefillMs(features [3]float64) float64 {
	features[0] = 0
	return m.firstToken.predict(features)
}

// PrefillTime is how long a server takes to prefill uncached tokens behind cached ones.
func (m *LatencyModel) PrefillTime(cached, uncached int) time.Duration {
	return duration(m.prefillMs(promptFeatures(cached, uncached)))
}

// FirstTokenError is the mean distance of first tokens from their estimates.
func (m *LatencyModel) FirstTokenError() time.Duration { return duration(m.errorMs) }

// TimePerOutputToken is the time between two tokens of a stream among so many others.
func (m *LatencyModel) TimePerOutputToken(others int) time.Duration {
	return duration(m.decode.predict(decodeFeatures(others)))
}

// prefillsInOrder reports whether servers prefill prompts in the order of their arrival, rather
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

// maxDurationMs keeps conversions to time.Duration from overflowing.
const maxDurationMs = 1e12

func duration(ms float64) time.Duration {
	return time.Duration(min(ms, maxDurationMs) * float64(time.Millisecond))
}
