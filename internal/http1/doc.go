// Package http1 is what the two programs share of HTTP/1.1 (RFC 9112) below net/http: strict reading of
// responses from servers that may misbehave in any way, connections of clients that are not closed
// under a request, and statistics on how long idle connections stay usable.
package http1
