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
	// MaxHead is the largest head of a message.
	MaxHead = 16 << 10
	// maxInterim bounds the 1xx answers that may come ahead of the final one.
	maxInterim = 8
)

// ErrSpoilt marks an answer that can't be read: its request may have run, and its
// connection is of no further use.
var ErrSpoilt = errors.New("spoilt answer")

// Spoilt returns an ErrSpoilt that says why.
func Spoilt(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrSpoilt, fmt.Sprintf(format, args...))
}

// ReadAnswerHead reads the head of one final answer. Only one whose framing leaves no doubt is
// returned; its Body is not to be used, as what follows has not been read.
func ReadAnswerHead(br *bufio.Reader) (*http.Response, error) {
	for range maxInterim + 1 {
		head, err := readHead(br)
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
			return nil, Spoilt("%v", err)
		}
		switch {
		case resp.ProtoMajor != 1:
			return nil, Spoilt("protocol %s", resp.Proto)
		case resp.StatusCode == http.StatusSwitchingProtocols || resp.StatusCode < 100:
			return nil, Spoilt("status %d", resp.StatusCode)
		case resp.StatusCode >= 200:
			return resp, nil
		}
	}
	return nil, Spoilt("more than %d interim answers", maxInterim)
}

// readHead reads up to the empty line, and never more than MaxHead.
func readHead(br *bufio.Reader) ([]byte, error) {
	var head []byte
	// Noise may bring no line at all: its first bytes tell it.
	for _, n := range []int{1, len("HTTP/")} {
		if start, err := br.Peek(n); err != nil {
			return nil, err
		} else if string(start) != "HTTP/"[:n] {
			return nil, Spoilt("no status line")
		}
	}
	for {
		line, err := br.ReadSlice('\n')
		head = append(head, line...)
		switch {
		case len(head) > MaxHead || err == bufio.ErrBufferFull:
			return nil, Spoilt("head too large")
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
	h, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(fields))).ReadMIMEHeader()
	if err != nil {
		return Spoilt("%v", err)
	}
	for name := range h {
		if strings.ContainsRune(name, ' ') {
			return Spoilt("field %q", name)
		}
	}
	lengths, codings := len(h["Content-Length"]), len(h["Transfer-Encoding"])
	if lengths > 1 || codings > 1 || lengths+codings > 1 {
		return Spoilt("%d lengths and %d transfer encodings", lengths, codings)
	}
	return nil
}

// ReadTrailer reads what ends a chunked body: trailers, which nobody here wants, and an empty line.
func ReadTrailer(br *bufio.Reader) error {
	for size := 0; size <= MaxHead; {
		line, err := br.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			break
		} else if err != nil {
			return err
		}
		if size += len(line); len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
	}
	return Spoilt("trailers too large")
}

// hop names the header fields that are for one connection only.
var hop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length"}

// EndToEnd is a copy of header fields without those that are for one connection only.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hop {
		out.Del(name)
	}
	return out
}

// IsNet tells errors of the connection from those of what came on it.
func IsNet(err error) bool {
	var net net.Error
	return errors.As(err, &net)
}

// Quiet tells whether a connection on which nothing is asked is still open and
// silent. One that the peer closed, or that brings bytes nobody asked for, must not
// carry a request: it would end as a reset, or take those bytes for its answer.
func Quiet(nc net.Conn, br *bufio.Reader) bool {
	if br.Buffered() > 0 {
		return false
	}
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	good := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		good = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && good
}
