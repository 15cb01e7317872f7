package rollout

import (
	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
	"chalkdoor.example/chalkdoor/internal/fleet/inference"
)

// MaxRecord is the largest encoded record, in bytes.
const MaxRecord = 256 << 10

// recordFormat is the first byte of an encoded record.
const recordFormat = 1

// Remedies for records that can't be read.
const (
	remedySameVersion   = "run the same version on all machines"
	remedyWriterVersion = "run the version that wrote it"
	remedyOtherReplica  = "read it from another machine of the core"
)

// stablePart is the part of a record that seldom changes.
type stablePart struct {
	FullShare []uint64  `msgpack:"f"`
	History   []Summary `msgpack:"h"`
}

// Split encodes the record in two parts for delta sync, so that the second, which changes once per
// server, is sent again only then.
func (r *Record) Split() (dynamic, stable []byte, err error) {
	if stable, err = msgpack.Marshal(stablePart{r.FullShare, r.History}); err != nil {
		return nil, nil, errors.Wrap(err, "encode the stable part of a rollout record")
	}
	c := *r
	c.FullShare, c.History = []uint64{checksum(stable)}, nil // Join verifies it
	if dynamic, err = encodeRecord(&c); err != nil {
		return nil, nil, err
	}
	return dynamic, stable, nil
}

// Join decodes what Split made. ok is false while the parts are of two records: the record before
// them stays in force until the other part arrives. Errors are of kind Corrupted.
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
	var rest stablePart
	if err := msgpack.Unmarshal(stable, &rest); err != nil {
		return nil, false, apierror.Wrap(err, apierror.Corrupted, "rollout", remedySameVersion)
	}
	r.FullShare, r.History = rest.FullShare, rest.History
	return r, true, r.Validate()
}

func checksum(b []byte) uint64 { return inference.HashString(string(b)) }

// Encode is the record as the chain stores it. A record beyond MaxRecord is an error of kind
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

// Decode reads and validates what Encode made; no bytes are the record before the first rollout.
// Errors are of kind Corrupted.
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
