package ingress

import (
	"context"
	"net/http"
	"strconv"

	"github.com/julienschmidt/httprouter"

	"rowanshunt/internal/config"
	"rowanshunt/internal/events"
	"rowanshunt/internal/fault"
)

// PutConfigurationCommand is an operator's new configuration.
type PutConfigurationCommand struct {
	Document []byte
	Version  int64
	Base     int64 // the version that it builds on, 0 for the first
}

// Run commits the configuration, if the version in the register is its base.
func (p *PutConfigurationCommand) Run(ctx context.Context, c *Control) (Reply, error) {
	state, err := c.Register.Put(ctx, p.Document, p.Version, p.Base)
	if err != nil {
		return Reply{}, err
	}
	c.acknowledged.add(p.Version, c.WallUs())
	c.Emitter.Emit(events.ConfigurationCommitted, strconv.FormatInt(p.Version, 10), events.Configuration{Version: p.Version, ReplacedVersion: p.Base})
	c.Log.Info("configuration_committed", "version", state.Version, "revision", state.Revision)
	return emptyReply(), nil
}

func decodePutConfiguration(r *http.Request, _ httprouter.Params) (Command, error) {
	body, err := readBody(r, config.MaxBytes)
	if err != nil {
		return nil, err
	}
	configuration, err := config.Parse(body)
	if err != nil {
		return nil, err
	}
	base, err := baseVersion(r)
	if err != nil {
		return nil, err
	}
	return &PutConfigurationCommand{Document: body, Version: configuration.Version, Base: base}, nil
}

// GetConfigurationCommand reads the latest configuration.
type GetConfigurationCommand struct{}

// Run reads the register at a majority.
func (GetConfigurationCommand) Run(ctx context.Context, c *Control) (Reply, error) {
	state, err := c.Register.Read(ctx)
	if err != nil {
		return Reply{}, err
	}
	if state.Version == 0 {
		return Reply{}, fault.New(fault.Unknown, "configuration", "none was put yet", "put one")
	}
	return Reply{Status: http.StatusOK, Body: state.Document}, nil
}

func decodeGetConfiguration(*http.Request, httprouter.Params) (Command, error) {
	return GetConfigurationCommand{}, nil
}
