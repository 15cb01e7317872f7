package quota

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
)

const (
	// recordFormat is the first byte of a record.
	recordFormat = 1
	// recordInterval is how often it is looked whether a record is due, and the least time between two.
	recordInterval = 100 * time.Millisecond
	// recordBytesPerS bounds what is written: after a large record the next one waits for longer.
	recordBytesPerS = 128 << 10
)

var (
	// errRecordFormat is returned for a record of another version.
	errRecordFormat = errors.New("the record of the quotas has an unknown format; shares begin as on an empty disk")
	// errNoDisk is returned for a record of a process without a disk.
	errNoDisk = errors.New("this process has no disk for a record of the quotas")
)

// record is what a member of the core keeps on its disk for its next process.
type record struct {
	Floors map[string]float64 `msgpack:"f"` // by tenant
	// Deputy is the address of the deputy that may have a term, "" if none may.
	Deputy string `msgpack:"d,omitempty"`
	// Settled tells that the process had run for a window.
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
		return nil, errors.Wrap(err, "decode the record of the quotas")
	}
	return decoded, nil
}

// restore continues from the record of an earlier process of this member. Without one the shares and the
// deputy are as after the loss of a disk: an earlier process may have had both.
func (b *Broker) restore(raw []byte) {
	if !b.options.FirstStart {
		b.deputy = deputy{until: deputyTerm + deputyMargin}
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
		b.deputy.until = 0
	}
}

// runRecorder writes records as they are due, until ctx ends.
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

// recordDue reports whether the newest record is too far from what this process holds.
func (b *Broker) recordDue() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	return b.deputyToRecordLocked() != b.recordedDeputy || b.ledger.Settled(now) != b.recordedSettled ||
		b.ledger.RecordDue(now)
}

// deputyToRecordLocked is the address of the deputy that has a term or is about to have one, "" if there
// is none.
func (b *Broker) deputyToRecordLocked() string {
	switch {
	case b.appointing != "":
		return b.appointing
	case b.now() < b.deputy.until:
		return b.deputy.addr
	}
	return ""
}

// writeRecord writes a record, and returns its size in bytes once it is on disk.
func (b *Broker) writeRecord() (size int, err error) {
	if b.options.SaveRecord == nil {
		return 0, errNoDisk
	}
	b.recording <- struct{}{}
	defer func() { <-b.recording }()
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
