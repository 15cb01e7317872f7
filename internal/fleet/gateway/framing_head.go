package gateway

const (
	versionLength = len("HTTP/1.1")
	// maxEmptyLines is how many empty lines may precede a request: after a POST, net/http skips up to
	// four bytes of them.
	maxEmptyLines = 2
)

// scanStart reads the first byte of a request, or of an empty line before it.
func (s *framingScanner) scanStart(b byte) *framingError {
	switch {
	case b == '\r':
		if s.emptyLines == maxEmptyLines {
			return errEmptyLines
		}
		s.emptyLines++
		s.state = stateEmptyLineEnd
	case byteClasses[b]&classToken != 0:
		s.state = stateMethod
	default:
		return errRequestLine
	}
	return nil
}

// scanToken reads the method or the target, up to the space that ends it.
func (s *framingScanner) scanToken(p []byte, class byteClass, next scanState) (int, *framingError) {
	n := prefixLength(p, class)
	if n == len(p) {
		return n, nil
	}
	if p[n] != ' ' {
		return n, errRequestLine
	}
	s.state = next
	return n + 1, nil
}

// scanVersion reads one byte of the protocol version, or the one after it.
func (s *framingScanner) scanVersion(b byte) *framingError {
	if int(s.versionRead) < versionLength {
		s.version[s.versionRead] = b
		s.versionRead++
		return s.checkVersion()
	}
	return s.expect(b, '\r', stateRequestLineEnd, errRequestLine)
}

// checkVersion checks that what has been read of the version is the start of HTTP/1.0 or HTTP/1.1.
func (s *framingScanner) checkVersion() *framingError {
	const prefix = "HTTP/1."
	n := int(s.versionRead)
	if string(s.version[:min(n, len(prefix))]) != prefix[:min(n, len(prefix))] {
		return errVersion
	}
	if last := s.version[versionLength-1]; n == versionLength && last != '0' && last != '1' {
		return errVersion
	}
	return nil
}

// scanFieldStart reads the first byte of a field, or of the empty line after the last one.
func (s *framingScanner) scanFieldStart(b byte) *framingError {
	switch b {
	case '\r':
		s.state = stateFieldsEnd
		return nil
	case ' ', '\t':
		return errFoldedField
	}
	if byteClasses[b]&classToken == 0 {
		return errFieldName
	}
	s.name[0] = b
	s.nameLength = 1
	s.state = stateFieldName
	return nil
}

// scanFieldName reads a field name, up to the colon that ends it.
func (s *framingScanner) scanFieldName(p []byte) (int, *framingError) {
	n := prefixLength(p, classToken)
	s.appendName(p[:n])
	if n == len(p) {
		return n, nil
	}
	if p[n] != ':' {
		return n, errFieldName
	}
	if err := s.beginValue(); err != nil {
		return n, err
	}
	s.state = stateFieldValue
	return n + 1, nil
}

// appendName stores the next bytes of a field name. Of a name longer than Transfer-Encoding it notes only that
// it is longer.
func (s *framingScanner) appendName(p []byte) {
	if int(s.nameLength)+len(p) > len(s.name) {
		s.nameLength = uint8(len(s.name) + 1)
		return
	}
	copy(s.name[s.nameLength:], p)
	s.nameLength += uint8(len(p))
}

// scanFieldValue reads a field value, up to the CR that ends it.
func (s *framingScanner) scanFieldValue(p []byte) (int, *framingError) {
	n := prefixLength(p, classValue)
	if s.field != fieldOther {
		if i, err := s.scanFramingValue(p[:n]); err != nil {
			return i, err
		}
	}
	if n == len(p) {
		return n, nil
	}
	switch p[n] {
	case '\r':
	case '\n':
		return n, errLineEnd
	default:
		return n, errFieldValue
	}
	if err := s.endFramingValue(); err != nil {
		return n, err
	}
	s.state = stateFieldEnd
	return n + 1, nil
}

// endFields reads the line feed that ends a header or a trailer.
func (s *framingScanner) endFields(b byte) *framingError {
	switch {
	case b != '\n':
		return errLineEnd
	case s.inTrailer:
		s.endMessage()
	case s.hasTransferEncoding:
		s.state = stateChunkSize
	case s.remaining > 0:
		s.state = stateBody
	default:
		s.endMessage()
	}
	return nil
}
