package gateway

import (
	"bytes"
	"io"
	"net"
	"strings"
	"syscall"
	"time"
)

// exchange is one request through a gateway to servers in memory. The first server that is written to is
// faulty: it reads a part of the request, sends a part of its response, and ends the connection.
type exchange struct {
	first             scriptedResponse
	others            func(request string) scriptedResponse
	requestBytesRead  int         // bytes of the request that the first server reads
	responseBytesSent int         // bytes of its response that the first server sends
	endErr            error       // the read error after the response; io.EOF if the server closes the connection
	writeFails        bool        // writes fail where the first server stops reading
	conns             []*fakeConn // the connections, in the order in which they were first written to
}

// executions returns how many servers have executed the request.
func (x *exchange) executions() (count int) {
	for _, conn := range x.conns {
		if conn.executed() {
			count++
		}
	}
	return count
}

// sentComplete reports whether the first server has sent its complete response, and returns the body of that
// response. A response without a length ends where the server closes the connection.
func (x *exchange) sentComplete() (complete bool, body string) {
	if !x.first.closeDelimited {
		return x.responseBytesSent == len(x.first.text), x.first.body
	}
	_, body, hasHead := strings.Cut(x.first.text[:x.responseBytesSent], "\r\n\r\n")
	return hasHead && x.endErr == io.EOF && !x.conns[0].writeFailed, body
}

// fakeConn is a connection to a server of an exchange.
type fakeConn struct {
	net.Conn    // nil: its other methods are not called
	exchange    *exchange
	written     bytes.Buffer
	response    *bytes.Reader // nil until the first read
	writeFailed bool
}

func (c *fakeConn) isFirst() bool { return c.exchange.conns[0] == c }

// headRead reports whether the server has read the complete head: from then on it may execute the request.
func (c *fakeConn) headRead() bool {
	read := c.written.Bytes()
	if c.isFirst() {
		read = read[:min(len(read), c.exchange.requestBytesRead)]
	}
	return bytes.Contains(read, []byte("\r\n\r\n"))
}

// executed reports whether the server has executed the request.
func (c *fakeConn) executed() bool {
	if c.isFirst() {
		return c.headRead() && c.exchange.first.executed
	}
	return c.headRead() && c.exchange.others(c.written.String()).executed
}

func (c *fakeConn) Write(p []byte) (int, error) {
	exchange := c.exchange
	if c.written.Len() == 0 {
		exchange.conns = append(exchange.conns, c)
	}
	n := len(p)
	var err error
	if c.isFirst() && exchange.writeFails && c.written.Len()+n > exchange.requestBytesRead {
		n = max(exchange.requestBytesRead-c.written.Len(), 0)
		err = syscall.ECONNRESET
		c.writeFailed = true
	}
	c.written.Write(p[:n])
	return n, err
}

func (c *fakeConn) Read(p []byte) (int, error) {
	if c.response == nil {
		c.response = bytes.NewReader([]byte(c.responseText()))
	}
	if c.response.Len() > 0 {
		return c.response.Read(p)
	}
	return 0, c.exchange.endErr
}

// responseText returns what the server sends.
func (c *fakeConn) responseText() string {
	switch {
	case !c.headRead():
		return ""
	case c.isFirst():
		return c.exchange.first.text[:c.exchange.responseBytesSent]
	}
	return c.exchange.others(c.written.String()).text
}

func (c *fakeConn) Close() error                     { return nil }
func (c *fakeConn) SetDeadline(time.Time) error      { return nil }
func (c *fakeConn) SetReadDeadline(time.Time) error  { return nil }
func (c *fakeConn) SetWriteDeadline(time.Time) error { return nil }
