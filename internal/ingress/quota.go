package ingress

import (
	"context"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"rowanshunt/internal/fault"
	"rowanshunt/internal/quota"
)

// PutQuotasCommand is an operator's new quota document (design 17.1).
type PutQuotasCommand struct {
	Document *quota.Document
	Expected int64 // the version that it replaces, 0 for the first
}

// Run commits the document, if the version in the register is the expected one.
func (p *PutQuotasCommand) Run(ctx context.Context, c *Control) (Reply, error) {
	if err := quota.Put(ctx, c.Register.Change, p.Document, p.Expected); err != nil {
		return Reply{}, err
	}
	c.Log.Info("quotas_committed", "version", p.Document.Version)
	return emptyReply(), nil
}

func decodePutQuotas(r *http.Request, _ httprouter.Params) (Command, error) {
	body, err := readBody(r, quota.MaxBytes)
	if err != nil {
		return nil, err
	}
	document, err := quota.ParseJSON(body)
	if err != nil {
		return nil, err
	}
	expected, err := baseVersion(r)
	if err != nil {
		return nil, err
	}
	return &PutQuotasCommand{Document: document, Expected: expected}, nil
}

// GetQuotasCommand reads the latest quota document.
type GetQuotasCommand struct{}

// Run reads the register at a majority.
func (GetQuotasCommand) Run(ctx context.Context, c *Control) (Reply, error) {
	state, err := c.Register.Read(ctx)
	if err != nil {
		return Reply{}, err
	}
	document := quota.Load(state)
	if document == nil {
		return Reply{}, fault.New(fault.Unknown, "quotas", "none are set", "set some with rowanshunt quota set")
	}
	return Reply{Status: http.StatusOK, Body: document.JSON()}, nil
}

func decodeGetQuotas(*http.Request, httprouter.Params) (Command, error) {
	return GetQuotasCommand{}, nil
}

// ExplainQuotaCommand reads a tenant's quota and usage.
type ExplainQuotaCommand struct{ Tenant string }

// Run asks the allocators of all services, once this node has the latest document.
func (e *ExplainQuotaCommand) Run(ctx context.Context, c *Control) (Reply, error) {
	state, err := c.Register.Read(ctx)
	if err != nil {
		return Reply{}, err
	}
	if document := quota.Load(state); document != nil && c.Quotas.RulesVersion() < document.Version {
		return Reply{}, fault.New(fault.Refused, "quotas", "the newest document is not in force here yet", "ask again")
	}
	rows, err := c.Quotas.Explain(ctx, e.Tenant)
	if err != nil {
		return Reply{}, err
	}
	return replyJSON(rows)
}

func decodeExplainQuota(_ *http.Request, params httprouter.Params) (Command, error) {
	return &ExplainQuotaCommand{Tenant: params.ByName("tenant")}, nil
}
