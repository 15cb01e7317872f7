package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"
)

const settings = `{"classes":[{"name":"a","aimMs":100,"giveUpMs":500,"effect":"free","credit":1}],
"limits":{"maxAttempts":2},"membershipMode":"pushed","roundMs":5}`

// Codes of the records that the tests use, and the size of an event record in bytes.
const (
	requestCode = 17
	killCode    = 21
	bootCode    = 25
	crashCode   = 87
	timerCode   = 88
	recordSize  = 48
)

// encodeBatch encodes a batch of records, given by their first bytes, and a tail.
func encodeBatch(clock float64, tail string, records ...[]byte) []byte {
	be := binary.BigEndian
	out := be.AppendUint32(nil, uint32(len(records)))
	out = be.AppendUint32(out, uint32(8+recordSize*len(records)+len(tail)))
	out = be.AppendUint64(out, math.Float64bits(clock))
	for _, r := range records {
		out = append(out, append(r, make([]byte, recordSize-len(r))...)...)
	}
	return append(out, tail...)
}

func bootRecord(instance uint32, textLen int) []byte {
	be := binary.BigEndian
	r := be.AppendUint32([]byte{bootCode}, instance)
	r = be.AppendUint64(r, 7)
	r = be.AppendUint32(r, 0)
	return be.AppendUint32(r, uint32(textLen))
}

func requestRecord(instance, id uint32) []byte {
	be := binary.BigEndian
	r := be.AppendUint32([]byte{requestCode}, instance)
	r = be.AppendUint32(r, id)
	r = append(r, make([]byte, 14)...)
	return be.AppendUint64(r, math.Float64bits(400))
}

func killRecord(instance uint32) []byte {
	return binary.BigEndian.AppendUint32([]byte{killCode}, instance)
}

func TestKillAndBootInOneBatch(t *testing.T) {
	in := encodeBatch(1000, settings, bootRecord(3, len(settings)), requestRecord(3, 9))
	in = append(in, encodeBatch(1005, settings, killRecord(3), requestRecord(3, 10), bootRecord(3, len(settings)),
		requestRecord(3, 11))...)
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	// Each instance has one pending request (there is no list) and sets one timer; the
	// request between the two instances is ignored.
	reply := out.Bytes()
	for i, want := range []uint32{1, 1} {
		n, size := binary.BigEndian.Uint32(reply), binary.BigEndian.Uint32(reply[4:])
		if n != want || reply[8] != timerCode {
			t.Errorf("batch %d: %d actions, first of code %d; want %d timer action", i, n, reply[8], want)
		}
		reply = reply[8+size:]
	}
}

func TestBadSettingsAreReportedAsACrash(t *testing.T) {
	invalid := strings.Replace(settings, "free", "maybe", 1)
	var out bytes.Buffer
	if err := run(bytes.NewReader(encodeBatch(1000, invalid, bootRecord(3, len(invalid)))), &out); err != nil {
		t.Fatal(err)
	}
	if reply := out.Bytes(); reply[8] != crashCode || !strings.Contains(string(reply), "classes[0].effect") {
		t.Errorf("reply %q does not report a crash with the invalid key", reply)
	}
}

func TestTruncatedInputIsAnError(t *testing.T) {
	in := encodeBatch(1000, "", killRecord(1))
	for _, cut := range []struct {
		name string
		size int
	}{{"after the first byte", 1}, {"after the header", 8}, {"before the last byte", len(in) - 1}} {
		t.Run(cut.name, func(t *testing.T) {
			var out bytes.Buffer
			if err := run(bytes.NewReader(in[:cut.size]), &out); err == nil || strings.Contains(err.Error(), "\n") {
				t.Errorf("error %v, want one line", err)
			}
		})
	}
	var out bytes.Buffer
	if err := run(bytes.NewReader(nil), &out); err != nil {
		t.Errorf("empty input: %v", err)
	}
}
