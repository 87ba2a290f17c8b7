package rig

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Answer is what a client saw of a request.
type Answer struct {
	ID       string
	Status   int // 0: none came
	Events   []string
	Complete bool // the answer ended as HTTP says that it is whole
	Err      error
	Sent     time.Duration
	Ended    time.Duration
}

// Stream sends a request of a stream route to an edge node and reads its answer.
func (c *Cluster) Stream(n *Node, host, path, id string, timeLeft time.Duration) *Answer {
	a := &Answer{ID: id, Sent: c.record.Now()}
	c.record.Logf("client sends %s %s to %s", id, path, n.Name)
	defer func() {
		a.Ended = c.record.Now()
		c.record.Logf("client %s: status %d, %d events, complete %v, %v", id, a.Status, len(a.Events), a.Complete, a.Err)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), timeLeft)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, "POST", "http://"+n.HTTP()+path, strings.NewReader("prompt of "+id))
	if err != nil {
		a.Err = err
		return a
	}
	request.Host = host
	request.Header.Set("X-Rowanshunt-Request-Id", id)
	request.Header.Set("X-Rowanshunt-Model", "m")
	request.Header.Set("X-Rowanshunt-Tokens", "100,200")
	request.Header.Set("X-Rowanshunt-Time-Left-Ms", fmt.Sprint(timeLeft.Milliseconds()))
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		a.Err = err
		return a
	}
	defer response.Body.Close()
	a.Status = response.StatusCode
	reader := bufio.NewReader(response.Body)
	for {
		line, err := reader.ReadString('\n')
		if data, ok := strings.CutPrefix(strings.TrimSuffix(line, "\n"), "data: "); ok && response.StatusCode == 200 {
			a.Events = append(a.Events, data)
		}
		if err == io.EOF {
			a.Complete = true
			return a
		}
		if err != nil {
			a.Err = err
			return a
		}
	}
}
