package gateway

// framingError says why a request is rejected: HTTP implementations may find its end at different bytes, or its head
// is too long.
type framingError struct {
	reason string // what is wrong, and what to send instead
}

func (e *framingError) Error() string { return "request framing: " + e.reason }

// The errors that a scanner finds.
var (
	errHeadTooLong               = &framingError{"head of the request over the limit: send fewer or shorter fields"}
	errEmptyLines                = &framingError{"too many empty lines before a request: send none"}
	errRequestLine               = &framingError{"malformed request line: send METHOD SP TARGET SP HTTP/1.1 CRLF"}
	errVersion                   = &framingError{"unknown protocol version: send HTTP/1.1"}
	errLineEnd                   = &framingError{"bare CR or LF: end lines with CRLF"}
	errFoldedField               = &framingError{"folded header line: send each field on one line"}
	errFieldName                 = &framingError{"malformed field name: send a token and a colon without white space"}
	errFieldValue                = &framingError{"control character in a field: leave it out"}
	errContentLength             = &framingError{"malformed Content-Length: send one decimal number"}
	errContentLengthRepeated     = &framingError{"several Content-Length fields: send one"}
	errLengthAndTransferEncoding = &framingError{"both Content-Length and Transfer-Encoding: send one of them"}
	errTransferEncoding          = &framingError{"Transfer-Encoding other than chunked: send chunked or Content-Length"}
	errTransferEncodingRepeated  = &framingError{"several Transfer-Encoding fields: send one"}
	errTransferEncodingVersion   = &framingError{"Transfer-Encoding in HTTP/1.0: send HTTP/1.1"}
	errChunkSize                 = &framingError{"malformed chunk size: send hexadecimal digits"}
	errChunkEnd                  = &framingError{"chunk data not followed by CRLF: send the size of the data"}
	errTrailerField              = &framingError{"framing field in a trailer: send it in the header"}
)
