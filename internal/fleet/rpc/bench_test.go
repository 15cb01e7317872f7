package rpc

import (
	"context"
	"net"
	"sync"
	"testing"
)

type echoMessage struct {
	Text string `msgpack:"t"`
}

func benchServer(b *testing.B) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	t := NewMux()
	HandleUnary(t, "bench.echo", func(_ context.Context, q *echoMessage) (*echoMessage, error) { return q, nil })
	HandleStream(t, "bench.stream", func(s *Stream[echoMessage, echoMessage]) error {
		for {
			m, err := s.Recv()
			if err != nil {
				return err
			}
			if err := s.Send(m); err != nil {
				return err
			}
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = Serve(ctx, ln, t) })
	b.Cleanup(func() { cancel(); wg.Wait() })
	return ln.Addr().String()
}

// A call on a pooled connection, both sides.
func BenchmarkCall(b *testing.B) {
	addr := benchServer(b)
	p := NewPool()
	defer p.Close()
	q := &echoMessage{"0123456789"}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Call[echoMessage, echoMessage](b.Context(), p, addr, "bench.echo", q); err != nil {
			b.Fatal(err)
		}
	}
}

// A message each way on an open stream, both sides.
func BenchmarkStream(b *testing.B) {
	st, hangUp, err := OpenStream[echoMessage, echoMessage](b.Context(), benchServer(b), "bench.stream")
	if err != nil {
		b.Fatal(err)
	}
	defer hangUp()
	q := &echoMessage{"0123456789"}
	b.ReportAllocs()
	for b.Loop() {
		if err := st.Send(q); err != nil {
			b.Fatal(err)
		}
		if _, err := st.Recv(); err != nil {
			b.Fatal(err)
		}
	}
}
