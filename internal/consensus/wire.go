package consensus

// The names under which this package's calls travel between nodes and its data
// lie on disk and in the register's value. Nodes of earlier versions use the same
// names, so a value stays as it was first released even where the identifier has
// a newer name (design 2.1, 4.2).

// Kinds of peer calls.
const (
	kindPrepare          = "nest.prepare"
	kindAccept           = "nest.accept"
	kindBootstrapPrepare = "nest.found.prepare" // to the bootstrap register (design 4.3)
	kindBootstrapAccept  = "nest.found.accept"
	kindCommitted        = "nest.learn" // pushes a committed state
	kindLatest           = "nest.get"   // fetches the newest committed state
	kindLostContact      = "nest.contact"
)

// LogName is the file that holds an acceptor's vote and its identity.
const LogName = "register.cell"

// Keys of State.Attributes.
const (
	// ConfigRequests and QuotaRequests are the documents whose requests are logged.
	ConfigRequests RequestLogKey = "orders/config"
	QuotaRequests  RequestLogKey = "orders/quotas"

	completedRequestsKey = "orders/ended"
	retireRequestsKey    = "orders/retire"
)

// bootstrapMemberPrefix precedes a seed's address in the identity of its acceptor
// in the bootstrap register, which calls carry.
const bootstrapMemberPrefix = "founding@"
