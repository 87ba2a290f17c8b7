package httpapi

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"rowanshunt/internal/batch"
	"rowanshunt/internal/fault"
)

// MaxItems is how many items a job may hold.
const MaxItems = 200

// maxItemIDBytes bounds an item's id, for it is sent in a header.
const maxItemIDBytes = 256

// maxTokens bounds an item's tokens, so that no sum of them overflows.
const maxTokens = 1 << 40

// errStartAt is the answer to a read from no position.
var errStartAt = errors.New("start_at is no position")

// parseRead reads the position and the wait of a read. A wait that is no number is none.
func parseRead(r *http.Request) (startAt, waitMs int64, err error) {
	if s := r.URL.Query().Get("start_at"); s != "" {
		startAt, err = strconv.ParseInt(s, 10, 64)
		if err != nil || startAt < 0 {
			return 0, 0, errStartAt
		}
	}
	waitMs, _ = strconv.ParseInt(r.Header.Get("X-Rowanshunt-Wait-Ms"), 10, 64)
	return startAt, min(max(waitMs, 0), maxReadWaitMs), nil
}

// submitDocument is the body of a submission.
type submitDocument struct {
	Reqs []submitItem `json:"reqs"`
}

type submitItem struct {
	ID   string            `json:"id"`
	Path string            `json:"path"`
	Hdrs map[string]string `json:"hdrs"`
	Body string            `json:"body"`
	Toks *int64            `json:"toks"`
}

// ParseItems reads and checks the body of a submission. Its fault names every field that
// is wrong.
func ParseItems(raw []byte, wallUs int64) ([]batch.Item, error) {
	var doc submitDocument
	if err := json.Unmarshal(raw, &doc); err != nil {
		return nil, fault.New(fault.Invalid, "lot", err.Error(), "send one JSON object with reqs")
	}
	if len(doc.Reqs) == 0 {
		return nil, fault.New(fault.Invalid, "reqs", "is missing or empty", "submit at least one item")
	}
	if len(doc.Reqs) > MaxItems {
		return nil, fault.New(fault.Invalid, "reqs", "holds more than 200 items", "submit several lots")
	}
	var faults fault.Collector
	seen := map[string]bool{}
	items := make([]batch.Item, 0, len(doc.Reqs))
	for i := range doc.Reqs {
		item := &doc.Reqs[i]
		at := "reqs." + strconv.Itoa(i)
		item.check(at, seen[item.ID], &faults)
		seen[item.ID] = true
		items = append(items, item.parse(at, wallUs, &faults))
	}
	return items, faults.Err()
}

// check collects the faults of an item's id, path and tokens.
func (si *submitItem) check(at string, twice bool, faults *fault.Collector) {
	if si.ID == "" || len(si.ID) > maxItemIDBytes {
		faults.Addf(at+".id", "is missing or too long", "name each item")
	}
	if !validHeaderValue(si.ID) {
		faults.Addf(at+".id", "cannot be sent in a header", "use printable characters")
	}
	if twice {
		faults.Addf(at+".id", "is there twice", "name each item once")
	}
	if len(si.Path) == 0 || si.Path[0] != '/' {
		faults.Addf(at+".path", "is no path", "begin it with a slash")
	}
	if !validRequestTarget(si.Path) {
		faults.Addf(at+".path", "cannot be sent", "encode spaces and control characters")
	}
	if si.Toks == nil || *si.Toks < 0 || *si.Toks > maxTokens {
		faults.Addf(at+".toks", "is missing, negative or over the bound", "give the tokens of the prompt and the most out, summed")
	}
}

// parse gives the item, and collects the faults of its body and headers.
func (si *submitItem) parse(at string, wallUs int64, faults *fault.Collector) batch.Item {
	body, err := base64.StdEncoding.DecodeString(si.Body)
	if err != nil {
		faults.Addf(at+".body", "is no base64", "encode the body")
	}
	item := batch.Item{ID: si.ID, Path: si.Path, Body: body, CreatedUs: wallUs}
	if si.Toks != nil {
		item.Toks = *si.Toks
	}
	for name, value := range si.Hdrs {
		if !validHeaderName(name) || !validHeaderValue(value) {
			faults.Addf(at+".hdrs", "holds a header that cannot be sent", "leave it out")
		}
		item.Hdrs = append(item.Hdrs, name, value)
	}
	return item
}

func validHeaderName(k string) bool {
	if k == "" {
		return false
	}
	for _, c := range k {
		if c <= ' ' || c >= 0x7f || c == ':' {
			return false
		}
	}
	return true
}

// validRequestTarget tells whether a path goes into a request line as it is.
func validRequestTarget(path string) bool {
	for i := range len(path) {
		if path[i] <= ' ' || path[i] == 0x7f {
			return false
		}
	}
	return true
}

func validHeaderValue(v string) bool {
	for i := 0; i < len(v); i++ {
		if v[i] < ' ' && v[i] != '\t' || v[i] == 0x7f {
			return false
		}
	}
	return true
}
