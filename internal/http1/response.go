package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"net/textproto"
	"strings"
)

const (
	// MaxHeadBytes is the maximum size of a response's head, and that of its trailer.
	MaxHeadBytes = 16 << 10
	// maxInterimResponses is the maximum number of 1xx responses before the final one.
	maxInterimResponses = 8
	// protocolPrefix is the beginning of every status line.
	protocolPrefix = "HTTP/"
)

// ErrMalformed means that a response can't be parsed or that its framing is ambiguous. Its request may
// have been executed, and its connection must not be used again.
var ErrMalformed = errors.New("malformed response")

// Malformed returns an error that wraps ErrMalformed and says what is wrong.
func Malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// ReadResponseHead reads the head of one final response and drops interim responses (1xx) before it. It
// accepts only a head whose framing is unambiguous. The Body of the response must not be used: nothing
// after the head has been read. The error wraps ErrMalformed or is that of the connection, which may be
// io.EOF.
func ReadResponseHead(reader *bufio.Reader) (*http.Response, error) {
	for range maxInterimResponses + 1 {
		head, err := readHead(reader)
		if err != nil {
			return nil, err
		}
		if err := checkHead(head); err != nil {
			return nil, err
		}
		// net/http parses the head alone: given the connection it would read past this response.
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), nil)
		if err != nil {
			return nil, Malformed("%v", err)
		}
		switch {
		case response.ProtoMajor != 1:
			return nil, Malformed("protocol %s", response.Proto)
		case response.StatusCode == http.StatusSwitchingProtocols || response.StatusCode < 100:
			return nil, Malformed("status %d", response.StatusCode)
		case response.StatusCode >= 200:
			return response, nil
		}
	}
	return nil, Malformed("more than %d interim responses", maxInterimResponses)
}

// readHead reads a head including the empty line that ends it. It rejects one of over MaxHeadBytes.
func readHead(reader *bufio.Reader) ([]byte, error) {
	// Bytes that are not a response may never contain a line end: check the first ones before waiting for it.
	for _, length := range []int{1, len(protocolPrefix)} {
		start, err := reader.Peek(length)
		if err != nil {
			return nil, err
		}
		if string(start) != protocolPrefix[:length] {
			return nil, Malformed("no status line")
		}
	}
	var head []byte
	for {
		line, err := reader.ReadSlice('\n')
		head = append(head, line...)
		switch {
		case len(head) > MaxHeadBytes || err == bufio.ErrBufferFull:
			return nil, Malformed("head too large")
		case err != nil:
			return nil, err
		case len(line) <= 2 && (line[0] == '\n' || line[0] == '\r'):
			return head, nil
		}
	}
}

// checkHead rejects what net/http accepts silently: repeated framing fields, a Content-Length together
// with a Transfer-Encoding, and field names with a trailing space, which other parsers may ignore.
func checkHead(head []byte) error {
	_, fields, _ := bytes.Cut(head, []byte("\n"))
	header, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(fields))).ReadMIMEHeader()
	if err != nil {
		return Malformed("%v", err)
	}
	for name := range header {
		if strings.ContainsRune(name, ' ') {
			return Malformed("field %q", name)
		}
	}
	lengths, codings := len(header["Content-Length"]), len(header["Transfer-Encoding"])
	if lengths > 1 || codings > 1 || lengths+codings > 1 {
		return Malformed("%d lengths and %d transfer encodings", lengths, codings)
	}
	return nil
}

// ReadTrailer reads what follows the last chunk of a body: the trailer, which it drops, and an empty
// line. It returns the same errors as ReadResponseHead.
func ReadTrailer(reader *bufio.Reader) error {
	for size := 0; size <= MaxHeadBytes; {
		line, err := reader.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			break
		}
		if err != nil {
			return err
		}
		if size += len(line); len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
	}
	return Malformed("trailer too large")
}
