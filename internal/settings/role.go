package settings

// The roles of nodes. The values travel in the records of members, so they stay as the first
// version had them; the commands are called edge and store.
const (
	RoleEdge  = "forager" // serves clients, workers and operators
	RoleStore = "comb"    // keeps batch jobs on its disk
)

// RoleOf maps the name of a command, or its earlier name, to its role. Any other name is
// returned as it is.
func RoleOf(name string) string {
	switch name {
	case "edge", EarlierEdgeCommand:
		return RoleEdge
	case "store", EarlierStoreCommand:
		return RoleStore
	}
	return name
}
