package controlapi

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
)

// acceptingBackend accepts every heartbeat.
type acceptingBackend struct{ Backend }

func (acceptingBackend) Heartbeat(context.Context, *Heartbeat) (HeartbeatResponse, error) {
	return HeartbeatResponse{}, nil
}

// countingConn adds the number of bytes that a connection reads and writes to a counter.
type countingConn struct {
	net.Conn
	total *atomic.Int64
}

func (c countingConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.total.Add(int64(count))
	return count, err
}

func (c countingConn) Write(buffer []byte) (int, error) {
	count, err := c.Conn.Write(buffer)
	c.total.Add(int64(count))
	return count, err
}

// BenchmarkHeartbeat measures both sides of a heartbeat over HTTP, on a persistent and on a new connection.
func BenchmarkHeartbeat(b *testing.B) {
	for _, keepAlive := range []bool{true, false} {
		b.Run(fmt.Sprintf("kept=%v", keepAlive), func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			wg.Go(func() { _ = NewServer(acceptingBackend{}, Options{}).Serve(ctx, listener) })
			var totalBytes atomic.Int64
			transport := &http.Transport{
				DisableKeepAlives: !keepAlive,
				DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
					c, err := new(net.Dialer).DialContext(ctx, network, address)
					return countingConn{c, &totalBytes}, err
				},
			}
			defer func() { transport.CloseIdleConnections(); cancel(); wg.Wait() }()
			body := []byte(`{"target-service":"service-1","address":"10.128.0.9:8080","zone":"zone-a","revision":"v1","slots":48,"state":"ready","cold-ms":0,"phase":"both_paths","models":[{"name":"model-a","revision":1,"adapters":[]}],"call-seq":4}`)
			url := "http://" + listener.Addr().String() + "/chalkdoor/instances/i-7f3a91c2"
			b.ReportAllocs()
			for b.Loop() {
				req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
				if err != nil {
					b.Fatal(err)
				}
				req.Header.Set("Content-Type", "application/json")
				resp, err := transport.RoundTrip(req)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					b.Fatal(resp.Status)
				}
			}
			b.ReportMetric(float64(totalBytes.Load())/float64(b.N), "B/beat")
		})
	}
}
