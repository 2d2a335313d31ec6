package fastcgi

// Event is what a Scanner has found.
type Event uint8

// Events.
const (
	NeedMore      Event = iota // the bytes are used up
	RecordStart                // a record's head is whole: Head
	RecordContent              // a part of its content
	RecordEnd                  // the record has ended, its padding included
)

// Scanner cuts a stream of bytes into records. The zero value is at the start of one.
type Scanner struct {
	raw              [HeadLen]byte
	got              int // of raw
	head             Head
	inside           bool
	content, padding int // still to come
}

// Header is that of the record under way.
func (s *Scanner) Header() Head { return s.head }

// Between says whether the stream is at the start of a record.
func (s *Scanner) Between() bool { return !s.inside && s.got == 0 }

// Next takes what comes next off the front of b. part is that of a Part, and part of b. An error
// is final.
func (s *Scanner) Next(b []byte) (ev Event, part, rest []byte, err error) {
	if !s.inside {
		n := copy(s.raw[s.got:], b)
		s.got, b = s.got+n, b[n:]
		if s.got < HeadLen {
			return NeedMore, nil, b, nil
		}
		if s.head, err = ParseHead(s.raw[:]); err != nil {
			return NeedMore, nil, b, err
		}
		s.got, s.inside, s.content, s.padding = 0, true, s.head.Content, s.head.Padding
		return RecordStart, nil, b, nil
	}
	if s.content > 0 {
		if len(b) == 0 {
			return NeedMore, nil, nil, nil
		}
		n := min(s.content, len(b))
		s.content -= n
		return RecordContent, b[:n], b[n:], nil
	}
	n := min(s.padding, len(b))
	s.padding, b = s.padding-n, b[n:]
	if s.padding > 0 {
		return NeedMore, nil, b, nil
	}
	s.inside = false
	return RecordEnd, nil, b, nil
}
