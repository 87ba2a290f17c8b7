package settings

import (
	"os"

	"github.com/BurntSushi/toml"

	"rowanshunt/internal/fault"
)

// EnvFile is the environment variable with the path of the settings file.
const EnvFile = "ROWANSHUNT_NODE_FILE"

// DefaultFile is the settings file if neither a flag nor EnvFile names one.
const DefaultFile = "/etc/rowanshunt/node.toml"

// Path returns the settings file of this process; flag is the one of its command line or "".
func Path(flag string) string {
	if flag != "" {
		return flag
	}
	if path := os.Getenv(EnvFile); path != "" {
		return path
	}
	return DefaultFile
}

// Load reads and checks a settings file.
func Load(path string) (*Options, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.New(fault.Invalid, path, err.Error(), "name a readable options file with --file or "+EnvFile)
	}
	return Parse(raw)
}

// Parse reads settings from TOML, sets the defaults and checks the result. Unknown fields are
// ignored. The options are returned along with the faults of a check, to be looked at.
func Parse(raw []byte) (*Options, error) {
	o := &Options{}
	if err := toml.Unmarshal(raw, o); err != nil {
		return nil, fault.New(fault.Invalid, "options", err.Error(), "write the file as TOML with the fields of docs/operators.md")
	}
	o.setDefaults()
	err := o.Check()
	return o, err
}

// setDefaults replaces zeros by the defaults that the fields of Options name.
func (o *Options) setDefaults() {
	setDefault(&o.HbMs, 1200)
	setDefault(&o.Caps.CPUFrac, 1)
	setDefault(&o.Caps.NCPU, 1)
	setDefault(&o.Caps.RAMMb, 256)
	setDefault(&o.Caps.NoFile, 1024)
	b := &o.Bounds
	setDefault(&b.ContactMs, 3000)
	setDefault(&b.AckMs, 4000)
	setDefault(&b.SyncS, 5)
	setDefault(&b.DrainMs, 2000)
	setDefault(&b.GraceS, 8)
	setDefault(&b.ApplyMs, 2000)
	setDefault(&b.PollS, 120)
	setDefault(&b.CancelMs, 3000)
	setDefault(&b.ReadableMs, 1000)
}

func setDefault[T int64 | float64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
