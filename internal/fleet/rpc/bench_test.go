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
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	mux := NewMux()
	HandleUnary(mux, "bench.echo", func(_ context.Context, request *echoMessage) (*echoMessage, error) { return request, nil })
	HandleStream(mux, "bench.stream", func(stream *Stream[echoMessage, echoMessage]) error {
		for {
			m, err := stream.Recv()
			if err != nil {
				return err
			}
			if err := stream.Send(m); err != nil {
				return err
			}
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = Serve(ctx, listener, mux, ServerOptions{}) })
	b.Cleanup(func() { cancel(); wg.Wait() })
	return listener.Addr().String()
}

// BenchmarkCall measures both sides of a call on a pooled connection.
func BenchmarkCall(b *testing.B) {
	addr := benchServer(b)
	pool := NewPool()
	defer pool.Close()
	request := &echoMessage{"0123456789"}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Call[echoMessage, echoMessage](b.Context(), pool, addr, "bench.echo", request); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkStream measures both sides of an exchange of one message in each direction on an open stream.
func BenchmarkStream(b *testing.B) {
	stream, closeStream, err := OpenStream[echoMessage, echoMessage](b.Context(), benchServer(b), "bench.stream")
	if err != nil {
		b.Fatal(err)
	}
	defer closeStream()
	request := &echoMessage{"0123456789"}
	b.ReportAllocs()
	for b.Loop() {
		if err := stream.Send(request); err != nil {
			b.Fatal(err)
		}
		if _, err := stream.Recv(); err != nil {
			b.Fatal(err)
		}
	}
}
