package settings

// Words of command lines in earlier versions. Deploy files and scripts may hold them, so the
// programs still accept them, but do not show them in their help.
const (
	EarlierEdgeCommand       = "forager"   // rowanshunt edge
	EarlierStoreCommand      = "comb"      // rowanshunt store
	EarlierConfigurationName = "blueprint" // tracer configuration, rowanshunt check --config
)
