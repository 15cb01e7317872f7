package controlsim

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/assembly"
	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/controlapi"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

// controlBackend is the backend of the control API, as in the daemon, but Inspect returns nothing.
type controlBackend struct{ assembly.ControlBackend }

// Inspect implements controlapi.Backend.
func (*controlBackend) Inspect(context.Context, string) (any, error) { return struct{}{}, nil }

// apiClient calls the control API of machines over HTTP, from a host of its own. If the machine has closed the idle
// connection that a call uses, net/http may retry the call, as it does for the clients of a deployment.
type apiClient struct {
	sim  *simulation
	http *http.Client
}

// newAPIClient returns a client on a new host. The caller closes it at the end of the run.
func newAPIClient(s *simulation, kind string, index int) *apiClient {
	host := s.network.addHost(fmt.Sprintf("%s-%d", kind, index))
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return dialer{host: host, done: ctx.Done()}.Dial(ctx, addr)
		},
		MaxIdleConnsPerHost: 1,
	}
	return &apiClient{sim: s, http: &http.Client{Transport: transport}}
}

// Close closes the idle connections.
func (c *apiClient) Close() { c.http.CloseIdleConnections() }

// call calls a process. It returns false if there is no complete response before the timeout.
func (c *apiClient) call(
	ctx context.Context, p *process, timeout time.Duration, method, path, ifMatch string, body []byte,
) (status int, response []byte, answered bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+p.machine.controlAddr()+path,
		bytes.NewReader(body))
	if err != nil {
		panic("controlsim: " + err.Error()) // impossible: a constant URL
	}
	if ifMatch != "" {
		request.Header.Set("If-Match", ifMatch)
	}
	result, err := c.http.Do(request)
	if err != nil {
		return 0, nil, false
	}
	defer result.Body.Close()
	if response, err = io.ReadAll(result.Body); err != nil {
		return 0, nil, false
	}
	return result.StatusCode, response, true
}

// submit makes one attempt at an update.
func (c *apiClient) submit(ctx context.Context, p *process, update *chain.Update) chain.Result {
	timeout := attemptTimeout
	if bandwidth := c.sim.scenario.bandwidth; bandwidth > 0 {
		// Operators wait longer for long updates.
		timeout += time.Duration(len(update.Body)) * time.Second / time.Duration(bandwidth)
	}
	status, body, answered := c.call(ctx, p, timeout, http.MethodPut, "/chalkdoor/config",
		strconv.FormatInt(update.IfMatch, 10), update.Body)
	switch {
	case !answered:
		return chain.Result{Reason: "no response"}
	case status == http.StatusOK:
		return chain.Result{Outcome: chain.OutcomeCommitted, Revision: revisionOf(body)}
	case status == http.StatusPreconditionFailed:
		return chain.Result{Outcome: chain.OutcomeConflict, Revision: unknownRevision}
	case status == http.StatusServiceUnavailable:
		return chain.Result{Reason: string(body)}
	}
	return chain.Result{Outcome: chain.OutcomeInvalid, Reason: string(body)}
}

// revisionOf returns the revision in the body of a response; 0 if there is none.
func revisionOf(body []byte) int64 {
	var response struct {
		Revision int64 `json:"revision"`
	}
	if json.Unmarshal(body, &response) != nil {
		return 0
	}
	return response.Revision
}

// read reads the configuration once.
func (c *apiClient) read(ctx context.Context, p *process) (value chain.Value, answered bool) {
	status, body, answered := c.call(ctx, p, attemptTimeout, http.MethodGet, "/chalkdoor/config", "", nil)
	switch {
	case !answered:
		return chain.Value{}, false
	case status == http.StatusNotFound: // there is no configuration yet
		return chain.Value{}, true
	case status != http.StatusOK:
		return chain.Value{}, false
	}
	return chain.Value{Revision: revisionOf(body), Body: body}, true
}

// heartbeat sends a heartbeat of a server.
func (c *apiClient) heartbeat(ctx context.Context, p *process, instance *registry.Instance) bool {
	heartbeat := controlapi.Heartbeat{Service: instance.Service, Address: instance.Addr, Zone: instance.Zone,
		Slots: instance.Slots, State: controlapi.StateReady, Sequence: instance.Seq}
	if instance.State == registry.Draining {
		heartbeat.State = controlapi.StateDraining
	}
	return c.instanceCall(ctx, p, http.MethodPut, instance.ID, &heartbeat)
}

// deregister deregisters a server.
func (c *apiClient) deregister(ctx context.Context, p *process, id string) bool {
	return c.instanceCall(ctx, p, http.MethodDelete, id, struct{}{})
}

func (c *apiClient) instanceCall(ctx context.Context, p *process, method, id string, message any) bool {
	body, err := json.Marshal(message)
	if err != nil {
		panic("controlsim: " + err.Error()) // impossible: plain fields
	}
	status, _, answered := c.call(ctx, p, heartbeatTimeout, method, "/chalkdoor/instances/"+id, "", body)
	return answered && status == http.StatusOK
}
