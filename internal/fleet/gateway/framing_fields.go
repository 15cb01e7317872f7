package gateway

import (
	"bytes"
	"math"
)

const (
	contentLength    = "content-length"
	transferEncoding = "transfer-encoding"
	chunkedCoding    = "chunked"
)

// fieldKind distinguishes the fields that frame a message from all others.
type fieldKind uint8

const (
	fieldOther fieldKind = iota
	fieldContentLength
	fieldTransferEncoding
)

// beginValue determines the kind of a field from its complete name.
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

// scanFramingValue reads bytes of the value of Content-Length or Transfer-Encoding. With an error it returns
// how many bytes precede the invalid one.
func (s *framingScanner) scanFramingValue(p []byte) (int, *framingError) {
	for i, b := range p {
		var err *framingError
		if s.field == fieldContentLength {
			err = s.scanContentLength(b)
		} else {
			err = s.scanTransferEncoding(b)
		}
		if err != nil {
			return i, err
		}
	}
	return len(p), nil
}

// scanContentLength reads a byte of Content-Length: digits, optionally with white space around them.
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

// scanTransferEncoding reads a byte of Transfer-Encoding: optional spaces, then "chunked" in lower case.
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

// endFramingValue checks that the value of Content-Length or Transfer-Encoding is complete.
func (s *framingScanner) endFramingValue() *framingError {
	switch {
	case s.field == fieldContentLength && !s.hasDigits:
		return errContentLength
	case s.field == fieldTransferEncoding && int(s.codingMatched) < len(chunkedCoding):
		return errTransferEncoding
	}
	return nil
}
