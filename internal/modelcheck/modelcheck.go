// Package modelcheck explores every state that a model can reach, breadth first,
// so that the trace of a fault is a shortest one. Only tests use it: they give
// the real state machines, the network between them and the invariants (docs/
// hardening.md 6).
package modelcheck

import (
	"slices"

	"github.com/zeebo/xxh3"
)

// Model is what is explored. A world is never changed once it was given out.
type Model[World, Action any] interface {
	First() World
	// Actions lists what may happen next.
	Actions(World) []Action
	// Step makes the world that an action leads to, and tells the invariant that
	// broke on the way, "" for none.
	Step(World, Action) (next World, fault string)
	// Key writes a world as bytes: equal bytes, equal worlds. They are valid until
	// the next call.
	Key(World) []byte
}

// Verdict is what a search found.
type Verdict[Action any] struct {
	States, Transitions, Depth int
	Complete                   bool     // there was nothing new to explore
	Fault                      string   // of the first broken invariant
	Path                       []Action // that leads to the fault
}

// Search explores until there is nothing new, an invariant breaks, or there are
// too many states. found, if not nil, is told of each new state and the one it
// came from.
func Search[World, Action any](model Model[World, Action], mostStates int, found func(before, after World)) Verdict[Action] {
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
	verdict := Verdict[Action]{States: 1}
	for ; len(frontier) > 0; verdict.Depth++ {
		var next []node
		for i, from := range frontier {
			frontier[i] = node{} // the search needs it no more
			for _, action := range model.Actions(from.world) {
				world, fault := model.Step(from.world, action)
				verdict.Transitions++
				hash := xxh3.Hash128(model.Key(world))
				if _, seen := visited[hash]; seen && fault == "" {
					continue
				}
				visited[hash] = struct{}{}
				id := int32(len(origins))
				origins = append(origins, origin{from.id, action})
				verdict.States++
				if fault != "" {
					verdict.Fault = fault
					for at := id; at > 0; at = origins[at].parent {
						verdict.Path = append(verdict.Path, origins[at].action)
					}
					slices.Reverse(verdict.Path)
					return verdict
				}
				next = append(next, node{world, id})
				if found != nil {
					found(from.world, world)
				}
			}
		}
		if verdict.States > mostStates {
			return verdict
		}
		frontier = next
	}
	verdict.Complete = true
	return verdict
}
