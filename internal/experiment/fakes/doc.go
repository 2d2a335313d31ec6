// Package fakes implements test servers and clients for a gateway on loopback sockets: HTTP nodes, FastCGI responders,
// discovery, clients, and a web server that sends requests by FastCGI. A Ledger records requests, executions and
// outcomes, so that tests can detect requests that were executed twice or got no response. The only code that the package
// shares with the gateway is the FastCGI record format.
package fakes
