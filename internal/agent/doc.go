// Package agent runs the load-balancing policy as a sidecar process between clients and backends. A discovery
// service lists the backends.
//
// A request passes through these parts:
//
//   - frontend.go, clientrequest.go and clientconns.go accept connections of clients and validate requests
//   - eventloop.go runs one goroutine that owns the policy and all state of requests (requests.go,
//     attempts.go, endpointlist.go, directives.go, savedstate.go); it never blocks
//   - sender.go, connpool.go, response.go, probes.go and loadreport.go carry out attempts and probes
//   - discovery.go and backends.go maintain the list of backends; reload.go applies a new configuration
//
// An agent interacts with other agents through its Coordinator and reports through its Observer.
package agent
