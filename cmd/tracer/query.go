package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"rowanshunt/internal/trace"
)

// maxReportBytes bounds what is read of a node's answer.
const maxReportBytes = 8 << 20

// query tries the nodes in turn until one answers. Each gets an equal part of the time that is
// left, so that a node that hangs leaves time for the others.
func query(nodes []string, timeout time.Duration, c change) (*trace.Report, error) {
	var failures []string
	client := &http.Client{}
	end := time.Now().Add(timeout)
	for i, node := range nodes {
		client.Timeout = time.Until(end) / time.Duration(len(nodes)-i)
		if client.Timeout <= 0 {
			failures = append(failures, node+": no time left")
			continue
		}
		report, err := queryNode(client, node, c)
		if err == nil {
			return report, nil
		}
		failures = append(failures, node+": "+err.Error())
	}
	return nil, errors.New("no node answered (name others with --node, or allow more with --timeout): " + strings.Join(failures, "; "))
}

// queryNode lets one node follow the change through all nodes in its view.
func queryNode(client *http.Client, node string, c change) (*trace.Report, error) {
	resp, err := client.Get("http://" + node + "/-/traces/" + c.kind + "/" + url.PathEscape(c.id) + "?host=" + url.QueryEscape(c.host))
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %s", resp.Status, strings.TrimSpace(string(raw)))
	}
	report := &trace.Report{}
	return report, json.Unmarshal(raw, report)
}
