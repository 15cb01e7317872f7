// Package sampling generates configurations as large as those of a deployment.
package sampling

import (
	"bytes"
	"fmt"
)

// Size is the number of items of each kind in a configuration.
type Size struct {
	Routes   int `json:"routes"`
	Services int `json:"services"`
	Tenants  int `json:"tenants"`
}

// Host returns the host name of route i.
func Host(i int) string { return fmt.Sprintf("host-%d.example", i) }

// Path returns the path prefix of route i.
func Path(i int) string { return fmt.Sprintf("/route-%d/", i) }

// Service returns the name of service i.
func Service(i int) string { return fmt.Sprintf("service-%d", i) }

// Config returns a complete configuration.
func Config(revision int64, size Size) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"revision":%d,"services":[`, revision)
	list(&b, size.Services, func(i int) {
		fmt.Fprintf(&b, `{"name":%q,"health-path":"/health","conn-limit":330,"protocol":"h1","tls":false,"inference-engine":{"slots":64,"cache-tokens":678399,"kv-token-bytes":163840,"link-mbps":260000.0,"stride":5,"models":[{"name":"model-%d"}]}}`, Service(i), i)
	})
	b.WriteString(`],"routes":[`)
	list(&b, size.Routes, func(i int) { b.Write(route(i, size.Services, 20000)) })
	b.WriteString(`],"tenants":[`)
	list(&b, size.Tenants, func(i int) {
		fmt.Fprintf(&b, `{"name":"tenant-%d","api-key":"k-%016x","quota":{"per-s":12.5,"burst":40},"priority":1,"models":["model-%d"]}`, i, i, i%6)
	})
	b.WriteString(`],"limits":{"header-bytes":16384,"body-bytes":4194304,"header-ms":3000,"idle-ms":15000}}`)
	return b.Bytes()
}

// Change returns a patch of the configuration that changes the timeout of one route.
func Change(revision int64, size Size) []byte {
	return fmt.Appendf(nil, `{"revision":%d,"upsert":{"routes":[%s]}}`, revision,
		route(int(revision)%max(size.Routes, 1), size.Services, 20000+int(revision)%1000))
}

func route(i, services, timeoutMs int) []byte {
	return fmt.Appendf(nil, `{"name":"r-%d","hostname":%q,"path-prefix":%q,"route-kind":"streaming","timeout-ms":%d,"setpoint-ms":1000,"admission-priority":1,"weighted-split":[{"target-service":%q,"weight":90},{"target-service":%q,"weight":10}],"max-attempts":2,"affinity":true,"resumable":false,"gap_aim_ms":300}`,
		i, Host(i), Path(i), timeoutMs, Service(i%max(services, 1)), Service((i+1)%max(services, 1)))
}

func list(b *bytes.Buffer, n int, item func(i int)) {
	for i := range n {
		if i > 0 {
			b.WriteByte(',')
		}
		item(i)
	}
}
