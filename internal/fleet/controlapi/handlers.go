package controlapi

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
)

// maxTargetBytes bounds the address in the response to a heartbeat, which has to be small.
const maxTargetBytes = 256

func (s *Server) handleHeartbeat(e *exchange) {
	body, ok := s.readBody(e)
	if !ok {
		return
	}
	heartbeat, err := parseHeartbeat(e.parameter, body)
	if err != nil {
		e.respondFailure(err)
		return
	}
	ctx, cancel := e.withTimeout(s.options.HeartbeatTimeout)
	defer cancel()
	response, err := s.backend.Heartbeat(ctx, heartbeat)
	if err != nil {
		e.respondFailure(err)
		return
	}
	if len(response.NextTarget) > maxTargetBytes {
		response.NextTarget = ""
	}
	e.respondJSON(http.StatusOK, response)
}

// parseHeartbeat decodes and validates the heartbeat of a server.
func parseHeartbeat(id string, body []byte) (*Heartbeat, error) {
	heartbeat := &Heartbeat{}
	if err := json.Unmarshal(body, heartbeat); err != nil {
		return nil, apierror.Wrap(err, apierror.Invalid, "", "send one JSON object with the fields of a beat")
	}
	heartbeat.ID = id
	heartbeat.WarmupMs = max(heartbeat.WarmupMs, 0)
	if key, remedy := heartbeat.invalidField(); key != "" {
		return nil, apierror.New(apierror.Invalid, key, remedy, "the beat can't be listed")
	}
	return heartbeat, nil
}

// invalidField returns the key of the first invalid field and a remedy, or empty strings if all fields
// are valid.
func (h *Heartbeat) invalidField() (key, remedy string) {
	address, err := netip.ParseAddrPort(h.Address)
	switch {
	case h.Service == "":
		return "target-service", "name the service"
	case err != nil || !address.Addr().IsValid() || address.Port() == 0:
		return "address", "give IP:PORT"
	case h.State != StateReady && h.State != StateDraining:
		return "state", "give ready or draining"
	case h.Slots < 0:
		return "slots", "give 0 or more"
	}
	return "", ""
}

func (s *Server) handleDeregister(e *exchange) {
	body, ok := s.readBody(e)
	if !ok {
		return
	}
	var request deregisterRequest
	_ = json.Unmarshal(body, &request) // the body is optional
	ctx, cancel := e.withTimeout(s.options.HeartbeatTimeout)
	defer cancel()
	if err := s.backend.Deregister(ctx, e.parameter, request.Sequence); err != nil {
		e.respondFailure(err)
		return
	}
	e.respondJSON(http.StatusOK, struct{}{})
}

func (s *Server) handlePut(e *exchange)   { s.submit(e, false) }
func (s *Server) handlePatch(e *exchange) { s.submit(e, true) }

func (s *Server) submit(e *exchange, patch bool) {
	body, ok := s.readBody(e)
	if !ok {
		return
	}
	ifMatch, err := parseIfMatch(e.request.Header.Values("If-Match"))
	if err != nil {
		e.respondFailure(err)
		return
	}
	ctx, cancel := e.withTimeout(s.options.SubmitTimeout)
	defer cancel()
	result := s.backend.Submit(ctx, patch, ifMatch, body)
	switch result.Outcome {
	case OutcomeCommitted:
		e.respondJSON(http.StatusOK, revisionResponse{Revision: result.Revision})
	case OutcomeConflict:
		e.respondError(http.StatusPreconditionFailed, result.Reason)
	case OutcomeInvalid:
		e.respondError(http.StatusBadRequest, result.Reason)
	case OutcomeTooLarge:
		e.respondError(http.StatusRequestEntityTooLarge, result.Reason)
	default:
		e.respondError(http.StatusServiceUnavailable, result.Reason)
	}
}

// parseIfMatch decodes the revision in an If-Match header, with or without the quotes of an entity tag.
func parseIfMatch(values []string) (int64, error) {
	if len(values) == 1 {
		value := strings.TrimSpace(values[0])
		if len(value) > 1 && value[0] == '"' && value[len(value)-1] == '"' {
			value = value[1 : len(value)-1]
		}
		if revision, err := strconv.ParseInt(value, 10, 64); err == nil && revision >= 0 {
			return revision, nil
		}
	}
	return 0, apierror.New(apierror.Invalid, "If-Match", "give the current revision, 0 for the first configuration",
		"there has to be one version")
}

func (s *Server) handleConfig(e *exchange) {
	ctx, cancel := e.withTimeout(s.options.ReadTimeout)
	defer cancel()
	raw, found, err := s.backend.Config(ctx)
	switch {
	case err != nil:
		e.respondFailure(err)
	case !found:
		e.respondError(http.StatusNotFound, "there is no configuration yet; put one")
	default:
		e.respond(http.StatusOK, raw)
	}
}

func (s *Server) handleInspect(e *exchange) {
	if !slices.Contains(Resources, e.parameter) {
		e.respondError(http.StatusNotFound, "ask for one of "+strings.Join(Resources, ", "))
		return
	}
	ctx, cancel := e.withTimeout(s.options.ReadTimeout)
	defer cancel()
	value, err := s.backend.Inspect(ctx, e.parameter)
	if err != nil {
		e.respondFailure(err)
		return
	}
	e.respondJSON(http.StatusOK, value)
}
