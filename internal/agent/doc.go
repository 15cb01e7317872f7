// Package agent runs the load-balancing policy as a sidecar process: clients on one side, backends and
// discovery on the other.
//
// A request passes through these parts:
//
//   - frontend.go, clientrequest.go and clientconns.go accept connections of clients and validate requests
//   - eventloop.go runs one goroutine that owns the policy and all state of requests (requests.go,
//     attempts.go, endpointlist.go, directives.go, savedstate.go); it never blocks
//   - sender.go, connpool.go, response.go, probes.go and loadreport.go carry out attempts and probes
//   - discovery.go and backends.go learn which backends there are; reload.go follows a new configuration
//
// What an agent does together with others is behind Coordinator, what it reports behind Observer.
package agent
