// Package tcpstate reads from the kernel the current state of the TCP connections of an address, as evidence
// of why one of them ended.
package tcpstate

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strconv"
	"strings"
)

const (
	// table is the file in which the kernel lists the IPv4 TCP sockets.
	table = "/proc/net/tcp"
	// maxSockets is the maximum number of sockets that are returned for an address.
	maxSockets = 32
	// fieldLocal to fieldQueues are the indices, from 0, of the columns that are read.
	fieldLocal, fieldRemote, fieldState, fieldQueues = 1, 2, 3, 4
)

// stateNames are the kernel's names of the states, by their number in the table. "?" stands for an unknown state.
var stateNames = [...]string{"?", "ESTABLISHED", "SYN_SENT", "SYN_RECV", "FIN_WAIT1", "FIN_WAIT2", "TIME_WAIT", "CLOSE", "CLOSE_WAIT",
	"LAST_ACK", "LISTEN", "CLOSING", "NEW_SYN_RECV"}

// Socket is one end of a connection, or a listening socket.
type Socket struct {
	Local, Remote netip.AddrPort
	State         string
	// Unsent is the number of bytes that the other end has not acknowledged, Unread that of received bytes
	// that have not been read. For a listening socket, Unread is the number of connections to be accepted.
	Unsent, Unread uint64
}

// String returns the socket in one line.
func (s Socket) String() string {
	return fmt.Sprintf("%v to %v %s unsent=%d unread=%d", s.Local, s.Remote, s.State, s.Unsent, s.Unread)
}

// Of returns the sockets bound to an address and those connected to it, at most maxSockets.
func Of(address netip.AddrPort) ([]Socket, error) {
	file, err := os.Open(table)
	if err != nil {
		return nil, fmt.Errorf("tcpstate: %w", err)
	}
	defer file.Close()
	return read(file, address)
}

// read returns the sockets of an address from a table.
func read(from io.Reader, address netip.AddrPort) (sockets []Socket, err error) {
	lines := bufio.NewScanner(from)
	lines.Scan() // skip the header
	for lines.Scan() && len(sockets) < maxSockets {
		socket, err := parse(lines.Text())
		if err != nil {
			return nil, err
		}
		if socket.Local == address || socket.Remote == address {
			sockets = append(sockets, socket)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("tcpstate: %w", err)
	}
	return sockets, nil
}

// parse reads one line of the table.
func parse(line string) (Socket, error) {
	fields := strings.Fields(line)
	if len(fields) <= fieldQueues {
		return Socket{}, fmt.Errorf("tcpstate: %q has %d columns, want more than %d", line, len(fields), fieldQueues)
	}
	var socket Socket
	var err error
	if socket.Local, err = parseAddress(fields[fieldLocal]); err != nil {
		return Socket{}, err
	}
	if socket.Remote, err = parseAddress(fields[fieldRemote]); err != nil {
		return Socket{}, err
	}
	state, err := strconv.ParseUint(fields[fieldState], 16, 8)
	if err != nil {
		return Socket{}, fmt.Errorf("tcpstate: state: %w", err)
	}
	socket.State = stateNames[0]
	if int(state) < len(stateNames) {
		socket.State = stateNames[state]
	}
	unsent, unread, _ := strings.Cut(fields[fieldQueues], ":")
	if socket.Unsent, err = strconv.ParseUint(unsent, 16, 64); err != nil {
		return Socket{}, fmt.Errorf("tcpstate: queue: %w", err)
	}
	if socket.Unread, err = strconv.ParseUint(unread, 16, 64); err != nil {
		return Socket{}, fmt.Errorf("tcpstate: queue: %w", err)
	}
	return socket, nil
}

// parseAddress parses an address of the table: the IPv4 address as a little-endian number and the port, both
// in hexadecimal.
func parseAddress(text string) (netip.AddrPort, error) {
	address, port, _ := strings.Cut(text, ":")
	bytes, err := hex.DecodeString(address)
	if err != nil || len(bytes) != 4 {
		return netip.AddrPort{}, fmt.Errorf("tcpstate: address %q: want 8 hexadecimal digits", text)
	}
	number, err := strconv.ParseUint(port, 16, 16)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("tcpstate: port of %q: %w", text, err)
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{bytes[3], bytes[2], bytes[1], bytes[0]}), uint16(number)), nil
}
