// Package fakes has working stand-ins for what a gateway talks to, on loopback sockets: nodes over HTTP, responders
// over FastCGI, discovery, clients, and a web server as a FastCGI client. A Ledger counts requests, executions and
// outcomes, so that "executed twice" and "unanswered" are facts. Of the gateway's code the package uses the record
// format of FastCGI alone.
package fakes
