// Package gateway is the data plane of an agent: an HTTP/1.1 reverse proxy between clients and model
// servers. Each request matches one route, is sent to one server at a time, as internal/fleet/balancer
// decides, and gets exactly one final response. Streams are relayed event by event. If a server fails,
// another one continues a resumable stream within the same response.
//
// The central rule is that a request that was sent but not answered may have been executed. Only two
// things prove that it was not: the server says so, or the head of the request was not written
// completely. Requests that are not idempotent are retried only with such a proof: see outcome, attempt
// and upload.
//
// A request passes through these files:
//
//	handler.go      admission: readiness, route, body, client connection
//	retry.go        attempts until a server responds, bounded by the route and by the retry budget
//	attempt.go      one send to one server, classified in outcome.go
//	relay.go        responses that are not streams; stream.go and events.go: streams
//	pool.go         idle connections to servers; conn.go, upload.go and lateupload.go: one connection
//
// In front of net/http, framing_conn.go rejects requests whose framing is ambiguous (RFC 9112,
// section 11.2), so that no request is smuggled behind another.
package gateway
