package fastcgi

import (
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"dunemoor/internal/fastcgi"
	"dunemoor/internal/frontend"
)

// readMessage converts the parameters of a request (RFC 3875, 4.1) to a Message. It also returns the parameter
// REMOTE_ADDR, the address of the web server's client. Of m.Client it only sets Proto. The error is a
// *frontend.RequestError. More than maxHeaders headers are an error.
func readMessage(params []byte, maxHeaders int) (m frontend.Message, remoteAddr string, err error) {
	vars := map[string]string{}
	m.Header = http.Header{}
	if err := readParams(params, maxHeaders, vars, m.Header); err != nil {
		return m, "", err
	}
	m.Method = vars["REQUEST_METHOD"]
	m.Target = requestTarget(vars)
	m.Host = requestHost(vars)
	m.HostHeader = m.Host
	if contentType := vars["CONTENT_TYPE"]; contentType != "" {
		m.Header["Content-Type"] = []string{contentType}
	}
	m.Client.Proto = "http"
	if https := vars["HTTPS"]; https != "" && !strings.EqualFold(https, "off") {
		m.Client.Proto = "https"
	}
	hasBlank := strings.ContainsAny(m.Method+m.Target+m.Host, " \t")
	if m.Method == "" || m.Target == "" || hasBlank {
		return m, "", frontend.NewRequestError(http.StatusBadRequest, "REQUEST_METHOD or REQUEST_URI: missing or malformed")
	}
	frontend.RemoveHopByHopHeaders(m.Header) // they apply to the connection between the client and the web server
	m.Length, err = contentLength(m.Method, vars["CONTENT_LENGTH"])
	if err != nil {
		return m, "", err
	}
	return m, vars["REMOTE_ADDR"], nil
}

// maxVariables is the maximum number of a request's parameters that are no headers. Web servers send about 30.
const maxVariables = 200

// readParams decodes parameters into vars, and those that represent HTTP headers also into header. Duplicates are
// errors, and so are more than maxHeaders headers, or more than maxVariables other
// parameters.
func readParams(params []byte, maxHeaders int, vars map[string]string, header http.Header) error {
	err := fastcgi.ForEachParam(params, func(name, value []byte) error {
		if len(name) == 0 || strings.ContainsAny(string(value), "\x00\r\n") {
			return frontend.NewRequestError(http.StatusBadRequest, "a parameter that can't be one")
		}
		key := string(name)
		headerName := fastcgi.HeaderName(key)
		_, duplicate := vars[key]
		if headerName != "" && header[headerName] != nil {
			duplicate = true // a parameter with a different spelling represents the same header
		}
		if duplicate {
			return frontend.NewRequestError(http.StatusBadRequest, "%.64q is there more than once", key)
		}
		if len(header) > maxHeaders || len(vars) > maxHeaders+maxVariables {
			return frontend.NewTooManyHeadersError(maxHeaders)
		}
		vars[key] = string(value)
		switch headerName {
		case "", "Host", "Content-Length", "Content-Type": // not a header, or a header that readMessage sets or omits
		default:
			header[headerName] = []string{string(value)}
		}
		return nil
	})
	var requestErr *frontend.RequestError
	if err == nil || errors.As(err, &requestErr) {
		return err
	}
	return frontend.NewRequestError(http.StatusBadRequest, "%v", err)
}

// requestTarget returns the request target: REQUEST_URI, or if that is missing, a target composed of SCRIPT_NAME,
// PATH_INFO and QUERY_STRING.
func requestTarget(vars map[string]string) string {
	if target := vars["REQUEST_URI"]; target != "" {
		return target
	}
	path := vars["SCRIPT_NAME"] + vars["PATH_INFO"]
	if path == "" {
		return ""
	}
	target := url.URL{Path: path, RawQuery: vars["QUERY_STRING"]}
	return target.String()
}

// requestHost returns the host of the request: the Host header, or if that is missing, the web server's name and port.
func requestHost(vars map[string]string) string {
	if host := vars["HTTP_HOST"]; host != "" {
		return host
	}
	host := vars["SERVER_NAME"]
	port := vars["SERVER_PORT"]
	if host == "" || port == "" || port == "80" {
		return host
	}
	return host + ":" + port
}

// contentLength parses CONTENT_LENGTH, the length of the body in bytes. If the parameter is missing, the length is 0
// for methods whose requests normally have no body (RFC 3875, 4.1.2), and -1, which means unknown, for all others.
func contentLength(method, value string) (int64, error) {
	if value == "" {
		switch method {
		case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodDelete, http.MethodTrace:
			return 0, nil
		default:
			return -1, nil
		}
	}
	length, err := strconv.ParseInt(value, 10, 64)
	onlyDigits := strings.Trim(value, "0123456789") == ""
	if err != nil || length < 0 || !onlyDigits {
		return -1, frontend.NewRequestError(http.StatusBadRequest, "CONTENT_LENGTH: %.32q is no length", value)
	}
	return length, nil
}
