package rpc

import (
	"context"

	"storj.io/drpc"
	"storj.io/drpc/drpcerr"
)

// Mux maps the names of calls to their handlers. All handlers have to be registered before Serve is
// called with it. From then on it is safe for concurrent use.
type Mux struct {
	calls map[string]registeredCall
}

// registeredCall is a call with its handler.
type registeredCall struct {
	handle  func(stream drpc.Stream) error
	isShort bool // one request and one response
}

// NewMux returns a Mux without handlers.
func NewMux() *Mux { return &Mux{calls: map[string]registeredCall{}} }

// HandleUnary registers the handler of a call with one request and one response. The caller receives the
// text of the handler's error. HandleUnary panics if the name is already registered.
func HandleUnary[Request, Response any](mux *Mux, name string, handler func(context.Context, *Request) (*Response, error)) {
	handle := func(stream drpc.Stream) error {
		request := new(Request)
		if err := stream.MsgRecv(request, msgpackEncoding{}); err != nil {
			return err
		}
		response, err := handler(stream.Context(), request)
		if err != nil {
			return drpcerr.WithCode(err, codeFailed)
		}
		return stream.MsgSend(response, msgpackEncoding{})
	}
	mux.register(name, registeredCall{handle: handle, isShort: true})
}

// HandleStream registers the handler of a call on which both sides may send messages at any time. The
// stream ends when the handler returns. HandleStream panics if the name is already registered.
func HandleStream[Out, In any](mux *Mux, name string, handler func(*Stream[Out, In]) error) {
	handle := func(stream drpc.Stream) error {
		if err := handler(&Stream[Out, In]{stream}); err != nil {
			return err
		}
		// Ends both directions. If the stream waited for the handler to receive what the caller has sent, it would
		// never see that the caller has left.
		return stream.Close()
	}
	mux.register(name, registeredCall{handle: handle})
}

func (m *Mux) register(name string, call registeredCall) {
	if m.calls[name].handle != nil {
		panic("rpc: call registered twice: " + name)
	}
	m.calls[name] = call
}

// call returns the call with the given name.
func (m *Mux) call(name string) (registeredCall, error) {
	call, known := m.calls[name]
	if !known {
		return call, drpcerr.WithCode(ErrUnknownMethod, codeUnknownMethod)
	}
	return call, nil
}
