// Package http1 has the HTTP/1.1 code (RFC 9112) below net/http that both programs use: strict reading of
// responses from servers that may misbehave in any way, client connections that are not closed while a
// request is being served, and statistics on how long idle connections stay usable.
package http1
