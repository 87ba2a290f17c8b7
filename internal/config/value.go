package config

import "github.com/go-faster/jx"

// decodeInt decodes a whole number, also one that is written as 1.0.
func decodeInt(d *jx.Decoder, into *int64) error {
	n, err := d.Num()
	if err != nil {
		return err
	}
	if n.IsInt() {
		*into, err = n.Int64()
		return err
	}
	f, err := n.Float64()
	*into = int64(f)
	return err
}

func decodeFloat(d *jx.Decoder, into *float64) error {
	v, err := d.Float64()
	*into = v
	return err
}

func decodeString(d *jx.Decoder, into *string) error {
	s, err := d.Str()
	*into = s
	return err
}

func decodeBool(d *jx.Decoder, into *bool) error {
	v, err := d.Bool()
	*into = v
	return err
}
