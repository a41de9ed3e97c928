package main

import (
	"fmt"
	"strings"
)

// configure writes a configuration with the services and limits of the pages' example.
func (t *trial) configure(version int, routes ...string) {
	const services = `[{"name":"estoque","healthPath":"/health","maxConns":260,"protocol":"h1","tls":false},{"name":"expedicao","healthPath":"/health","maxConns":260,"protocol":"h1","tls":false}]`
	const limits = `{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}`
	t.store.Put("op", "config", fmt.Appendf(nil, `{"version":"r%d","routes":[%s],"services":%s,"limits":%s}`, version, strings.Join(routes, ","), services, limits))
}

// route returns a route of the configuration.
func route(name, prefix, kind, timeout, service string) string {
	return fmt.Sprintf(`{"name":%q,"host":"ficu95.example","pathPrefix":%q,"routeType":%q,"timeout":%q,"targetLatency":"300ms","priority":1,"service":%q,"maxAttempts":2}`, name, prefix, kind, timeout, service)
}
