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

// meteredConn counts the bytes of a connection.
type meteredConn struct {
	net.Conn
	n *atomic.Int64
}

func (m meteredConn) Read(buffer []byte) (int, error) {
	count, err := m.Conn.Read(buffer)
	m.n.Add(int64(count))
	return count, err
}

func (m meteredConn) Write(buffer []byte) (int, error) {
	count, err := m.Conn.Write(buffer)
	m.n.Add(int64(count))
	return count, err
}

// BenchmarkHeartbeat measures both sides of a heartbeat over HTTP, on a persistent and on a new connection.
func BenchmarkHeartbeat(b *testing.B) {
	for _, kept := range []bool{true, false} {
		b.Run(fmt.Sprintf("kept=%v", kept), func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			wg.Go(func() { _ = NewServer(acceptingBackend{}, Options{}).Serve(ctx, listener) })
			var bytesBoth atomic.Int64
			tr := &http.Transport{DisableKeepAlives: !kept, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := new(net.Dialer).DialContext(ctx, network, address)
				return meteredConn{c, &bytesBoth}, err
			}}
			defer func() { tr.CloseIdleConnections(); cancel(); wg.Wait() }()
			body := []byte(`{"target-service":"service-1","address":"10.128.0.9:8080","zone":"zone-a","revision":"v1","slots":48,"state":"ready","cold-ms":0,"phase":"both_paths","models":[{"name":"model-a","revision":1,"adapters":[]}],"call-seq":4}`)
			url := "http://" + listener.Addr().String() + "/chalkdoor/instances/i-7f3a91c2"
			b.ReportAllocs()
			for b.Loop() {
				req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
				if err != nil {
					b.Fatal(err)
				}
				req.Header.Set("Content-Type", "application/json")
				resp, err := tr.RoundTrip(req)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					b.Fatal(resp.Status)
				}
			}
			b.ReportMetric(float64(bytesBoth.Load())/float64(b.N), "B/beat")
		})
	}
}
