package quota

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
)

const (
	// recordFormat is the first byte of a record and identifies its format.
	recordFormat = 1
	// recordInterval is the interval at which it is checked whether a record is due, and so the minimum time
	// between two records.
	recordInterval = 100 * time.Millisecond
	// recordBytesPerS bounds the bytes written per second: after a large record the next one waits longer.
	recordBytesPerS = 128 << 10
)

var (
	// errRecordFormat is returned for a record in an unknown format.
	errRecordFormat = errors.New("the quota record has an unknown format; shares start as on an empty disk")
	// errNoDisk is returned if a record can't be written because the process has no disk.
	errNoDisk = errors.New("this process has no disk for quota records")
)

// record is what a member of the core keeps on disk for its next process.
type record struct {
	Floors map[string]float64 `msgpack:"f"` // by tenant
	// Deputy is the address of the deputy whose term may not have ended; empty if there is none.
	Deputy string `msgpack:"d,omitempty"`
	// Settled is set if the process had run for a window; see Ledger.Settled.
	Settled bool `msgpack:"s,omitempty"`
}

func encodeRecord(r *record) ([]byte, error) {
	raw, err := msgpack.Marshal(r)
	return append([]byte{recordFormat}, raw...), err
}

func decodeRecord(raw []byte) (*record, error) {
	if len(raw) == 0 || raw[0] != recordFormat {
		return nil, errRecordFormat
	}
	decoded := &record{}
	if err := msgpack.Unmarshal(raw[1:], decoded); err != nil {
		return nil, errors.Wrap(err, "decode the quota record")
	}
	return decoded, nil
}

// restore continues from the record of an earlier process of this member. Without a record the shares start as on an
// empty disk, and half of each share is reserved for one term, as an earlier process may have appointed a deputy.
func (b *Broker) restore(raw []byte) {
	if !b.options.FirstStart {
		b.deputy = deputy{termEnd: deputyTerm + deputyMargin}
	}
	if raw == nil {
		return
	}
	saved, err := decodeRecord(raw)
	if err != nil {
		logevent.QuotaRecordUnreadable.Error(err)
		return
	}
	b.ledger.Restore(saved.Floors, saved.Settled)
	b.deputy.addr = saved.Deputy
	b.recordedDeputy, b.recordedSettled = saved.Deputy, saved.Settled
	if saved.Deputy == "" {
		b.deputy.termEnd = 0
	}
}

// runRecorder writes records when they are due, until ctx ends.
func (b *Broker) runRecorder(ctx context.Context) {
	wait := time.NewTimer(recordInterval)
	defer wait.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-wait.C:
		}
		size := 0
		if b.recordDue() {
			size, _ = b.writeRecord()
		}
		wait.Reset(max(recordInterval, time.Duration(size)*time.Second/recordBytesPerS))
	}
}

// recordDue reports whether the newest record differs too much from the state of this process.
func (b *Broker) recordDue() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	return b.deputyToRecordLocked() != b.recordedDeputy || b.ledger.Settled(now) != b.recordedSettled ||
		b.ledger.RecordDue(now)
}

// deputyToRecordLocked returns the address of the deputy that has a term or is being appointed; empty if there is
// none.
func (b *Broker) deputyToRecordLocked() string {
	switch {
	case b.appointee != "":
		return b.appointee
	case b.now() < b.deputy.termEnd:
		return b.deputy.addr
	}
	return ""
}

// writeRecord writes a record and returns its size in bytes. It returns once the record is on disk.
func (b *Broker) writeRecord() (size int, err error) {
	if b.options.SaveRecord == nil {
		return 0, errNoDisk
	}
	b.recordSemaphore <- struct{}{}
	defer func() { <-b.recordSemaphore }()
	b.mu.Lock()
	now := b.now()
	next := &record{Floors: b.ledger.BeginRecord(now), Deputy: b.deputyToRecordLocked(), Settled: b.ledger.Settled(now)}
	b.mu.Unlock()
	raw, err := encodeRecord(next)
	if err == nil {
		err = b.options.SaveRecord(raw)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.EndRecord(err == nil)
	if err == nil {
		b.recordedDeputy, b.recordedSettled = next.Deputy, next.Settled
	}
	return len(raw), err
}
