// Package simprotocol translates between the simulator's binary frames and the policy's events and actions. It
// makes no decisions.
package simprotocol

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"

	"chalkdoor.example/chalkdoor/policy"
)

// Sizes of records in bytes.
const (
	EventSize  = 48
	ActionSize = 24
	entrySize  = 24      // of a server in a list
	maxFrame   = 1 << 30 // much larger than any valid batch
)

// Event codes.
const (
	codeClientGone    = 16
	codeRequest       = 17
	codeAttemptEnded  = 18
	codeServerList    = 19
	codeStreamStarted = 20
	codeKilled        = 21
	codeDiscovery     = 22
	codePeerMessage   = 23
	codeProbeEnded    = 24
	codeBoot          = 25
	codeTimer         = 26
)

// Action codes.
const (
	codeCloseIdle = 80
	codeReject    = 81
	codeProbe     = 82
	codeWatch     = 83
	codeSend      = 84
	codeFetch     = 85
	codeCrash     = 87
	codeSetTimer  = 88
	codeCancel    = 89
	codeFail      = 90
	codeLog       = 91
)

// Kind is the kind of a record of a batch.
type Kind uint8

// The kinds of records, with the fields of Record that they set.
const (
	Boot   Kind = iota + 1 // Instance, Seed, Settings
	Killed                 // Instance
	Event                  // Instance, Event
)

// Record is one decoded event record of a batch. Numbers of server lists are already resolved.
type Record struct {
	Kind     Kind
	Instance uint32
	Seed     uint64
	Settings []byte
	Event    policy.Event
}

// Decoder reads batches from a stream. It stores the numbered server lists, which all instances share read-only.
type Decoder struct {
	reader      io.Reader
	buffer      []byte
	serverLists [16][]policy.Endpoint
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{reader: r} }

// Next reads one batch and calls fn for each record in order, with the clock of the batch. It returns io.EOF if
// the input ends before a batch.
func (d *Decoder) Next(fn func(now float64, rec *Record) error) error {
	var head [8]byte
	if _, err := io.ReadFull(d.reader, head[:]); err != nil {
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return io.EOF
		}
		return fmt.Errorf("batch header: truncated: %w", err)
	}
	count, size := binary.BigEndian.Uint32(head[:4]), binary.BigEndian.Uint32(head[4:])
	if size < 8 || size > maxFrame {
		return fmt.Errorf("batch header: length: %d is out of range", size)
	}
	if uint64(count)*EventSize > uint64(size)-8 {
		return fmt.Errorf("batch header: number of records: %d do not fit into %d bytes", count, size)
	}
	if err := d.readBatch(int(size)); err != nil {
		return err
	}
	now := getF64(d.buffer)
	if math.IsNaN(now) || math.IsInf(now, 0) {
		return fmt.Errorf("batch header: clock: not a number")
	}
	records := d.buffer[8 : 8+int(count)*EventSize]
	tail := d.buffer[8+len(records):]
	var rec Record
	for i := 0; i < int(count); i++ {
		raw := records[i*EventSize : (i+1)*EventSize]
		rec = Record{}
		if err := d.decode(raw, tail, &rec); err != nil {
			return fmt.Errorf("record %d: %w", i, err)
		}
		if rec.Kind == 0 {
			continue // a server list, which decode has stored
		}
		if err := fn(now, &rec); err != nil {
			return err
		}
	}
	return nil
}

// readBatch reads size bytes in steps, so that a false length allocates at most about twice what arrives.
func (d *Decoder) readBatch(size int) error {
	const step = 1 << 20
	d.buffer = d.buffer[:0]
	for len(d.buffer) < size {
		n := min(step, size-len(d.buffer))
		at := len(d.buffer)
		if cap(d.buffer) < at+n {
			d.buffer = append(d.buffer, make([]byte, n)...)
		}
		d.buffer = d.buffer[:at+n]
		if _, err := io.ReadFull(d.reader, d.buffer[at:]); err != nil {
			return fmt.Errorf("batch: truncated at %d of %d bytes: %w", at, size, err)
		}
	}
	return nil
}

// tailSlice returns the bytes of the tail that an (offset, length) field refers to. The length is in units of unit
// bytes.
func tailSlice(field string, raw, tail []byte, unit int) ([]byte, error) {
	off, n := uint64(binary.BigEndian.Uint32(raw)), uint64(binary.BigEndian.Uint32(raw[4:]))
	if off+n*uint64(unit) > uint64(len(tail)) {
		return nil, fmt.Errorf("%s: offset %d and length %d pass the tail's %d bytes", field, off, n, len(tail))
	}
	return tail[off : off+n*uint64(unit)], nil
}

func (d *Decoder) decode(raw, tail []byte, rec *Record) (err error) {
	be := binary.BigEndian
	rec.Kind = Event
	rec.Instance = be.Uint32(raw[1:])
	ev := &rec.Event
	switch raw[0] {
	case codeBoot:
		rec.Kind, rec.Seed = Boot, be.Uint64(raw[5:])
		rec.Settings, err = tailSlice("boot: settings", raw[13:], tail, 1)
		return err
	case codeKilled:
		rec.Kind = Killed
	case codeServerList:
		rec.Kind = 0
		return d.decodeServerList(raw, tail)
	case codeDiscovery:
		ev.Kind, ev.Update = policy.EventDiscovery, policy.UpdateKind(raw[5])
		if raw[5] > uint8(policy.UpdateFailed) {
			return fmt.Errorf("targets: mode: unknown value %d", raw[5])
		}
		if ev.Update != policy.UpdateFailed {
			list := be.Uint32(raw[10:])
			if int64(list) >= int64(len(d.serverLists)) {
				return fmt.Errorf("targets: table: %d is out of range", list)
			}
			ev.Endpoints = d.serverLists[list]
		}
	case codeRequest:
		ev.Kind, ev.Request = policy.EventRequest, policy.RequestID(be.Uint32(raw[5:]))
		ev.Class, ev.Tenant = int(be.Uint16(raw[9:])), int(be.Uint32(raw[11:]))
		ev.Key, ev.RemainingMs, ev.WorkHintMs = be.Uint64(raw[15:]), getF64(raw[23:]), getF64(raw[31:])
		ev.HasWorkHint, ev.IsRetry = raw[39]&1 != 0, raw[39]&2 != 0
	case codeAttemptEnded:
		ev.Kind, ev.Request = policy.EventAttemptEnded, policy.RequestID(be.Uint32(raw[5:]))
		ev.Attempt, ev.Server = int(be.Uint16(raw[9:])), policy.Addr(raw[11:17])
		ev.Status, ev.LatencyMs = policy.Status(be.Uint16(raw[17:])), getF64(raw[19:])
		ev.Final = raw[27] != 0
		ev.LoadReport, err = decodeLoadReport("verdict: report", raw[28:])
		if err == nil && (ev.Status != policy.OK && (ev.Status < policy.Error || ev.Status > policy.NotSent)) {
			err = fmt.Errorf("verdict: ending: unknown value %d", ev.Status)
		}
	case codeStreamStarted:
		ev.Kind, ev.Request = policy.EventStreamStarted, policy.RequestID(be.Uint32(raw[5:]))
		ev.Server, ev.LatencyMs, ev.Attempt = policy.Addr(raw[9:15]), getF64(raw[15:]), int(be.Uint16(raw[23:]))
	case codeClientGone:
		ev.Kind, ev.Request = policy.EventClientGone, policy.RequestID(be.Uint32(raw[5:]))
	case codeProbeEnded:
		ev.Kind, ev.Server = policy.EventProbeEnded, policy.Addr(raw[5:11])
		ev.Status, ev.LatencyMs = policy.Status(be.Uint16(raw[11:])), getF64(raw[13:])
		ev.LoadReport, err = decodeLoadReport("health: report", raw[21:])
	case codeTimer:
		ev.Kind, ev.Token = policy.EventTimer, be.Uint32(raw[5:])
	case codePeerMessage:
		ev.Kind = policy.EventPeerMessage
		_, err = tailSlice("peer_data: msg", raw[9:], tail, 1)
	default:
		return fmt.Errorf("code: unknown event %d", raw[0])
	}
	return err
}

func (d *Decoder) decodeServerList(raw, tail []byte) error {
	be := binary.BigEndian
	list := be.Uint32(raw[1:])
	if int64(list) >= int64(len(d.serverLists)) {
		return fmt.Errorf("pool: table: %d is out of range", list)
	}
	rawEntries, err := tailSlice("pool: hosts", raw[5:], tail, entrySize)
	if err != nil {
		return err
	}
	entries := make([]policy.Endpoint, 0, len(rawEntries)/entrySize)
	for ; len(rawEntries) > 0; rawEntries = rawEntries[entrySize:] {
		if rawEntries[10] > uint8(policy.Removed) {
			return fmt.Errorf("pool: health: unknown value %d", rawEntries[10])
		}
		entries = append(entries, policy.Endpoint{
			Zone:      int(be.Uint16(rawEntries)),
			StartedMs: getF64(rawEntries[2:]),
			Status:    policy.ListedStatus(rawEntries[10]),
			Server:    policy.Addr(rawEntries[11:17]),
			Weight:    float64(math.Float32frombits(be.Uint32(rawEntries[17:]))),
			Cell:      int(be.Uint16(rawEntries[21:])),
			Kind:      int(rawEntries[23]),
		})
	}
	d.serverLists[list] = entries // a new slice: earlier events keep the old list
	return nil
}

func decodeLoadReport(field string, raw []byte) ([]float32, error) {
	if raw[0] == 0 {
		return nil, nil
	}
	if raw[0] > 4 {
		return nil, fmt.Errorf("%s: %d values, at most 4", field, raw[0])
	}
	values := make([]float32, raw[0])
	for i := range values {
		values[i] = math.Float32frombits(binary.BigEndian.Uint32(raw[1+4*i:]))
	}
	return values, nil
}

// ParseSettings parses the JSON text of a boot record. It ignores unknown keys.
func ParseSettings(text []byte) (policy.Settings, error) {
	var s policy.Settings
	if err := json.Unmarshal(text, &s); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			return s, fmt.Errorf("settings: %s: cannot be a %s", typeErr.Field, typeErr.Value)
		}
		return s, fmt.Errorf("settings: no JSON: %w", err)
	}
	return s, nil
}

// Encoder builds one reply frame.
type Encoder struct {
	count   uint32
	records []byte
	tail    []byte
}

// Reset discards the frame built so far.
func (e *Encoder) Reset() { e.count, e.records, e.tail = 0, e.records[:0], e.tail[:0] }

func (e *Encoder) appendRecord(code byte, instance uint32) []byte {
	at := len(e.records)
	e.records = append(e.records, make([]byte, ActionSize)...)
	e.count++
	raw := e.records[at:]
	raw[0] = code
	binary.BigEndian.PutUint32(raw[1:], instance)
	return raw
}

func (e *Encoder) appendTextRecord(code byte, instance uint32, text string) {
	raw := e.appendRecord(code, instance)
	binary.BigEndian.PutUint32(raw[5:], uint32(len(e.tail)))
	binary.BigEndian.PutUint32(raw[9:], uint32(len(text)))
	e.tail = append(e.tail, text...)
}

// Crash appends a report that the decision code of an instance failed.
func (e *Encoder) Crash(instance uint32, text string) { e.appendTextRecord(codeCrash, instance, text) }

// Add appends one action of an instance.
func (e *Encoder) Add(instance uint32, a *policy.Action) {
	be := binary.BigEndian
	switch a.Kind {
	case policy.ActionSend:
		raw := e.appendRecord(codeSend, instance)
		be.PutUint32(raw[5:], uint32(a.Request))
		copy(raw[9:15], a.Server[:])
		putF64(raw[15:], a.DurationMs)
	case policy.ActionCancel:
		raw := e.appendRecord(codeCancel, instance)
		be.PutUint32(raw[5:], uint32(a.Request))
		be.PutUint16(raw[9:], uint16(a.Attempt))
	case policy.ActionReject:
		raw := e.appendRecord(codeReject, instance)
		be.PutUint32(raw[5:], uint32(a.Request))
		putF64(raw[9:], a.DurationMs)
	case policy.ActionFail:
		be.PutUint32(e.appendRecord(codeFail, instance)[5:], uint32(a.Request))
	case policy.ActionProbe:
		copy(e.appendRecord(codeProbe, instance)[5:11], a.Server[:])
	case policy.ActionTimer:
		raw := e.appendRecord(codeSetTimer, instance)
		putF64(raw[5:], a.DurationMs)
		be.PutUint32(raw[13:], a.Token)
	case policy.ActionWatch:
		e.appendRecord(codeWatch, instance)[5] = 1
	case policy.ActionFetch:
		e.appendRecord(codeFetch, instance)
	case policy.ActionCloseIdle:
		copy(e.appendRecord(codeCloseIdle, instance)[5:11], a.Server[:])
	case policy.ActionLog:
		e.appendTextRecord(codeLog, instance, a.Text)
	}
}

// WriteTo writes the reply frame.
func (e *Encoder) WriteTo(w io.Writer) (int64, error) {
	var head [8]byte
	binary.BigEndian.PutUint32(head[:], e.count)
	binary.BigEndian.PutUint32(head[4:], uint32(len(e.records)+len(e.tail)))
	var total int64
	for _, part := range [][]byte{head[:], e.records, e.tail} {
		n, err := w.Write(part)
		total += int64(n)
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

func getF64(raw []byte) float64 { return math.Float64frombits(binary.BigEndian.Uint64(raw)) }

func putF64(raw []byte, v float64) { binary.BigEndian.PutUint64(raw, math.Float64bits(v)) }
