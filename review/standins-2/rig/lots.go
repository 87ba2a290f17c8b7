package rig

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

var lotClient = &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call makes one call at the address for clients; status 0: no answer.
func (n *Node) call(method, path, id string, body []byte) (status int, answer []byte) {
	request, _ := http.NewRequest(method, "http://"+n.IP+":8144"+path, bytes.NewReader(body))
	request.Host = "ficu95.example"
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Rowanshunt-Wait-Ms", "1000")
	if id != "" {
		request.Header.Set("X-Rowanshunt-Request-Id", id)
	}
	response, err := lotClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// SubmitLot hands a lot of some items in, to one node after the other, until it is
// accepted or the time is over.
func (s *Script) SubmitLot(id string, items int, limit time.Duration) bool {
	var reqs []string
	for i := range items {
		body := base64.StdEncoding.EncodeToString([]byte(strings.Repeat(id, 40)))
		reqs = append(reqs, fmt.Sprintf(`{"id":"%s-%d","path":"/pule252/3/%d","hdrs":{"X-Rowanshunt-Model":"m","X-Rowanshunt-Tokens":"540,400"},"body":"%s","toks":940}`, id, i, i, body))
	}
	document := []byte(`{"reqs":[` + strings.Join(reqs, ",") + `]}`)
	begin := time.Now()
	for i := 0; time.Since(begin) < limit; i++ {
		status, _ := s.Edges()[i%3].call(http.MethodPost, "/pule252/"+id, id, document)
		s.Log("lot %s of %d items sent to %s, answered %d", id, items, s.Edges()[i%3].Name, status)
		if status == http.StatusAccepted {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// LotPage is an answer to a read.
type LotPage struct {
	Sum  int `json:"sum"`
	Cont int `json:"cont"`
	Out  []struct {
		ID    string `json:"id"`
		Phase string `json:"phase"`
		Msg   string `json:"msg"`
	} `json:"out"`
}

// ReadLot makes one read from a position at one node.
func (s *Script) ReadLot(n *Node, id string, from int) (status int, page LotPage) {
	status, raw := n.call(http.MethodGet, fmt.Sprintf("/-/lots/%s?start_at=%d", id, from), "", nil)
	if status == http.StatusOK && json.Unmarshal(raw, &page) != nil {
		status = 0
	}
	return status, page
}

// Retire orders that a store be emptied, until that is acknowledged.
func (s *Script) Retire(n *Node, overS int, limit time.Duration) bool {
	begin := time.Now()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := 0; time.Since(begin) < limit; i++ {
		response, err := client.Post("http://"+s.Edges()[i%3].IP+":8146/-/retire/"+n.Name, "application/json", strings.NewReader(fmt.Sprintf(`{"over_s":%d}`, overS)))
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				s.Log("the retirement of %s is acknowledged", n.Name)
				return true
			}
			s.Log("the retirement of %s is answered %d", n.Name, response.StatusCode)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// Retired asks whether a store is emptied.
func (s *Script) Retired(n *Node) (phase string) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, edge := range s.Edges() {
		response, err := client.Get("http://" + edge.IP + ":8146/-/retire/" + n.Name)
		if err != nil {
			continue
		}
		var answer struct {
			Phase string `json:"phase"`
		}
		err = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK {
			return answer.Phase
		}
	}
	return "no answer"
}
