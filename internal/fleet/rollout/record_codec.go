package rollout

import (
	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
	"chalkdoor.example/chalkdoor/internal/fleet/inference"
)

// MaxRecord is the maximum size of an encoded record, in bytes.
const MaxRecord = 256 << 10

// recordFormat is the first byte of an encoded record.
const recordFormat = 1

// Remedies for records that can't be read.
const (
	remedySameVersion   = "run the same version on all machines"
	remedyWriterVersion = "run the version that wrote it"
	remedyOtherReplica  = "read it from another machine of the core"
)

// stablePart is the rarely changing part of a record.
type stablePart struct {
	FullShare []uint64  `msgpack:"f"`
	History   []Summary `msgpack:"h"`
}

// Split encodes the record in two parts for delta sync. The stable part changes about once per server,
// and is sent only when it changes.
func (r *Record) Split() (dynamic, stable []byte, err error) {
	if stable, err = msgpack.Marshal(stablePart{r.FullShare, r.History}); err != nil {
		return nil, nil, errors.Wrap(err, "encode the stable part of a rollout record")
	}
	c := *r
	c.FullShare, c.History = []uint64{checksum(stable)}, nil // Join verifies the checksum
	if dynamic, err = encodeRecord(&c); err != nil {
		return nil, nil, err
	}
	return dynamic, stable, nil
}

// Join decodes the two parts that Split returned. ok is false if they belong to different records: the
// previous record then stays in force until the matching part arrives. Errors are of kind Corrupted.
func Join(dynamic, stable []byte) (r *Record, ok bool, err error) {
	if len(dynamic) == 0 || dynamic[0] != recordFormat || len(dynamic)+len(stable) > MaxRecord {
		return nil, false, apierror.New(apierror.Corrupted, "rollout", remedySameVersion, "a record of %d and %d bytes", len(dynamic), len(stable))
	}
	r = &Record{}
	if err := msgpack.Unmarshal(dynamic[1:], r); err != nil {
		return nil, false, apierror.Wrap(err, apierror.Corrupted, "rollout", remedySameVersion)
	}
	if len(r.FullShare) != 1 || r.FullShare[0] != checksum(stable) {
		return nil, false, nil
	}
	var part stablePart
	if err := msgpack.Unmarshal(stable, &part); err != nil {
		return nil, false, apierror.Wrap(err, apierror.Corrupted, "rollout", remedySameVersion)
	}
	r.FullShare, r.History = part.FullShare, part.History
	return r, true, r.Validate()
}

func checksum(b []byte) uint64 { return inference.HashString(string(b)) }

// Encode encodes the record for storage in the chain. If it exceeds MaxRecord, the error is of kind
// TooLarge.
func (r *Record) Encode() ([]byte, error) {
	raw, err := encodeRecord(r)
	if err == nil && len(raw) > MaxRecord {
		err = apierror.New(apierror.TooLarge, "rollout", "abort it, and move fewer servers of a service at a time",
			"the record has %d bytes, at most %d are stored", len(raw)-1, MaxRecord)
	}
	return raw, err
}

func encodeRecord(r *Record) ([]byte, error) {
	raw, err := msgpack.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode a rollout record")
	}
	return append([]byte{recordFormat}, raw...), nil
}

// Decode decodes and validates an encoded record. Empty input stands for the record before the first
// rollout. Errors are of kind Corrupted.
func Decode(raw []byte) (*Record, error) {
	r := &Record{}
	if len(raw) == 0 {
		return r, nil
	}
	if raw[0] != recordFormat || len(raw) > MaxRecord {
		return nil, apierror.New(apierror.Corrupted, "rollout", remedyWriterVersion, "format %d, %d bytes", raw[0], len(raw))
	}
	if err := msgpack.Unmarshal(raw[1:], r); err != nil {
		return nil, apierror.Wrap(err, apierror.Corrupted, "rollout", remedyOtherReplica)
	}
	return r, r.Validate()
}
