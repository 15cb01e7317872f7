// Package http1 is what the agents share of HTTP/1.1: reading answers of servers that may be in any
// trouble, connections that are not closed under a request, and for how long idle ones are good.
package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/textproto"
	"strings"
	"syscall"
)

const (
	// MaxHeadBytes is the largest head of a message.
	MaxHeadBytes = 16 << 10
	// maxInterimResponses bounds the 1xx answers that may come ahead of the final one.
	maxInterimResponses = 8
)

// ErrMalformed marks an answer that can't be read: its request may have run, and its
// connection is of no further use.
var ErrMalformed = errors.New("spoilt answer")

// Malformed returns an ErrMalformed that says why.
func Malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// ReadResponseHead reads the head of one final answer. Only one whose framing leaves no doubt is
// returned; its Body is not to be used, as what follows has not been read.
func ReadResponseHead(reader *bufio.Reader) (*http.Response, error) {
	for range maxInterimResponses + 1 {
		head, err := readHead(reader)
		if err != nil {
			return nil, err
		}
		if err := checkHead(head); err != nil {
			return nil, err
		}
		// net/http parses the head alone; it gets no hold of the connection, as it
		// would read past this answer.
		resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), nil)
		if err != nil {
			return nil, Malformed("%v", err)
		}
		switch {
		case resp.ProtoMajor != 1:
			return nil, Malformed("protocol %s", resp.Proto)
		case resp.StatusCode == http.StatusSwitchingProtocols || resp.StatusCode < 100:
			return nil, Malformed("status %d", resp.StatusCode)
		case resp.StatusCode >= 200:
			return resp, nil
		}
	}
	return nil, Malformed("more than %d interim answers", maxInterimResponses)
}

// readHead reads up to the empty line, and never more than MaxHeadBytes.
func readHead(reader *bufio.Reader) ([]byte, error) {
	var head []byte
	// Noise may bring no line at all: its first bytes tell it.
	for _, length := range []int{1, len("HTTP/")} {
		if start, err := reader.Peek(length); err != nil {
			return nil, err
		} else if string(start) != "HTTP/"[:length] {
			return nil, Malformed("no status line")
		}
	}
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

// checkHead looks for what net/http settles without a word: a length beside chunked, or more
// than one of them, or a name with a space at its end, which others may take for the name.
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

// ReadTrailer reads what ends a chunked body: trailers, which nobody here wants, and an empty line.
func ReadTrailer(reader *bufio.Reader) error {
	for size := 0; size <= MaxHeadBytes; {
		line, err := reader.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			break
		} else if err != nil {
			return err
		}
		if size += len(line); len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
	}
	return Malformed("trailers too large")
}

// hopByHopHeaders names the header fields that are for one connection only.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length"}

// EndToEnd is a copy of header fields without those that are for one connection only.
func EndToEnd(header http.Header) http.Header {
	endToEnd := header.Clone()
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			endToEnd.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		endToEnd.Del(name)
	}
	return endToEnd
}

// IsNetworkError tells errors of the connection from those of what came on it.
func IsNetworkError(err error) bool {
	var net net.Error
	return errors.As(err, &net)
}

// IsIdle tells whether a connection on which nothing is asked is still open and
// silent. One that the peer closed, or that brings bytes nobody asked for, must not
// carry a request: it would end as a reset, or take those bytes for its answer.
func IsIdle(conn net.Conn, reader *bufio.Reader) bool {
	if reader.Buffered() > 0 {
		return false
	}
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && idle
}
