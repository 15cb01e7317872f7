package gateway

import (
	"bytes"
	"math"
)

// framingError is a request whose bytes HTTP implementations may split in different ways.
type framingError struct {
	reason string // what is doubtful, and what to send in its place
}

func (e *framingError) Error() string { return "doubtful request framing: " + e.reason }

// The doubts that a scanner tells of.
var (
	errEmptyLines                = &framingError{"more empty lines ahead of a request than are skipped: send none"}
	errRequestLine               = &framingError{"malformed request line: send METHOD SP TARGET SP HTTP/1.1 CRLF"}
	errVersion                   = &framingError{"unknown protocol version: send HTTP/1.1"}
	errLineEnd                   = &framingError{"bare CR or LF: end lines with CRLF"}
	errFoldedField               = &framingError{"folded header line: send each field on one line"}
	errFieldName                 = &framingError{"malformed field name: send a token and a colon without white space"}
	errFieldValue                = &framingError{"control character in a field: leave it out"}
	errContentLength             = &framingError{"malformed Content-Length: send one decimal number"}
	errContentLengthRepeated     = &framingError{"several Content-Length fields: send one"}
	errLengthAndTransferEncoding = &framingError{"Content-Length beside Transfer-Encoding: send one of them"}
	errTransferEncoding          = &framingError{"Transfer-Encoding other than chunked: send chunked or Content-Length"}
	errTransferEncodingRepeated  = &framingError{"several Transfer-Encoding fields: send one"}
	errTransferEncodingVersion   = &framingError{"Transfer-Encoding in HTTP/1.0: send HTTP/1.1"}
	errChunkSize                 = &framingError{"malformed chunk size: send hexadecimal digits"}
	errChunkEnd                  = &framingError{"chunk data not followed by CRLF: send the size of the data"}
	errTrailerField              = &framingError{"framing field in a trailer: send it in the header"}
)

const (
	contentLength    = "content-length"
	transferEncoding = "transfer-encoding"
	chunkedCoding    = "chunked"
	versionLength    = len("HTTP/1.1")
	// maxEmptyLines is how many empty lines may stand ahead of a request: net/http skips up to four
	// bytes of them behind a POST.
	maxEmptyLines = 2
	// maxChunkDigits bounds a chunk's size to what an int64 holds.
	maxChunkDigits = 15
)

// scanState names the part of a message that the next byte belongs to.
type scanState uint8

const (
	stateMessageStart scanState = iota // of a request line
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

// fieldKind tells the fields that frame a message from all others.
type fieldKind uint8

const (
	fieldOther fieldKind = iota
	fieldContentLength
	fieldTransferEncoding
)

// framingScanner follows the requests of one connection and finds the first byte of a doubtful
// one. It keeps no bytes but the start of a field's name. Its zero value expects a request.
type framingScanner struct {
	state      scanState
	emptyLines uint8
	inTrailer  bool

	version     [versionLength]byte
	versionRead uint8 // bytes of it

	name          [len(transferEncoding)]byte
	nameLength    uint8 // one over the size of name: a longer one
	field         fieldKind
	hasDigits     bool  // of a length
	digitsEnded   bool  // white space has followed them
	codingMatched uint8 // bytes of chunkedCoding
	chunkDigits   uint8

	hasContentLength    bool
	hasTransferEncoding bool
	remaining           int64 // bytes of a body or a chunk
}

// scan reads the next bytes of the connection. It returns how many of them are beyond doubt, and
// what is doubtful about the one behind them. A scanner that has found a doubt is not used again.
func (s *framingScanner) scan(p []byte) (int, error) {
	for i := 0; i < len(p); {
		n, doubt := s.step(p[i:])
		i += n
		if doubt != nil {
			return i, doubt
		}
	}
	return len(p), nil
}

// step reads bytes of one part of a message, at least one.
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
	if doubt := s.scanByte(p[0]); doubt != nil {
		return 0, doubt
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

// expect goes on to a state if a byte is the one that has to stand here.
func (s *framingScanner) expect(b, want byte, next scanState, otherwise *framingError) *framingError {
	if b != want {
		return otherwise
	}
	s.state = next
	return nil
}

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

func (s *framingScanner) scanVersion(b byte) *framingError {
	if int(s.versionRead) < versionLength {
		s.version[s.versionRead] = b
		s.versionRead++
		return s.checkVersion()
	}
	return s.expect(b, '\r', stateRequestLineEnd, errRequestLine)
}

// checkVersion compares what has come of the version with those that are served.
func (s *framingScanner) checkVersion() *framingError {
	const stem = "HTTP/1."
	n := int(s.versionRead)
	if string(s.version[:min(n, len(stem))]) != stem[:min(n, len(stem))] {
		return errVersion
	}
	if last := s.version[versionLength-1]; n == versionLength && last != '0' && last != '1' {
		return errVersion
	}
	return nil
}

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

func (s *framingScanner) scanFieldName(p []byte) (int, *framingError) {
	n := prefixLength(p, classToken)
	s.appendName(p[:n])
	if n == len(p) {
		return n, nil
	}
	if p[n] != ':' {
		return n, errFieldName
	}
	if doubt := s.beginValue(); doubt != nil {
		return n, doubt
	}
	s.state = stateFieldValue
	return n + 1, nil
}

// appendName keeps as much of a field's name as tells whether it frames the message.
func (s *framingScanner) appendName(p []byte) {
	if int(s.nameLength)+len(p) > len(s.name) {
		s.nameLength = uint8(len(s.name) + 1)
		return
	}
	copy(s.name[s.nameLength:], p)
	s.nameLength += uint8(len(p))
}

// beginValue takes a field's name whose colon has come.
func (s *framingScanner) beginValue() *framingError {
	s.field = fieldOther
	if int(s.nameLength) > len(s.name) {
		return nil
	}
	name := s.name[:s.nameLength]
	switch {
	case len(name) == len(contentLength) && bytes.EqualFold(name, []byte(contentLength)):
		return s.beginContentLength()
	case len(name) == len(transferEncoding) && bytes.EqualFold(name, []byte(transferEncoding)):
		return s.beginTransferEncoding()
	}
	return nil
}

func (s *framingScanner) beginContentLength() *framingError {
	switch {
	case s.inTrailer:
		return errTrailerField
	case s.hasContentLength:
		return errContentLengthRepeated
	case s.hasTransferEncoding:
		return errLengthAndTransferEncoding
	}
	s.field, s.hasContentLength = fieldContentLength, true
	s.hasDigits, s.digitsEnded = false, false
	return nil
}

func (s *framingScanner) beginTransferEncoding() *framingError {
	switch {
	case s.inTrailer:
		return errTrailerField
	case s.hasTransferEncoding:
		return errTransferEncodingRepeated
	case s.hasContentLength:
		return errLengthAndTransferEncoding
	case s.version[versionLength-1] != '1':
		return errTransferEncodingVersion
	}
	s.field, s.hasTransferEncoding = fieldTransferEncoding, true
	s.codingMatched = 0
	return nil
}

func (s *framingScanner) scanFieldValue(p []byte) (int, *framingError) {
	n := prefixLength(p, classValue)
	if s.field != fieldOther {
		if i, doubt := s.scanFramingValue(p[:n]); doubt != nil {
			return i, doubt
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
	if doubt := s.endFramingValue(); doubt != nil {
		return n, doubt
	}
	s.state = stateFieldEnd
	return n + 1, nil
}

func (s *framingScanner) scanFramingValue(p []byte) (int, *framingError) {
	for i, b := range p {
		var doubt *framingError
		if s.field == fieldContentLength {
			doubt = s.scanContentLength(b)
		} else {
			doubt = s.scanTransferEncoding(b)
		}
		if doubt != nil {
			return i, doubt
		}
	}
	return len(p), nil
}

// scanContentLength reads a byte of Content-Length: digits, with white space around them at most.
func (s *framingScanner) scanContentLength(b byte) *framingError {
	if b == ' ' || b == '\t' {
		s.digitsEnded = s.hasDigits
		return nil
	}
	if b < '0' || b > '9' || s.digitsEnded {
		return errContentLength
	}
	digit := int64(b - '0')
	if s.remaining > (math.MaxInt64-digit)/10 {
		return errContentLength
	}
	s.remaining = s.remaining*10 + digit
	s.hasDigits = true
	return nil
}

// scanTransferEncoding reads a byte of Transfer-Encoding: spaces, and then chunked in just these letters.
func (s *framingScanner) scanTransferEncoding(b byte) *framingError {
	if b == ' ' && s.codingMatched == 0 {
		return nil
	}
	if int(s.codingMatched) == len(chunkedCoding) || b != chunkedCoding[s.codingMatched] {
		return errTransferEncoding
	}
	s.codingMatched++
	return nil
}

// endFramingValue checks that a value that frames the message is whole.
func (s *framingScanner) endFramingValue() *framingError {
	switch {
	case s.field == fieldContentLength && !s.hasDigits:
		return errContentLength
	case s.field == fieldTransferEncoding && int(s.codingMatched) < len(chunkedCoding):
		return errTransferEncoding
	}
	return nil
}

// endFields takes the last byte of a header or of a trailer.
func (s *framingScanner) endFields(b byte) *framingError {
	switch {
	case b != '\n':
		return errLineEnd
	case s.inTrailer:
		*s = framingScanner{}
	case s.hasTransferEncoding:
		s.state = stateChunkSize
	case s.remaining > 0:
		s.state = stateBody
	default:
		*s = framingScanner{}
	}
	return nil
}

func (s *framingScanner) scanChunkSize(b byte) *framingError {
	digit, ok := hexDigit(b)
	switch {
	case ok && s.chunkDigits < maxChunkDigits:
		s.remaining = s.remaining<<4 | int64(digit)
		s.chunkDigits++
	case s.chunkDigits == 0 || ok:
		return errChunkSize
	case b == ';':
		s.state = stateChunkExtension
	case b == '\r':
		s.state = stateChunkLineEnd
	default:
		return errChunkSize
	}
	return nil
}

func (s *framingScanner) scanChunkExtension(b byte) *framingError {
	switch {
	case b == '\r':
		s.state = stateChunkLineEnd
	case byteClasses[b]&classValue == 0:
		return errLineEnd
	}
	return nil
}

// endChunkLine takes the last byte of a chunk's line; the last chunk is followed by the trailer.
func (s *framingScanner) endChunkLine(b byte) *framingError {
	if b != '\n' {
		return errLineEnd
	}
	if s.remaining > 0 {
		s.state = stateChunkData
		return nil
	}
	s.inTrailer = true
	s.state = stateFieldStart
	return nil
}

// skipData passes over bytes of a body or of a chunk.
func (s *framingScanner) skipData(p []byte) int {
	n := min(int64(len(p)), s.remaining)
	s.remaining -= n
	switch {
	case s.remaining > 0:
	case s.state == stateBody:
		*s = framingScanner{}
	default:
		s.chunkDigits = 0
		s.state = stateChunkDataCR
	}
	return int(n)
}

func hexDigit(b byte) (byte, bool) {
	switch {
	case b >= '0' && b <= '9':
		return b - '0', true
	case b >= 'a' && b <= 'f':
		return b - 'a' + 10, true
	case b >= 'A' && b <= 'F':
		return b - 'A' + 10, true
	}
	return 0, false
}

// byteClass is a set of the places where a byte may stand.
type byteClass uint8

const (
	classToken  byteClass = 1 << iota // methods and field names
	classTarget                       // request targets: all but white space and control characters
	classValue                        // field values and chunk extensions: targets, spaces and tabs
)

var byteClasses = makeByteClasses()

func makeByteClasses() (classes [256]byteClass) {
	for b := range classes {
		if b > ' ' && b != 0x7f {
			classes[b] = classTarget | classValue
		}
	}
	classes[' '] = classValue
	classes['\t'] = classValue
	const punctuation = "!#$%&'*+-.^_`|~"
	const alphanumeric = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	for _, b := range []byte(punctuation + alphanumeric) {
		classes[b] |= classToken
	}
	return classes
}

// prefixLength is how many bytes at the start are of a class.
func prefixLength(p []byte, class byteClass) int {
	for i, b := range p {
		if byteClasses[b]&class == 0 {
			return i
		}
	}
	return len(p)
}
