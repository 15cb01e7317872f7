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

// maxParts bounds the parts of a prompt, maxTokens each of its counts.
const (
	maxParts  = 64
	maxTokens = 1 << 20
)

// Prompt is what a request asks of a model. Equal prompts get equal answers of every server,
// so that pieces of different runs can be compared.
type Prompt struct {
	Model  string
	Tokens string // Chalkdoor-Token-Count as it came
	Prefix string // Chalkdoor-Prompt-Prefix as it came
	Body   uint64 // the body's Sum
}

// PromptOf is the prompt of a request with a body of that sum.
func PromptOf(h http.Header, body uint64) Prompt {
	return Prompt{h.Get(HeaderModel), h.Get(HeaderTokens), h.Get(HeaderPrefix), body}
}

// Sum tells one text from another.
func Sum(text ...string) uint64 {
	f := fnv.New64a()
	for _, t := range text {
		f.Write([]byte(t))
		f.Write([]byte{0})
	}
	x := f.Sum64() // whose high bits hardly hang on the last byte
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func (p Prompt) sum() uint64 {
	return Sum(p.Model, p.Tokens, p.Prefix, strconv.FormatUint(p.Body, 16))
}

// parse gives the prompt's parts and the most tokens that are wanted.
func (p Prompt) parse() (parts []Part, most int, err error) {
	in, out, ok := strings.Cut(p.Tokens, ",")
	tokens, err1 := strconv.Atoi(strings.TrimSpace(in))
	most, err2 := strconv.Atoi(strings.TrimSpace(out))
	if !ok || err1 != nil || err2 != nil || tokens < 1 || most < 1 || tokens > maxTokens || most > maxTokens {
		return nil, 0, errors.Errorf("%s %q: give PROMPT,MOST", HeaderTokens, p.Tokens)
	}
	if p.Prefix == "" { // nobody shares it
		return []Part{{strconv.FormatUint(p.sum(), 16), tokens}}, most, nil
	}
	for _, f := range strings.Split(p.Prefix, ",") {
		id, n, ok := strings.Cut(strings.TrimSpace(f), ":")
		tokens, err := strconv.Atoi(n)
		if !ok || id == "" || err != nil || tokens < 1 || tokens > maxTokens || len(parts) == maxParts {
			return nil, 0, errors.Errorf("%s %q: give at most %d of ID:TOKENS", HeaderPrefix, p.Prefix, maxParts)
		}
		parts = append(parts, Part{id, tokens})
	}
	return parts, most, nil
}

// Out is how many tokens the answer has: up to the most, at least half of it.
func (p Prompt) Out() int {
	_, most, err := p.parse()
	if err != nil {
		return 0
	}
	return most - int(p.sum()%uint64(most/2+1))
}

// Pieces is how many events the answer has with so many tokens to one.
func (p Prompt) Pieces(stride int) int { return (p.Out() + stride - 1) / stride }

// Text is what event n says, whichever server makes it.
func (p Prompt) Text(n int) string {
	return strconv.FormatUint(Sum(strconv.FormatUint(p.sum(), 16), strconv.Itoa(n)), 16)
}

// event is one event on the wire. It names the run that made it by its seal, and when.
func (p Prompt) event(n int, seal string, at time.Duration, last bool) []byte {
	b := []byte("id: " + strconv.Itoa(n) + "\ndata: " + p.Text(n) + " " + seal + " " + strconv.FormatInt(at.Microseconds(), 10))
	if last {
		b = append(b, " last"...)
	}
	return append(b, "\n\n"...)
}

// Event is one event of a stream as a client reads it.
type Event struct {
	N    int
	Text string
	Seal string        // of the run that made it
	At   time.Duration // when it was made, by the servers' clock, in whole microseconds
	Last bool
}

// ParseEvent reads the lines of one event, as they stand before its empty line.
func ParseEvent(lines []string) (e Event, err error) {
	for _, l := range lines {
		key, value, ok := strings.Cut(l, ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case !ok:
			return e, errors.Errorf("line %q of an event has no name", l)
		case key == "id":
			if e.N, err = strconv.Atoi(value); err != nil {
				return e, errors.Errorf("event id %q is no number", value)
			}
		case key == "data":
			f := strings.Fields(value)
			if len(f) < 3 || len(f) > 4 || len(f) == 4 && f[3] != "last" {
				return e, errors.Errorf("event data %q is no server's", value)
			}
			us, err := strconv.ParseInt(f[2], 10, 64)
			if err != nil {
				return e, errors.Errorf("event data %q is no server's", value)
			}
			e.Text, e.Seal, e.At, e.Last = f[0], f[1], time.Duration(us)*time.Microsecond, len(f) == 4
		case strings.EqualFold(key, HeaderVersions):
		default:
			return e, errors.Errorf("line %q of an event is no server's", l)
		}
	}
	if e.N < 1 || e.Seal == "" {
		return e, errors.Errorf("event %q lacks its id or data", lines)
	}
	return e, nil
}
