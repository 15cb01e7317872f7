// Command adapter runs many independent balancers for the simulator. It reads batches of events from standard
// input and writes a batch of actions in reply to each to standard output. It exits with status 0 when the input
// ends, and with status 1 if the input can't be read or a reply can't be written.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"chalkdoor.example/chalkdoor/internal/agent/simprotocol"
	"chalkdoor.example/chalkdoor/policy"
)

// bufferSize is the size in bytes of the buffers of standard input and output.
const bufferSize = 64 << 10

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	decoder := simprotocol.NewDecoder(bufio.NewReaderSize(in, bufferSize))
	writer := bufio.NewWriterSize(out, bufferSize)
	adapter := adapter{instances: map[uint32]*policy.Balancer{}}
	for {
		adapter.reply.Reset()
		err := decoder.Next(adapter.handle)
		if err == io.EOF { // not wrapped: the end of a truncated batch is wrapped
			return nil
		}
		if err != nil {
			return err
		}
		if _, err := adapter.reply.WriteTo(writer); err != nil {
			return fmt.Errorf("reply: %w", err)
		}
		if err := writer.Flush(); err != nil {
			return fmt.Errorf("reply: %w", err)
		}
	}
}

// adapter holds the instances of the policy by number. The instances share no state.
type adapter struct {
	instances map[uint32]*policy.Balancer
	reply     simprotocol.Encoder // reply to the current batch
	actions   []policy.Action     // scratch space of handle
}

// handle applies one record of a batch and appends the resulting actions to the reply.
func (a *adapter) handle(now float64, record *simprotocol.Record) error {
	switch record.Kind {
	case simprotocol.Boot:
		balancer, err := boot(record)
		if err != nil {
			a.reply.Crash(record.Instance, err.Error())
			delete(a.instances, record.Instance)
			return nil
		}
		a.instances[record.Instance] = balancer
		a.actions = balancer.Start(now, a.actions[:0])
	case simprotocol.Killed:
		delete(a.instances, record.Instance)
		return nil
	default:
		balancer := a.instances[record.Instance]
		if balancer == nil {
			return nil // killed or never started: its events are ignored
		}
		a.actions = balancer.Handle(now, &record.Event, a.actions[:0])
	}
	for i := range a.actions {
		a.reply.Add(record.Instance, &a.actions[i])
	}
	return nil
}

// boot starts the instance of a boot record.
func boot(record *simprotocol.Record) (*policy.Balancer, error) {
	settings, err := simprotocol.ParseSettings(record.Settings)
	if err != nil {
		return nil, err
	}
	return policy.New(settings, record.Seed)
}
