package modelserver

import (
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// The headers that clients, agents and servers exchange.
const (
	HeaderAttempt  = "Chalkdoor-Attempt-Id"
	HeaderDeadline = "Chalkdoor-Deadline-Ms"
	HeaderExpect   = "Chalkdoor-Expect-Instance"
	HeaderInstance = "Chalkdoor-Instance-Id"
	HeaderLoad     = "Chalkdoor-Server-Load"
	HeaderModel    = "Chalkdoor-Model"
	HeaderNotRun   = "Chalkdoor-Not-Run"
	HeaderPrefix   = "Chalkdoor-Prompt-Prefix"
	HeaderSeal     = "Chalkdoor-Server-Seal"
	HeaderTokens   = "Chalkdoor-Token-Count"
	HeaderVersion  = "Expect-Version"
	HeaderVersions = "Versions"
	HeaderLastID   = "Last-Event-Id"
	HeaderPriority = "Priority"
	ReportPath     = "/chalkdoor/report"
)

const (
	// maxParts bounds the parts of a prompt.
	maxParts = 64
	// maxTokens bounds each token count of a request.
	maxTokens = 1 << 20
)

// Prompt is the input of a request to a model. Every server gives the same response to equal prompts, so that events of
// different runs can be compared.
type Prompt struct {
	Model    string
	Tokens   string // value of the Chalkdoor-Token-Count header: PROMPT,MAXIMUM
	Prefix   string // value of the Chalkdoor-Prompt-Prefix header; empty if no part of the prompt is shared
	BodyHash uint64 // Hash of the request's body
}

// PromptOf returns the prompt of a request from its headers and the Hash of its body.
func PromptOf(h http.Header, bodyHash uint64) Prompt {
	return Prompt{h.Get(HeaderModel), h.Get(HeaderTokens), h.Get(HeaderPrefix), bodyHash}
}

// Hash returns a hash of texts.
func Hash(text ...string) uint64 {
	f := fnv.New64a()
	for _, t := range text {
		f.Write([]byte(t))
		f.Write([]byte{0})
	}
	x := f.Sum64() // FNV's high bits hardly depend on the last byte, so they are mixed below
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func (p Prompt) hash() uint64 {
	return Hash(p.Model, p.Tokens, p.Prefix, strconv.FormatUint(p.BodyHash, 16))
}

// parse returns the prompt's parts and the maximum number of output tokens.
func (p Prompt) parse() (parts []Part, maxOutput int, err error) {
	in, out, ok := strings.Cut(p.Tokens, ",")
	tokens, err1 := strconv.Atoi(strings.TrimSpace(in))
	maxOutput, err2 := strconv.Atoi(strings.TrimSpace(out))
	if !ok || err1 != nil || err2 != nil || tokens < 1 || maxOutput < 1 || tokens > maxTokens || maxOutput > maxTokens {
		return nil, 0, errors.Errorf("%s %q: give PROMPT,MOST", HeaderTokens, p.Tokens)
	}
	if p.Prefix == "" { // no other prompt shares a part of it
		return []Part{{strconv.FormatUint(p.hash(), 16), tokens}}, maxOutput, nil
	}
	for _, f := range strings.Split(p.Prefix, ",") {
		id, n, ok := strings.Cut(strings.TrimSpace(f), ":")
		tokens, err := strconv.Atoi(n)
		if !ok || id == "" || err != nil || tokens < 1 || tokens > maxTokens || len(parts) == maxParts {
			return nil, 0, errors.Errorf("%s %q: give at most %d of ID:TOKENS", HeaderPrefix, p.Prefix, maxParts)
		}
		parts = append(parts, Part{id, tokens})
	}
	return parts, maxOutput, nil
}

// OutputTokens returns the length of the response in tokens: between half of the maximum and the maximum; 0 if the
// prompt is invalid.
func (p Prompt) OutputTokens() int {
	_, maxOutput, err := p.parse()
	if err != nil {
		return 0
	}
	return maxOutput - int(p.hash()%uint64(maxOutput/2+1))
}

// EventCount returns the number of events of the response, with stride tokens per event.
func (p Prompt) EventCount(stride int) int { return (p.OutputTokens() + stride - 1) / stride }

// EventText returns the text of event n, which is the same on every server.
func (p Prompt) EventText(n int) string {
	return strconv.FormatUint(Hash(strconv.FormatUint(p.hash(), 16), strconv.Itoa(n)), 16)
}

// event encodes an event for the stream, with the seal of the run that produced it and the time.
func (p Prompt) event(n int, seal string, at time.Duration, last bool) []byte {
	b := []byte("id: " + strconv.Itoa(n) + "\ndata: " + p.EventText(n) + " " + seal + " " + strconv.FormatInt(at.Microseconds(), 10))
	if last {
		b = append(b, " last"...)
	}
	return append(b, "\n\n"...)
}

// Event is one event of a stream as a client receives it.
type Event struct {
	N    int // number of the event, from 1
	Text string
	Seal string        // identifies the run that produced the event
	At   time.Duration // when the server produced it (Config.Now), in whole microseconds
	Last bool          // it is the last event of the stream
}

// ParseEvent parses the lines of one event, without the empty line that ends it.
func ParseEvent(lines []string) (e Event, err error) {
	for _, l := range lines {
		key, value, ok := strings.Cut(l, ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case !ok:
			return e, errors.Errorf("line %q of an event has no field name", l)
		case key == "id":
			if e.N, err = strconv.Atoi(value); err != nil {
				return e, errors.Errorf("event id %q is not a number", value)
			}
		case key == "data":
			f := strings.Fields(value)
			if len(f) < 3 || len(f) > 4 || len(f) == 4 && f[3] != "last" {
				return e, errors.Errorf("event data %q does not have the format of a model server", value)
			}
			us, err := strconv.ParseInt(f[2], 10, 64)
			if err != nil {
				return e, errors.Errorf("event data %q does not have the format of a model server", value)
			}
			e.Text, e.Seal, e.At, e.Last = f[0], f[1], time.Duration(us)*time.Microsecond, len(f) == 4
		case strings.EqualFold(key, HeaderVersions):
		default:
			return e, errors.Errorf("line %q of an event has a field that servers don't send", l)
		}
	}
	if e.N < 1 || e.Seal == "" {
		return e, errors.Errorf("event %q lacks its id or data", lines)
	}
	return e, nil
}
