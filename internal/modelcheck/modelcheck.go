// Package modelcheck explores every state that a model can reach, breadth first,
// so that the trace of a violated invariant is a shortest one. Only tests use it: they
// supply the real state machines, the network between them and the invariants
// (docs/hardening.md 6).
package modelcheck

import (
	"slices"

	"github.com/zeebo/xxh3"
)

// Model is what is explored. A world is never modified once the model has returned
// it.
type Model[World, Action any] interface {
	First() World
	// Actions lists what may happen next.
	Actions(World) []Action
	// Step makes the world that an action leads to, and names the invariant that
	// the step violated, "" for none.
	Step(World, Action) (next World, fault string)
	// Key writes a world as bytes: equal bytes, equal worlds. They are valid until
	// the next call.
	Key(World) []byte
}

// Result is the outcome of a search.
type Result[Action any] struct {
	States, Transitions, Depth int
	Complete                   bool     // every reachable state was explored
	Fault                      string   // the first violated invariant
	Path                       []Action // leads to the fault
}

// Search explores until no state is new, an invariant is violated, or there are more
// than maxStates. onNewState, if not nil, is called with each new state and the one it
// was reached from.
func Search[World, Action any](model Model[World, Action], maxStates int, onNewState func(before, after World)) Result[Action] {
	type origin struct {
		parent int32
		action Action
	}
	type node struct {
		world World
		id    int32
	}
	first := model.First()
	visited := map[xxh3.Uint128]struct{}{xxh3.Hash128(model.Key(first)): {}}
	origins := []origin{{parent: -1}}
	frontier := []node{{first, 0}}
	result := Result[Action]{States: 1}
	for ; len(frontier) > 0; result.Depth++ {
		var next []node
		for i, from := range frontier {
			frontier[i] = node{} // lets the world be freed while the level is explored
			for _, action := range model.Actions(from.world) {
				world, fault := model.Step(from.world, action)
				result.Transitions++
				hash := xxh3.Hash128(model.Key(world))
				if _, seen := visited[hash]; seen && fault == "" {
					continue
				}
				visited[hash] = struct{}{}
				id := int32(len(origins))
				origins = append(origins, origin{from.id, action})
				result.States++
				if fault != "" {
					result.Fault = fault
					for at := id; at > 0; at = origins[at].parent {
						result.Path = append(result.Path, origins[at].action)
					}
					slices.Reverse(result.Path)
					return result
				}
				next = append(next, node{world, id})
				if onNewState != nil {
					onNewState(from.world, world)
				}
			}
		}
		if result.States > maxStates {
			return result
		}
		frontier = next
	}
	result.Complete = true
	return result
}
