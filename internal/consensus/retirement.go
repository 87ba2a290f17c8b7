package consensus

import (
	"slices"
	"strings"

	"rowanshunt/internal/fault"
)

// Bounds of what the register's value keeps of retired stores, so that it does not
// grow with their number (design 4.5).
const (
	maxRetiredGone    = 64 // members in State.Retiring that are no stores any more
	maxRetireRequests = 64 // names in the log of accepted retire requests
)

// RetireChange is the change that marks a store to be emptied, where maxFailures
// machines may be lost at once. A request that was accepted before changes nothing.
func RetireChange(name string, maxFailures int) Change {
	return func(current *State) (*State, error) {
		at := slices.IndexFunc(current.Stores.All(), func(store Member) bool { return store.Name == name })
		if at < 0 {
			accepted, err := isRetireAccepted(current, name)
			if accepted || err != nil {
				return nil, err
			}
			return nil, unknownStoreError(name)
		}
		id := current.Stores.All()[at].ID
		if slices.Contains(current.Retiring, id) {
			return nil, nil
		}
		if storesLeftWithout(current, id) < 2*maxFailures+1 {
			return nil, fault.New(fault.Conflict, name, "too few stores would be left", "add a store first")
		}
		current.MarkRetiring(id)
		if err := logRetire(current, name); err != nil {
			return nil, err
		}
		return current, nil
	}
}

// MarkRetiring marks a store member to be emptied, in a state that is not shared yet.
func (s *State) MarkRetiring(id string) {
	s.Retiring = boundRetiring(append(slices.Clone(s.Retiring), id), s.Stores.All())
}

// RetiringOf lists the marked members, also those that are gone, of the machine of a name: it
// may have had several disks.
func (s *State) RetiringOf(name string) []string {
	return slices.DeleteFunc(slices.Clone(s.Retiring), func(id string) bool { return !strings.HasPrefix(id, name+"#") })
}

// storesLeftWithout counts the current stores that are neither this one nor retiring.
func storesLeftWithout(current *State, id string) int {
	left := 0
	for _, store := range current.Stores.Current {
		if store.ID != id && !slices.Contains(current.Retiring, store.ID) {
			left++
		}
	}
	return left
}

// boundRetiring keeps the members that are still stores, and the newest
// maxRetiredGone of those that are gone.
func boundRetiring(retiring []string, stores []Member) []string {
	isStore := func(id string) bool {
		return slices.ContainsFunc(stores, func(store Member) bool { return store.ID == id })
	}
	gone := 0
	for _, id := range retiring {
		if !isStore(id) {
			gone++
		}
	}
	return slices.DeleteFunc(retiring, func(id string) bool {
		if isStore(id) || gone <= maxRetiredGone {
			return false
		}
		gone--
		return true
	})
}

func unknownStoreError(name string) error {
	return fault.New(fault.Unknown, name, "is no store of this system", "name a store's node")
}

// retiredIn tells whether a state shows the store as retired and gone.
func retiredIn(s *State, name string) (done bool, err error) {
	if slices.ContainsFunc(s.Stores.All(), func(store Member) bool { return store.Name == name }) {
		return false, nil
	}
	if done, err = isRetireAccepted(s, name); done || err != nil {
		return done, err
	}
	return false, unknownStoreError(name)
}

// isRetireAccepted tells whether a retire request for that name was accepted lately.
func isRetireAccepted(s *State, name string) (bool, error) {
	if len(s.RetiringOf(name)) > 0 {
		return true, nil
	}
	return isRetireLogged(s, name)
}

// loadRetireRequests reads the names in accepted retire requests, oldest first: a
// request for a store that has left since is recognized by them.
func loadRetireRequests(s *State) ([]string, error) {
	names, _, err := loadAttribute[[]string](s, retireRequestsKey)
	return names, err
}

func isRetireLogged(s *State, name string) (bool, error) {
	names, err := loadRetireRequests(s)
	return slices.Contains(names, name), err
}

// logRetire adds a name to the retire requests in a state that is not shared yet.
func logRetire(s *State, name string) error {
	names, err := loadRetireRequests(s)
	if err != nil {
		return err
	}
	names = append(slices.DeleteFunc(names, func(n string) bool { return n == name }), name)
	if over := len(names) - maxRetireRequests; over > 0 {
		names = names[over:]
	}
	return storeAttribute(s, retireRequestsKey, names)
}
