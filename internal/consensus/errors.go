package consensus

import "rowanshunt/internal/fault"

// Errors of the register with a fixed text. Within a node errors.Is finds them; to
// other nodes only their kind and text travel, so callers there use fault.Is
// (design 2.3).
var (
	errNoAcceptor       = fault.New(fault.Unknown, "member", "this node has no such member", "read the membership again")
	errWrongMember      = fault.New(fault.Unknown, "member", "this node holds another member", "read the membership again")
	errNoCommitted      = fault.New(fault.Unknown, "register", "no committed state known here", "ask another node")
	errNoState          = fault.New(fault.Invalid, "state", "is missing", "run the same version on all nodes")
	errNotBootstrapped  = fault.New(fault.Unsure, "register", "is not bootstrapped here yet", "try again")
	errDisagreement     = fault.New(fault.Unsure, "register", "the members do not agree yet", "try again")
	errNoMajority       = fault.New(fault.Refused, "register", "no majority in time", "look which core machines run; try again")
	errOutcomeUnknown   = fault.New(fault.Unsure, "register", "no majority in time", "look which core machines run; try again")
	errNoTurn           = fault.New(fault.Refused, "register", "an earlier change of this node is still in progress", "try again")
	errNotReplicated    = fault.New(fault.Refused, "core", "a living member does not hold the membership yet", "nothing to do")
	errCannotJoin       = fault.New(fault.Refused, "core", "is full, or it is too early to tell who is there", "nothing to do")
	errStaleBase        = fault.New(fault.Stale, "If-Match", "another version is in place", "read it and build on its version")
	errVersionNotAbove  = fault.New(fault.Invalid, "ver", "is not above the current one", "raise it")
	errForgottenRequest = fault.New(fault.Unsure, "ver", "was sent so long ago that nothing is known of it", "read the current version")
)
