package upstream

import "dunemoor/internal/body"

// UploadProgress records how much of a request's body was written to a host, and whether the host may have received the
// whole request. That depends on what was written alone, and not on whether the client has ended the body or a write has
// returned an error: a host runs a request when it has the last byte.
//
//	body                                      last byte of the request
//	buffered                                  the last byte that is written before the upload
//	streamed, of known length                 the last byte of content
//	streamed, of unknown length               the marker that ends the body: the last chunk, or the end of STDIN
//
// A FastCGI responder that knows CONTENT_LENGTH may not wait for the end of STDIN (RFC 3875, 4.2), so the second row holds
// for both protocols.
type UploadProgress struct {
	lengthKnown  bool
	bytesLeft    int64 // bytes of content that are still to be written, if lengthKnown
	endIsWritten bool  // whether a byte of the marker that ends the body was written
}

// NewUploadProgress returns the progress of a body of which the buffered part was written.
func NewUploadProgress(b body.Body) UploadProgress {
	length := b.Len()
	return UploadProgress{lengthKnown: length >= 0, bytesLeft: length - int64(len(b.Bytes()))}
}

// ContentWritten records a write of n bytes of content, whether or not it returned an error as well.
func (p *UploadProgress) ContentWritten(n int) { p.bytesLeft -= int64(n) }

// EndWritten records a write of n bytes of the marker that ends the body. The first byte counts as the whole marker, as a
// host may not wait for the rest.
func (p *UploadProgress) EndWritten(n int) { p.endIsWritten = p.endIsWritten || n > 0 }

// MayBeComplete reports whether the host may have received the whole request. If it returns false, that proves that the
// host has not received the last byte.
func (p *UploadProgress) MayBeComplete() bool {
	return p.endIsWritten || p.lengthKnown && p.bytesLeft <= 0
}
