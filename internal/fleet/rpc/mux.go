package rpc

import (
	"context"

	"storj.io/drpc"
	"storj.io/drpc/drpcerr"
)

// Mux maps the names of calls to their handlers. All handlers have to be registered before Serve is
// called with it. From then on it is safe for concurrent use.
type Mux struct {
	handlers map[string]func(stream drpc.Stream) error
}

// NewMux returns a Mux without handlers.
func NewMux() *Mux { return &Mux{handlers: map[string]func(drpc.Stream) error{}} }

// HandleUnary registers the handler of a call with one request and one response. The caller receives the
// text of the handler's error. HandleUnary panics if the name is already registered.
func HandleUnary[Request, Response any](mux *Mux, name string, handler func(context.Context, *Request) (*Response, error)) {
	mux.register(name, func(stream drpc.Stream) error {
		request := new(Request)
		if err := stream.MsgRecv(request, msgpackEncoding{}); err != nil {
			return err
		}
		response, err := handler(stream.Context(), request)
		if err != nil {
			return drpcerr.WithCode(err, codeFailed)
		}
		return stream.MsgSend(response, msgpackEncoding{})
	})
}

// HandleStream registers the handler of a call on which both sides may send messages at any time. The
// stream ends when the handler returns. HandleStream panics if the name is already registered.
func HandleStream[Out, In any](mux *Mux, name string, handler func(*Stream[Out, In]) error) {
	mux.register(name, func(stream drpc.Stream) error { return handler(&Stream[Out, In]{stream}) })
}

func (m *Mux) register(name string, handler func(drpc.Stream) error) {
	if m.handlers[name] != nil {
		panic("rpc: call registered twice: " + name)
	}
	m.handlers[name] = handler
}

// HandleRPC implements drpc.Handler.
func (m *Mux) HandleRPC(stream drpc.Stream, name string) error {
	handler := m.handlers[name]
	if handler == nil {
		return drpcerr.WithCode(ErrUnknownMethod, codeUnknownMethod)
	}
	return handler(stream)
}
