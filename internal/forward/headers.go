package forward

import (
	"net/http"
	"strconv"
	"strings"
)

// Headers of the protocol.
const (
	HeaderRequestID      = "X-Rowanshunt-Request-Id"
	HeaderTimeLeft       = "X-Rowanshunt-Time-Left-Ms"
	HeaderWantWorker     = "X-Rowanshunt-Want-Worker"
	HeaderWantVersion    = "X-Rowanshunt-Want-Version"
	HeaderNotRun         = "X-Rowanshunt-Not-Run"
	HeaderSeal           = "X-Rowanshunt-Seal"
	HeaderWorkerLoad     = "X-Rowanshunt-Worker-Load"
	HeaderPromptPrefix   = "X-Rowanshunt-Prompt-Prefix"
	HeaderTokens         = "X-Rowanshunt-Tokens"
	HeaderWeightVersions = "X-Rowanshunt-Weight-Versions"
	HeaderLastEventID    = "Last-Event-Id"

	// protocolPrefix begins the names of the protocol's own headers.
	protocolPrefix = "X-Rowanshunt-"
)

// responseHeaders are the headers of a worker's response that clients get: an
// allow list (design 6.6).
var responseHeaders = []string{"Content-Type", "Content-Length", HeaderRequestID, HeaderSeal, HeaderWeightVersions, "Retry-After",
	"Cache-Control", "Content-Language", "Content-Encoding", "Content-Disposition", "Etag", "Expires", "Last-Modified", "Location", "Vary"}

// hopByHopHeaders concern one connection only, or are written by the sender
// itself, and are not forwarded to workers. The protocol asks that all others are,
// which is why this is a deny list where the house style has allow lists
// (design 6.6).
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length", HeaderWantWorker, HeaderTimeLeft}

// withheldHeaders are the headers of a Request that are not copied to the worker:
// those of one connection, and those that the sender writes itself (design 6.6).
var withheldHeaders = func() map[string]bool {
	withheld := map[string]bool{"Host": true, HeaderRequestID: true}
	for _, name := range hopByHopHeaders {
		withheld[name] = true
	}
	return withheld
}()

// forwardedHeaders are the headers of a client's request that go to the worker.
func forwardedHeaders(received http.Header) http.Header {
	perConnection := map[string]bool{}
	for _, value := range received["Connection"] {
		for _, name := range strings.Split(value, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			// A client cannot take away the protocol's own headers: they concern the worker.
			perConnection[name] = !strings.HasPrefix(name, protocolPrefix)
		}
	}
	forwarded := make(http.Header, len(received))
	for name, values := range received {
		if !perConnection[name] {
			forwarded[name] = values
		}
	}
	for _, name := range hopByHopHeaders {
		delete(forwarded, name)
	}
	return forwarded
}

// maxTokens bounds one count of tokens: sumTokens ignores a part that reaches it.
const maxTokens = 1 << 32

// sumTokens adds the tokens of the prompt and the most that may be generated, as
// HeaderTokens has them. A part that cannot be read counts as 0.
func sumTokens(header string) int64 {
	var sum int64
	for _, part := range strings.Split(header, ",") {
		if count, err := strconv.ParseInt(strings.TrimSpace(part), 10, 64); err == nil && count > 0 && count < maxTokens {
			sum += count
		}
	}
	return sum
}

// weightVersionOf is the version of the weights that a response's header names.
func weightVersionOf(response *http.Response) (int64, bool) {
	return lastNumber(response.Header.Get(HeaderWeightVersions))
}

// lastNumber reads the last of numbers between commas or spaces.
func lastNumber(text string) (int64, bool) {
	text = strings.TrimSpace(text)
	if i := strings.LastIndexAny(text, ", :="); i >= 0 {
		text = text[i+1:]
	}
	number, err := strconv.ParseInt(text, 10, 64)
	return number, err == nil
}
