package fastcgi

// ClientHandler handles the records that a Client receives. Its methods are called in the order of the records.
type ClientHandler interface {
	// Stdout handles a part of a request's response. While it blocks, the connection is not read.
	Stdout(id uint16, part []byte)
	// Stderr handles a part of a request's error output.
	Stderr(id uint16, part []byte)
	// EndRequest handles the end of a request. When it is called, the request is no longer open.
	EndRequest(id uint16, body EndRequestBody)
	// Values handles the reply to GET_VALUES.
	Values(values Values)
	// UnsolicitedRecord handles a record for a request that is not open, or output after the end of STDOUT. Open
	// requests are not affected, but no further request should be sent on the connection.
	UnsolicitedRecord()
}

// Client is the web server's side of a connection to an application. It tracks the open requests and decodes the
// application's records. Feed must only be called by a single goroutine. The other methods are safe for concurrent use,
// unless noted otherwise.
type Client struct {
	handler  ClientHandler
	demux    demux
	requests *requestTable[clientRequest]
}

// clientRequest is an open request. It is only accessed by the goroutine that calls Feed.
type clientRequest struct {
	stdoutEnded bool
}

// NewClient returns a Client for a new connection.
func NewClient(handler ClientHandler) *Client {
	return &Client{handler: handler, requests: newRequestTable[clientRequest]()}
}

// OpenRequest opens a request and returns its id.
func (c *Client) OpenRequest() uint16 { return c.requests.addWithNewID(&clientRequest{}) }

// ForgetRequest removes a request that has not been sent.
func (c *Client) ForgetRequest(id uint16) { c.requests.remove(id) }

// NumOpen returns the number of open requests.
func (c *Client) NumOpen() int { return c.requests.len() }

// Feed decodes bytes that were received on the connection. The error is ErrVersion, ErrBody or ErrOrder. After an error
// the connection must not be used any more.
func (c *Client) Feed(b []byte) error { return c.demux.feed(b, c) }

// AtRecordBoundary reports whether the input of Feed so far ends at the end of a record. It must only be called by the
// goroutine that calls Feed.
func (c *Client) AtRecordBoundary() bool { return c.demux.scanner.AtRecordBoundary() }

func (c *Client) recordStart(h Header) error {
	switch h.Type {
	case Stdout, Stderr, EndRequest:
		return c.requestRecordStart(h)
	case GetValuesResult:
		if h.ContentBytes > maxValuesBytes {
			return ErrBody
		}
	case UnknownType:
	default:
		return ErrOrder // all other types are only sent by web servers
	}
	return nil
}

// requestRecordStart checks the header of a record that belongs to a request.
func (c *Client) requestRecordStart(h Header) error {
	if h.ID == 0 {
		return ErrBody
	}
	if h.Type == EndRequest && h.ContentBytes != fixedBodyBytes {
		return ErrBody
	}
	request := c.requests.find(h.ID)
	isUnsolicited := request == nil || request.stdoutEnded && h.Type == Stdout && h.ContentBytes > 0
	if isUnsolicited {
		c.handler.UnsolicitedRecord()
	}
	return nil
}

func (c *Client) recordContent(h Header, part []byte) (keep bool) {
	switch h.Type {
	case Stdout:
		if request := c.requests.find(h.ID); request != nil && !request.stdoutEnded {
			c.handler.Stdout(h.ID, part)
		}
	case Stderr:
		if c.requests.find(h.ID) != nil {
			c.handler.Stderr(h.ID, part)
		}
	case EndRequest, GetValuesResult:
		return true
	}
	return false
}

func (c *Client) recordEnd(h Header, body []byte) error {
	switch h.Type {
	case Stdout:
		if request := c.requests.find(h.ID); request != nil && h.ContentBytes == 0 {
			request.stdoutEnded = true
		}
	case EndRequest:
		if c.requests.find(h.ID) == nil {
			return nil
		}
		end, err := ParseEndRequest(body)
		if err != nil {
			return err
		}
		c.requests.remove(h.ID)
		c.handler.EndRequest(h.ID, end)
	case GetValuesResult:
		values, err := parseValues(body)
		if err != nil {
			return err
		}
		c.handler.Values(values)
	}
	return nil
}
