package chain

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/go-faster/errors"
)

// MaxBody is the largest size of the body of a value or an update, in bytes.
const MaxBody = 6 << 20

// Value is the content of the register. It is immutable. An update makes a new value, which shares the
// unchanged data with the old one.
type Value struct {
	Seq      uint64          `msgpack:"Seq"`             // number of updates that led to it; 0 for the empty register
	Revision int64           `msgpack:"Revision"`        // the configuration's own revision; each update raises it
	Body     []byte          `msgpack:"Body"`            // the configuration
	Recent   []AppliedUpdate `msgpack:"Past"`            // the last MaxRecentUpdates applied updates, oldest first
	Older    []byte          `msgpack:"Older,omitempty"` // up to MaxOlderUpdates updates before those; see olderUpdates
}

// Checksum distinguishes values of the same Seq, so that replicas can be compared. It does not cover
// Older: software versions that don't know that field drop it, and their replicas are still equivalent.
func (v *Value) Checksum() uint64 {
	hash := sha256.New()
	var numbers [16]byte
	binary.BigEndian.PutUint64(numbers[:], v.Seq)
	binary.BigEndian.PutUint64(numbers[8:], uint64(v.Revision))
	hash.Write(numbers[:])
	hash.Write(v.Body)
	for _, applied := range v.Recent {
		hash.Write(applied.Digest[:])
	}
	return binary.BigEndian.Uint64(hash.Sum(nil))
}

// Validate returns an error if the value is malformed, so that no head can have made it.
func (v *Value) Validate() error {
	if len(v.Body) > MaxBody || v.Revision < 0 {
		return errors.Errorf("value %d has a body of %d bytes and revision %d", v.Seq, len(v.Body), v.Revision)
	}
	return v.validateHistory()
}
