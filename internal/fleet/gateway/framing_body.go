package gateway

// maxChunkDigits limits the size of a chunk to what fits into an int64.
const maxChunkDigits = 15

// scanChunkSize reads a digit of a chunk size, or the byte after the last one.
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

// scanChunkExtension reads a byte of a chunk extension, which is ignored.
func (s *framingScanner) scanChunkExtension(b byte) *framingError {
	switch {
	case b == '\r':
		s.state = stateChunkLineEnd
	case byteClasses[b]&classValue == 0:
		return errLineEnd
	}
	return nil
}

// endChunkLine reads the line feed after a chunk size. The last chunk has the size 0 and is followed by the
// trailer.
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

// skipData skips bytes of a body or of a chunk, and returns how many.
func (s *framingScanner) skipData(p []byte) int {
	n := min(int64(len(p)), s.remaining)
	s.remaining -= n
	switch {
	case s.remaining > 0:
	case s.state == stateBody:
		s.endMessage()
	default:
		s.chunkDigits = 0
		s.state = stateChunkDataCR
	}
	return int(n)
}

// hexDigit returns the value of a hexadecimal digit, and whether b is one.
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
