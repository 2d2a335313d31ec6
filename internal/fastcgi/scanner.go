package fastcgi

// Event is the result of Scanner.Next.
type Event uint8

// Events of a Scanner.
const (
	// NeedMore means that all input has been used and more is required for the next event.
	NeedMore Event = iota
	// RecordStart means that the header of a record is complete. It is returned by Scanner.Header.
	RecordStart
	// RecordContent means that a part of the record's content has been decoded.
	RecordContent
	// RecordEnd means that the record has ended, including its padding.
	RecordEnd
)

// Scanner splits a byte stream into records. The zero value is ready to scan from the start of a record.
type Scanner struct {
	rawHeader        [HeaderBytes]byte
	rawBytes         int // number of valid bytes in rawHeader
	header           Header
	inRecord         bool // the header is complete, and the record has not ended
	remainingContent int  // content bytes of the record that have not been scanned yet
	remainingPadding int  // padding bytes of the record that have not been scanned yet
}

// Header returns the header of the current record.
func (s *Scanner) Header() Header { return s.header }

// AtRecordBoundary reports whether the input so far ends at the end of a record. If the stream ends elsewhere, it is
// truncated.
func (s *Scanner) AtRecordBoundary() bool { return !s.inRecord && s.rawBytes == 0 }

// mayBeginRequest reports whether the input so far ends within the header of a record, or within a BEGIN_REQUEST.
func (s *Scanner) mayBeginRequest() bool {
	return s.rawBytes > 0 || s.inRecord && s.header.Type == BeginRequest
}

// Next returns the next event and the rest of b after it. For RecordContent, part is the content, as a subslice of b.
// The error is ErrVersion. After an error the Scanner must not be used any more.
func (s *Scanner) Next(b []byte) (event Event, part, rest []byte, err error) {
	if !s.inRecord {
		return s.nextHeader(b)
	}
	if s.remainingContent > 0 {
		if len(b) == 0 {
			return NeedMore, nil, nil, nil
		}
		n := min(s.remainingContent, len(b))
		s.remainingContent -= n
		return RecordContent, b[:n], b[n:], nil
	}
	n := min(s.remainingPadding, len(b))
	s.remainingPadding -= n
	if s.remainingPadding > 0 {
		return NeedMore, nil, b[n:], nil
	}
	s.inRecord = false
	return RecordEnd, nil, b[n:], nil
}

func (s *Scanner) nextHeader(b []byte) (event Event, part, rest []byte, err error) {
	n := copy(s.rawHeader[s.rawBytes:], b)
	s.rawBytes += n
	rest = b[n:]
	if s.rawBytes < HeaderBytes {
		return NeedMore, nil, rest, nil
	}
	s.header, err = ParseHeader(s.rawHeader[:])
	if err != nil {
		return NeedMore, nil, rest, err
	}
	s.rawBytes = 0
	s.inRecord = true
	s.remainingContent = s.header.ContentBytes
	s.remainingPadding = s.header.PaddingBytes
	return RecordStart, nil, rest, nil
}
