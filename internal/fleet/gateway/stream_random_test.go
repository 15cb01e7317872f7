package gateway

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/settings"
)

// randomFault is what a server of a randomStream does.
type randomFault int

// The faults. All but faultNotRun occur after some events of the stream.
const (
	faultNotRun randomFault = iota // it states that it has not executed the request
	faultReset
	faultClose
	faultWithinEvent
	faultWithinChunk
	faultWithinLastChunk
	faultRepeatedEvent
	faultMissingEvent
	faultMalformedChunk
	// Two values stand for a server without a fault, to make it more likely. It sends the complete stream,
	// and perhaps surplus bytes after it.
	faultNone
	faultNoneDuplicate
	randomFaultCount
)

// randomStreamEvents is the number of events of a complete stream.
const randomStreamEvents = 12

// randomStream is a stream that servers break off after a random event, by a random fault.
type randomStream struct {
	path string

	mu         sync.Mutex // guards the fields below
	random     *rand.Rand
	history    []string // what the servers did
	executions int
}

func newRandomStream(seed uint64) *randomStream {
	random := rand.New(rand.NewPCG(seed, 1))
	paths := []string{"/stream/x", "/quick-once/x", "/resume/x", "/quick/x"}
	return &randomStream{path: paths[random.IntN(len(paths))], random: random}
}

// limitBudget allows no retries for one stream in four.
func (s *randomStream) limitBudget(nodeSettings *settings.Settings) {
	if s.random.IntN(4) == 0 {
		withoutRetryBudget(nodeSettings)
	}
}

// respond is the callScript of the servers.
func (s *randomStream) respond(call *upstreamCall, _ int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	firstID := call.resumeID() + 1
	lastID := firstID - 1 + s.random.IntN(randomStreamEvents-firstID+2)
	fault := randomFault(s.random.IntN(int(randomFaultCount)))
	s.history = append(s.history, fmt.Sprintf("%d to %d, fault %d", firstID, lastID, fault))
	if fault == faultNotRun {
		return call.respondNotRun()
	}
	s.executions++
	call.startStream(fmt.Sprint("from ", firstID))
	s.writeInChunks(call, eventTexts(firstID, lastID))
	if lastID == 0 && (fault == faultRepeatedEvent || fault == faultMissingEvent) {
		fault = faultClose // any ID is valid for the first event
	}
	return s.breakOff(call, lastID, fault)
}

// writeInChunks writes events in chunks of a random size.
func (s *randomStream) writeInChunks(call *upstreamCall, events string) {
	for size := 1 + s.random.IntN(120); len(events) > 0; {
		length := min(size, len(events))
		call.writeChunk(events[:length])
		events = events[length:]
	}
}

// breakOff ends a stream after the event with the ID lastID, by the given fault.
func (s *randomStream) breakOff(call *upstreamCall, lastID int, fault randomFault) bool {
	partialEvent := eventText(lastID + 1)[:7]
	switch fault {
	case faultReset:
		return call.resetOnClose()
	case faultClose:
		return false
	case faultWithinEvent:
		call.writeChunk(partialEvent)
		return false
	case faultWithinChunk:
		call.write("40\r\n%s", partialEvent)
		return false
	case faultWithinLastChunk:
		call.write("0\r\n")
		return false
	case faultRepeatedEvent:
		return call.writeChunk(eventText(lastID)) && call.endStream()
	case faultMissingEvent:
		return call.writeChunk(eventText(lastID+2)) && call.endStream()
	case faultMalformedChunk:
		return call.write("HTTP/1.1 200 OK\r\n\r\n")
	}
	surplus := []string{"", "\r\n", "HTTP/1.1 200 OK\r\n"}
	return call.writeEvents(lastID+1, randomStreamEvents) && call.endStream() &&
		call.write("%s", surplus[s.random.IntN(len(surplus))])
}

// TestStreamsUnderRandomFaults checks that, whatever the faults of the servers, a client receives only complete
// events from the beginning of the stream, and a response that looks complete only if the stream is.
func TestStreamsUnderRandomFaults(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			stream := newRandomStream(seed)
			harness := newHarness(t, 3, stream.respond, stream.limitBudget)
			harness.update(harness.document(quickRoutes))
			client := harness.dial()
			client.write(postRequest(stream.path, "", "q"))
			resp, body, err := client.tryReadResponse()
			stream.mu.Lock()
			defer stream.mu.Unlock()
			description := fmt.Sprintf("%s: %s -> %d %q %v", stream.path, strings.Join(stream.history, "; "), resp.StatusCode, body, err)
			if !resumable(stream.path) {
				require.LessOrEqual(t, stream.executions, 1, description)
			}
			if resp.StatusCode == 502 || resp.StatusCode == 503 {
				require.NoError(t, err, description)
				require.Empty(t, resp.Header.Get(headerServerSeal), description)
				if resp.StatusCode == 503 {
					require.Zero(t, stream.executions, description)
				}
				return
			}
			require.Equal(t, 200, resp.StatusCode, description)
			require.Equal(t, "from 1", resp.Header.Get(headerServerSeal), description)
			if err == nil {
				require.Equal(t, eventTexts(1, randomStreamEvents), body, description)
			} else {
				require.LessOrEqual(t, len(body), len(eventTexts(1, randomStreamEvents)), description)
				require.Equal(t, eventTexts(1, strings.Count(body, "\n\n")), body, description)
			}
		})
	}
}
