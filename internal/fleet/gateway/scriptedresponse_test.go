package gateway

import (
	"fmt"
)

// exchangeAttemptID is the attempt ID of the request in an exchange, exchangeBody is its body.
const exchangeAttemptID, exchangeBody = "a1", "qu"

// scriptedResponse is the response of a server, and whether the server has executed the request.
type scriptedResponse struct {
	text           string
	status         int
	body           string
	executed       bool
	closeDelimited bool
}

// lengthDelimitedResponse returns a response with a Content-Length. The fields end with CRLF.
func lengthDelimitedResponse(status int, executed bool, fields, body string) scriptedResponse {
	text := fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, headerAttemptID, exchangeAttemptID, fields, len(body), body)
	return scriptedResponse{text: text, status: status, body: body, executed: executed}
}

// framedResponse returns a 200 response to a request that was executed. framed is the body as it is sent, in
// the framing that fields name.
func framedResponse(fields, framed, body string, closeDelimited bool) scriptedResponse {
	text := fmt.Sprintf("HTTP/1.1 200 X\r\n%s: %s\r\n%s%s\r\n%s", headerAttemptID, exchangeAttemptID, sealField, fields, framed)
	return scriptedResponse{text: text, status: 200, body: body, executed: true, closeDelimited: closeDelimited}
}

// streamResponse returns a stream of consecutive events, all of one version of the weights.
func streamResponse(from, to int) scriptedResponse {
	var events []string
	for id := from; id <= to; id++ {
		events = append(events, eventText(id))
	}
	return framedResponse(headerVersions+": 3\r\nTransfer-Encoding: chunked\r\n", chunkedCodingOf(events...), eventTexts(from, to), false)
}

// chunkedCodingOf returns a body in chunked coding.
func chunkedCodingOf(chunks ...string) string {
	framed := ""
	for _, chunk := range chunks {
		framed += fmt.Sprintf("%x\r\n%s\r\n", len(chunk), chunk)
	}
	return framed + "0\r\n\r\n"
}

var scriptedResponses = map[string]scriptedResponse{
	"success":           lengthDelimitedResponse(200, true, sealField, "body"),
	"chunked":           framedResponse("Transfer-Encoding: chunked\r\n", chunkedCodingOf("bo", "dy"), "body", false),
	"without length":    framedResponse("", "body", "body", true),
	"failed":            lengthDelimitedResponse(500, true, sealField, "failed"),
	"late":              lengthDelimitedResponse(504, true, "", "late"),
	"not found":         lengthDelimitedResponse(404, true, "", "nothing"),
	"full":              lengthDelimitedResponse(503, false, headerNotRun+": 1\r\n", "full"),
	"too many":          lengthDelimitedResponse(429, false, headerNotRun+": 1\r\n", ""),
	"another instance":  lengthDelimitedResponse(421, false, "", ""),
	"503 that executed": lengthDelimitedResponse(503, true, "", "busy"),
	"429 that executed": lengthDelimitedResponse(429, true, "", "busy"),
	"408 that executed": lengthDelimitedResponse(408, true, "", "busy"),
}
