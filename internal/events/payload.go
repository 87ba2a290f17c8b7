package events

// The types of events. Operators' sinks filter by them, so the values stay as the first
// version had them.
const (
	ConfigurationCommitted = "rowanshunt.blueprint.taken" // payload Configuration
	WorkerChanged          = "rowanshunt.worker.changed"  // payload Worker
	UpgradeChanged         = "rowanshunt.upgrade.changed" // payload UpgradeOrder or UpgradeProgress
)

// Configuration is the payload of ConfigurationCommitted.
type Configuration struct {
	ReplacedVersion int64 `json:"on"` // the version that the operator expected to be in force
	Version         int64 `json:"ver"`
}

// Worker is the payload of WorkerChanged.
type Worker struct {
	Addr    string `json:"addr"`
	Gone    bool   `json:"gone"` // removed from the directory of workers
	Phase   string `json:"phase"`
	Service string `json:"svc"`
}

// UpgradeOrder is the payload of UpgradeChanged after an operator's order.
type UpgradeOrder struct {
	Act   string `json:"act"` // start, pause, resume or undo
	Phase string `json:"phase"`
	To    int64  `json:"to"` // target version
}

// UpgradeProgressed is the act of an UpgradeProgress; the value tells it from an UpgradeOrder.
const UpgradeProgressed = "moved"

// UpgradeProgress is the payload of UpgradeChanged after a step of the driver.
type UpgradeProgress struct {
	Act   string `json:"act"` // always UpgradeProgressed
	Phase string `json:"phase"`
	Wave  int64  `json:"wave"`
	Why   string `json:"why"` // reason of a pause, "" without one
}
