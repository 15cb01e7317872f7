package hollownode

import (
	"storj.io/drpc/drpcwire"
)

// frameParser splits a stream of bytes into the frames of drpc: a control byte, three varints (stream, message, length)
// and the data.
type frameParser struct {
	header        [1 + 3*10]byte
	headerBytes   int // bytes in header
	bodyBytesLeft uint64
	inBody        bool
	wantedBytes   int // bytes of the data of messages to buffer

	size int
	kind drpcwire.Kind
	done bool
	data []byte
}

// write parses bytes and calls each after every frame that ends in them. After an invalid frame it parses no more.
func (f *frameParser) write(p []byte, each func(*frameParser)) {
	for len(p) > 0 {
		if !f.inBody {
			if f.headerBytes == len(f.header) {
				return
			}
			f.header[f.headerBytes] = p[0]
			f.headerBytes++
			p = p[1:]
			if !f.parseHeader() {
				continue
			}
		}
		n := int(min(uint64(len(p)), f.bodyBytesLeft))
		keep := f.wantedBytes
		if f.kind == drpcwire.KindInvoke {
			keep = maxCallName
		}
		f.data = append(f.data, p[:min(n, max(keep-len(f.data), 0))]...)
		f.bodyBytesLeft -= uint64(n)
		f.size += n
		p = p[n:]
		if f.bodyBytesLeft == 0 {
			each(f)
			f.headerBytes, f.inBody, f.data = 0, false, f.data[:0]
		}
	}
}

// parseHeader parses the header and returns false if it is incomplete.
func (f *frameParser) parseHeader() bool {
	rest := f.header[1:f.headerBytes]
	var values [3]uint64
	for i := range values {
		var ok bool
		var err error
		if rest, values[i], ok, err = drpcwire.ReadVarint(rest); !ok || err != nil {
			return false
		}
	}
	f.kind, f.done = drpcwire.Kind(f.header[0]&0b01111110>>1), f.header[0]&1 > 0
	f.bodyBytesLeft, f.size, f.inBody = values[2], f.headerBytes, true
	return true
}
