package gateway

// scanState is the part of a message to which the next byte belongs.
type scanState uint8

// The states, in the order in which they occur in a message.
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

// framingScanner scans the requests of one connection and finds the first byte at which the framing of a
// request is ambiguous. It scans the request line and the header in framing_head.go, Content-Length and
// Transfer-Encoding in framing_fields.go, and bodies in framing_body.go. It stores only the version, the
// start of a field name and counts, and allocates nothing. Its zero value expects a request. It is not safe for
// concurrent use.
type framingScanner struct {
	state      scanState
	emptyLines uint8 // number of empty lines before the request line
	inTrailer  bool  // the current fields belong to a trailer

	version     [versionLength]byte
	versionRead uint8 // bytes of version that have been read

	name          [len(transferEncoding)]byte
	nameLength    uint8 // len(name)+1 for all names that are longer than name
	field         fieldKind
	hasDigits     bool  // Content-Length has at least one digit
	digitsEnded   bool  // white space has followed the digits
	codingMatched uint8 // bytes of chunkedCoding that have been read
	chunkDigits   uint8 // digits of the chunk size that have been read

	hasContentLength    bool
	hasTransferEncoding bool
	remaining           int64 // bytes of the body or chunk that have not been read yet

	headBytes int64 // bytes of the current head that have been read

	messages uint64 // requests that were read completely
}

// scan reads the next bytes of the connection. It returns how many of them may be passed on, and a *framingError
// if the framing is ambiguous after them or the head is longer than maxHeadBytes. A scanner that has returned an
// error must not be used again.
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

// scanByte reads one byte in a state in which bytes are scanned one by one.
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

// endMessage counts a request that was read completely, and expects the next one.
func (s *framingScanner) endMessage() { *s = framingScanner{messages: s.messages + 1} }

// expect enters the next state if b is the required byte. Otherwise it returns err.
func (s *framingScanner) expect(b, required byte, next scanState, err *framingError) *framingError {
	if b != required {
		return err
	}
	s.state = next
	return nil
}
