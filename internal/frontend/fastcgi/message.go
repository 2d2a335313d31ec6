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

// readMessage returns the request that parameters describe (RFC 3875, 4.1), and the address of the web server's client as
// it names it. The address in the message has the protocol only. Its errors are *frontend.RequestError.
func readMessage(params []byte) (m frontend.Message, remoteAddr string, err error) {
	vars := map[string]string{}
	m.Header = http.Header{}
	if err := readParams(params, vars, m.Header); err != nil {
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
	frontend.RemoveHopByHopHeaders(m.Header) // of the client's own connection
	m.Length, err = contentLength(m.Method, vars["CONTENT_LENGTH"])
	if err != nil {
		return m, "", err
	}
	return m, vars["REMOTE_ADDR"], nil
}

// readParams reads parameters into vars, and those that stand for headers into header too. Each may be there once.
func readParams(params []byte, vars map[string]string, header http.Header) error {
	err := fastcgi.ForEachParam(params, func(name, value []byte) error {
		if len(name) == 0 || strings.ContainsAny(string(value), "\x00\r\n") {
			return frontend.NewRequestError(http.StatusBadRequest, "a parameter that can't be one")
		}
		key := string(name)
		headerName := fastcgi.HeaderName(key)
		_, duplicate := vars[key]
		if headerName != "" && header[headerName] != nil {
			duplicate = true // by another spelling
		}
		if duplicate {
			return frontend.NewRequestError(http.StatusBadRequest, "%.64q is there more than once", key)
		}
		vars[key] = string(value)
		switch headerName {
		case "", "Host", "Content-Length", "Content-Type": // others than headers, and headers with a parameter of their own
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

// requestTarget returns the request target: REQUEST_URI, or else what the parameters of its parts make.
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

// requestHost returns the host that the request is for: that of the Host header, or else the web server's name and port.
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

// contentLength returns the length of the body in bytes by the parameter CONTENT_LENGTH. Without it there is no body if
// the method has none (RFC 3875, 4.1.2), and else one of unknown length, -1.
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
