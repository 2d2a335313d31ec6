package httpwire

import (
	"errors"
	"net/http"
)

// Errors of ParseRequest and ChunkedDecoder. They are returned unwrapped. Their texts are sent to clients in response
// bodies.
var (
	// ErrMalformed reports a request line, header section or trailer section that violates the grammar.
	ErrMalformed = errors.New("the head can't be read")
	// ErrFraming reports that the length of the body is ambiguous or invalid.
	ErrFraming = errors.New("the body is framed in more than one way, or in none")
	// ErrHost reports a missing, repeated or invalid Host field.
	ErrHost = errors.New("one Host header is needed")
	// ErrTransferEncoding reports a transfer coding other than chunked.
	ErrTransferEncoding = errors.New("chunked is the one transfer encoding that is known")
	// ErrVersion reports an HTTP version other than 1.0 and 1.1.
	ErrVersion = errors.New("HTTP/1.1 is spoken here")
	// ErrExpectation reports an expectation other than 100-continue.
	ErrExpectation = errors.New("nothing but 100-continue can be expected")
	// ErrTrailerField reports a field that is not allowed in a trailer section.
	ErrTrailerField = errors.New("what frames a message can't stand behind its body")
	// ErrChunk reports a chunk that violates the grammar.
	ErrChunk = errors.New("a chunk can't be read")
	// ErrChunkOverhead reports chunk extensions, chunk sizes or a trailer section that are too long.
	ErrChunkOverhead = errors.New("there is more around the chunks than they could require")
)

// StatusForError returns the status code of the response to a request that failed with an error of this package.
func StatusForError(err error) int {
	switch err {
	case ErrTransferEncoding:
		return http.StatusNotImplemented
	case ErrVersion:
		return http.StatusHTTPVersionNotSupported
	case ErrExpectation:
		return http.StatusExpectationFailed
	}
	return http.StatusBadRequest
}
