package upgrade

import (
	"encoding/hex"
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"rowanshunt/internal/codec"
)

// The answer to a survey has the bytes of the first version, in which groups and
// health carry the names of their fields (design 13).
func TestSurveyResponseHasTheBytesOfTheFirstVersion(t *testing.T) {
	in := surveyResponse{
		Groups: []PrefixGroup{{ID: "s4", RecentRequests: 5, Replicas: []string{"s7", "s8"}}, {ID: "s10", RecentRequests: 11, Replicas: []string{"s13", "s14"}}},
		Health: Health{Answers: 16, Late: 17, Failed: 18},
		Busy:   []string{"s20", "s21"},
	}
	const want = "939283a24944a27334a64c6174656c79d30000000000000005a7486f6c6465727392a27337a27338" +
		"83a24944a3733130a64c6174656c79d3000000000000000ba7486f6c6465727392a3733133a3733134" +
		"83a7416e7377657273d30000000000000010a44c617465d30000000000000011a64661696c6564d30000000000000012" +
		"92a3733230a3733231"
	raw, err := codec.Marshal(&in)
	if err != nil || hex.EncodeToString(raw) != want {
		t.Errorf("%x, want %s (%v)", raw, want, err)
	}
	var out surveyResponse
	if err := msgpack.Unmarshal(raw, &out); err != nil || !reflect.DeepEqual(in, out) {
		t.Errorf("%+v, want %+v (%v)", out, in, err)
	}
}

// Guards against an upgrade that pauses on one kind of processor only: 0.55 of 20 workers
// are 11, also where the subtraction of the drained ones could be fused with the product,
// which is a little above 11.
func TestRequiredWorkersAreRoundedOnAllProcessors(t *testing.T) {
	u := Upgrade{Rules: DefaultRules(), Total: 20, Drained: make([]DrainedWorker, 4)}
	u.Rules.MinHealthyShare = 0.55
	if problem := u.findProblem(7, Health{}); problem != nil {
		t.Errorf("7 healthy and 4 drained workers of 20: %s", problem.why)
	}
	if problem := u.findProblem(6, Health{}); problem == nil {
		t.Error("6 healthy and 4 drained workers of 20: no problem")
	}
}
