package trace

import "sort"

// Fact is one thing that a node knows about the change. Facts and answers travel as msgpack
// arrays and are printed as JSON: the order of the fields and the keys are formats.
type Fact struct {
	Hop    string `json:"hop"`             // step on the way of the change (docs/tracer.md lists them)
	State  string `json:"state"`           // of the change at that step, for readers
	AtUs   int64  `json:"at_us,omitempty"` // time of day since when, in microseconds, 0 if unknown
	Behind bool   `json:"behind,omitempty"`
	// Mark is compared between nodes: while the marks of one hop differ, the change has
	// not arrived everywhere. "" is not compared.
	Mark string `json:"mark,omitempty"`
}

// NodeAnswer is what one node knows about the change.
type NodeAnswer struct {
	Node   string `json:"node"`
	Role   string `json:"role"`
	Az     string `json:"az"`
	Silent bool   `json:"silent,omitempty"` // it did not answer in time
	Facts  []Fact `json:"facts"`
}

// Report is what all nodes know about the change.
type Report struct {
	Kind     string       `json:"kind"`
	ID       string       `json:"id"`
	Complete bool         `json:"complete"` // nothing is missing
	Missing  []string     `json:"missing"`  // sorted
	Answers  []NodeAnswer `json:"nodes"`
}

// evaluate sets Missing and Complete: a change is complete when every node answered, none is
// behind, nodes agree on each hop, and at least one knows the change.
func (r *Report) evaluate() {
	facts := 0
	for _, a := range r.Answers {
		if a.Silent {
			r.Missing = append(r.Missing, a.Node+": silent")
		}
		for _, f := range a.Facts {
			facts++
			if f.Behind {
				r.Missing = append(r.Missing, a.Node+": "+f.Hop+": "+f.State)
			}
		}
	}
	for _, hop := range r.differingHops() {
		r.Missing = append(r.Missing, hop+": the nodes differ")
	}
	if facts == 0 {
		r.Missing = append(r.Missing, "no node knows it")
	}
	sort.Strings(r.Missing)
	r.Complete = len(r.Missing) == 0
}

// differingHops lists the hops on which the marks of two nodes differ.
func (r *Report) differingHops() []string {
	var differing []string
	marks, listed := map[string]string{}, map[string]bool{}
	for _, a := range r.Answers {
		for _, f := range a.Facts {
			first := marks[f.Hop]
			switch {
			case f.Mark == "" || f.Mark == first:
			case first == "":
				marks[f.Hop] = f.Mark
			case !listed[f.Hop]:
				listed[f.Hop] = true
				differing = append(differing, f.Hop)
			}
		}
	}
	return differing
}
