package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"rowanshunt/internal/fault"
)

// maxResponse bounds what is read of a node's response: twice a quota document.
const maxResponse = 8 << 20

// refusedError is a node's clear refusal.
type refusedError struct {
	status int
	reason string
}

func (r *refusedError) Error() string { return r.reason }

// controlClient calls the control addresses of nodes in turn. The first clear
// response decides; a node that cannot be reached, or does not know what became of a
// request, leaves it to the next one.
type controlClient struct {
	nodes   []string
	timeout time.Duration
	// unsureRemedy tells operators what to do if no node knows what became of the
	// request.
	unsureRemedy string
}

// addFlags adds the flags that name the nodes to a command.
func (c *controlClient) addFlags(command *kingpin.CmdClause) {
	command.Flag("node", "Control address (listen.ctl) of a node, host:port. Repeat it for further nodes, which are tried in turn.").Required().StringsVar(&c.nodes)
	command.Flag("timeout", "How long to wait for one node.").Default("4s").DurationVar(&c.timeout)
}

// controlRequest is one request, the same for each node.
type controlRequest struct {
	method, path string
	header       http.Header
	body         []byte
}

// call returns the body of a 200, a refusedError, or the faults of all nodes.
func (c *controlClient) call(request controlRequest) ([]byte, error) {
	var faults fault.Collector
	for _, node := range c.nodes {
		status, body, err := c.send(node, request)
		switch {
		case err != nil:
			faults.Add(fault.New(fault.Unreached, node, err.Error(), "name another node with --node"))
		case status >= http.StatusInternalServerError:
			faults.Add(fault.New(fault.Unsure, node, strings.TrimSpace(string(body)), c.unsureRemedy))
		case status != http.StatusOK:
			return nil, &refusedError{status: status, reason: refusalReason(body)}
		default:
			return body, nil
		}
	}
	return nil, faults.Err()
}

func (c *controlClient) send(node string, request controlRequest) (status int, body []byte, err error) {
	req, err := http.NewRequest(request.method, "http://"+node+request.path, bytes.NewReader(request.body))
	if err != nil {
		return 0, nil, err
	}
	for name, values := range request.header {
		req.Header[name] = values
	}
	resp, err := (&http.Client{Timeout: c.timeout}).Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	return resp.StatusCode, body, err
}

// refusalReason is the reason in a refusal, its body if it has no such field.
func refusalReason(body []byte) string {
	var document struct {
		Err string `json:"err"`
	}
	if json.Unmarshal(body, &document) != nil || document.Err == "" {
		return strings.TrimSpace(string(body))
	}
	return document.Err
}

// decodeResponse reads a JSON response of a node.
func decodeResponse(body []byte, value any) error {
	if err := json.Unmarshal(body, value); err != nil {
		return fault.New(fault.Invalid, "answer", err.Error(), "run the same version of rowanshunt as the nodes")
	}
	return nil
}
