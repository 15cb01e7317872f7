// Package gateway is the data plane of an agent: an HTTP/1.1 reverse proxy between clients and model
// servers. Each request matches one route, is sent to one server at a time, as internal/fleet/balancer
// decides, and gets exactly one final response. Streams are relayed event by event; a resumable one
// continues at another server inside the same response.
//
// The central rule is that a request which was sent and not answered may have been executed. Only the
// server's own statement, or a connection that never took the complete head of the request, proves
// that it was not. Retries of requests that are not idempotent depend on that proof: see outcome,
// attempt and upload.
//
// A request passes through these files:
//
//	handler.go      admission: readiness, route, body, connection of the client
//	retry.go        attempts until one answers, bounded by the route and by the retry budget
//	attempt.go      one send to one server, classified in outcome.go
//	relay.go        a response that is no stream; stream.go and events.go: one that is
//	pool.go         idle connections to servers; conn.go, upload.go and lateupload.go: one connection
//
// In front of net/http, framing_conn.go rejects requests whose framing is ambiguous (RFC 9112,
// section 11.2), so that no request is smuggled behind another.
package gateway
