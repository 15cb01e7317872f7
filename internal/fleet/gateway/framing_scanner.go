package gateway

// scanState names the part of a message that the next byte belongs to.
type scanState uint8

// The states, in the order of a message.
const (
	stateMessageStart scanState = iota
	stateEmptyLineEnd
	stateMethod
	stateTarget
	stateVersion
	stateRequestLineEnd
	stateFieldStart
	stateFieldName
	stateFieldValue
	stateFieldEnd
	stateFieldsEnd
	stateBody
	stateChunkSize
	stateChunkExtension
	stateChunkLineEnd
	stateChunkData
	stateChunkDataCR
	stateChunkDataLF
)

// framingScanner follows the requests of one connection and finds the first byte at which the framing
// of one is ambiguous: request line and header in framing_head.go, Content-Length and
// Transfer-Encoding in framing_fields.go, bodies in framing_body.go. It stores no bytes but the start
// of a field name and allocates nothing. Its zero value expects a request. It is not safe for
// concurrent use.
type framingScanner struct {
	state      scanState
	emptyLines uint8 // ahead of the request line
	inTrailer  bool  // the fields are those of a trailer

	version     [versionLength]byte
	versionRead uint8 // bytes of it

	name          [len(transferEncoding)]byte
	nameLength    uint8 // one over the size of name for all longer ones
	field         fieldKind
	hasDigits     bool  // of Content-Length
	digitsEnded   bool  // white space has followed them
	codingMatched uint8 // bytes of chunkedCoding
	chunkDigits   uint8

	hasContentLength    bool
	hasTransferEncoding bool
	remaining           int64 // bytes of a body or a chunk

	headBytes int64 // of the head that is being read
}

// scan reads the next bytes of the connection. It returns how many of them are unambiguous and within a head
// of maxHeadBytes, and the *framingError of what follows. A scanner that has returned an error must not be
// used again.
func (s *framingScanner) scan(p []byte, maxHeadBytes int64) (int, error) {
	for i := 0; i < len(p); {
		n, err := s.step(p[i:])
		i += n
		if err != nil {
			return i, err
		}
		if !s.inHead() {
			continue
		}
		if s.headBytes += int64(n); s.headBytes > maxHeadBytes {
			return i, errHeadTooLong
		}
	}
	return len(p), nil
}

// inHead reports whether the head of a request has begun and is not complete.
func (s *framingScanner) inHead() bool {
	return s.state >= stateMethod && s.state <= stateFieldsEnd && !s.inTrailer
}

// step reads bytes of one part of a message, at least one unless it returns an error.
func (s *framingScanner) step(p []byte) (int, *framingError) {
	switch s.state {
	case stateMethod:
		return s.scanToken(p, classToken, stateTarget)
	case stateTarget:
		return s.scanToken(p, classTarget, stateVersion)
	case stateFieldName:
		return s.scanFieldName(p)
	case stateFieldValue:
		return s.scanFieldValue(p)
	case stateBody, stateChunkData:
		return s.skipData(p), nil
	}
	if err := s.scanByte(p[0]); err != nil {
		return 0, err
	}
	return 1, nil
}

// scanByte reads one byte where parts begin or end.
func (s *framingScanner) scanByte(b byte) *framingError {
	switch s.state {
	case stateMessageStart:
		return s.scanStart(b)
	case stateEmptyLineEnd:
		return s.expect(b, '\n', stateMessageStart, errLineEnd)
	case stateVersion:
		return s.scanVersion(b)
	case stateRequestLineEnd, stateFieldEnd:
		return s.expect(b, '\n', stateFieldStart, errLineEnd)
	case stateFieldStart:
		return s.scanFieldStart(b)
	case stateFieldsEnd:
		return s.endFields(b)
	case stateChunkSize:
		return s.scanChunkSize(b)
	case stateChunkExtension:
		return s.scanChunkExtension(b)
	case stateChunkLineEnd:
		return s.endChunkLine(b)
	case stateChunkDataCR:
		return s.expect(b, '\r', stateChunkDataLF, errChunkEnd)
	default: // stateChunkDataLF
		return s.expect(b, '\n', stateChunkSize, errChunkEnd)
	}
}

// expect enters the next state if a byte is the required one, and returns otherwise if not.
func (s *framingScanner) expect(b, required byte, next scanState, otherwise *framingError) *framingError {
	if b != required {
		return otherwise
	}
	s.state = next
	return nil
}
