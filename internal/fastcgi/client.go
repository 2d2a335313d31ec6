package fastcgi

// ClientHandler handles what a Client receives. Its methods are called in the order of the records.
type ClientHandler interface {
	// Stdout handles a part of a request's response. It may block; then the connection is not read.
	Stdout(id uint16, part []byte)
	// Stderr handles a part of a request's error output.
	Stderr(id uint16, part []byte)
	// EndRequest handles the end of a request, whose id is not open any more.
	EndRequest(id uint16, body EndRequestBody)
	// Values handles the reply to GET_VALUES.
	Values(values Values)
	// UnsolicitedRecord handles a record of a request that is not open, or output behind the end of STDOUT. The
	// open requests are not affected, but no other should begin on the connection.
	UnsolicitedRecord()
}

// Client is the web server's side of a connection to an application: it keeps the open requests and decodes the
// application's records. Feed belongs to one goroutine; the other methods are safe for concurrent use.
type Client struct {
	handler  ClientHandler
	demux    demux
	requests *requestTable[clientRequest]
}

// clientRequest is an open request. It belongs to the goroutine that calls Feed.
type clientRequest struct {
	stdoutEnded bool
}

// NewClient returns a Client of a new connection.
func NewClient(handler ClientHandler) *Client {
	return &Client{handler: handler, requests: newRequestTable[clientRequest]()}
}

// OpenRequest opens a request and returns its id.
func (c *Client) OpenRequest() uint16 { return c.requests.addWithNewID(&clientRequest{}) }

// ForgetRequest removes a request that was never sent.
func (c *Client) ForgetRequest(id uint16) { c.requests.remove(id) }

// NumOpen returns the number of open requests.
func (c *Client) NumOpen() int { return c.requests.len() }

// Feed decodes bytes that the connection has received. After an error, which is ErrVersion, ErrBody or ErrOrder,
// the connection can't be used any more.
func (c *Client) Feed(b []byte) error { return c.demux.feed(b, c) }

// AtRecordBoundary reports whether the last byte fed was the last of a record. It belongs to the goroutine that
// calls Feed.
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
		return ErrOrder // only web servers send the others
	}
	return nil
}

// requestRecordStart checks a record that belongs to a request.
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
