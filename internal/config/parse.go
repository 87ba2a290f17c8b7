package config

import (
	"strconv"

	"github.com/go-faster/jx"

	"rowanshunt/internal/fault"
)

// MaxBytes bounds a document before any cap of a configuration is known.
const MaxBytes = 4 << 20

// Bounds on a document's lists.
const (
	maxRoutes   = 20_000
	maxServices = 2_000
	maxSplit    = 64
)

// Parse decodes a document and validates all of it. A document that can't be
// decoded gets the first fault; one that can gets all of them at once.
func Parse(raw []byte) (*Configuration, error) {
	if len(raw) > MaxBytes {
		return nil, fault.New(fault.TooLarge, "configuration", "is over 4 MiB", "send a smaller one")
	}
	p := &parser{config: &Configuration{Services: map[string]*Service{}, Caps: defaultCaps()}}
	if err := p.decode(raw); err != nil {
		return nil, fault.New(fault.Invalid, "configuration", "cannot be read whole: "+err.Error(), "send one JSON object with ver, routes, svcs and caps")
	}
	p.validate()
	if err := p.faults.Err(); err != nil {
		return nil, err
	}
	p.config.index()
	return p.config, nil
}

// parser decodes one document. Keys that it does not know are skipped: a later
// version of the protocol may have them.
type parser struct {
	config *Configuration
	faults fault.Collector

	hasVersion, hasRoutes, hasServices bool // the document has the key
}

func (p *parser) decode(raw []byte) error {
	if err := jx.DecodeBytes(raw).Obj(p.decodeField); err != nil {
		return err
	}
	if !jx.Valid(raw) {
		return fault.New(fault.Invalid, "", "something follows the object", "send one JSON object")
	}
	return nil
}

func (p *parser) decodeField(d *jx.Decoder, key string) error {
	switch key {
	case "ver":
		p.hasVersion = true
		return decodeInt(d, &p.config.Version)
	case "routes":
		p.hasRoutes = true
		return d.Arr(p.decodeRoute)
	case "svcs":
		p.hasServices = true
		return d.Arr(p.decodeService)
	case "caps":
		return d.Obj(p.config.Caps.decodeField)
	}
	return d.Skip()
}

func (c *Caps) decodeField(d *jx.Decoder, key string) error {
	switch key {
	case "hdr_bytes":
		return decodeInt(d, &c.HdrBytes)
	case "payload_bytes":
		return decodeInt(d, &c.PayloadBytes)
	case "hdr_ms":
		return decodeInt(d, &c.HdrMs)
	case "idle_ms":
		return decodeInt(d, &c.IdleMs)
	}
	return d.Skip()
}

func (p *parser) decodeService(d *jx.Decoder) error {
	s := &Service{}
	if err := d.Obj(s.decodeField); err != nil {
		return err
	}
	if len(p.config.Services) >= maxServices {
		return fault.New(fault.TooLarge, "svcs", "are too many", "send fewer")
	}
	if s.Name == "" {
		p.faults.Addf("svcs", "one has no name", "name it")
	} else if p.config.Services[s.Name] != nil {
		p.faults.Addf("svcs."+s.Name, "is there twice", "name each service once")
	}
	p.config.Services[s.Name] = s
	return nil
}

func (s *Service) decodeField(d *jx.Decoder, key string) error {
	switch key {
	case "name":
		return decodeString(d, &s.Name)
	case "hc":
		return decodeString(d, &s.HealthPath)
	case "maxconn":
		return decodeInt(d, &s.MaxConn)
	case "engine":
		if d.Next() == jx.Null {
			return d.Null()
		}
		s.Engine = &Engine{}
		return d.Obj(s.Engine.decodeField)
	}
	return d.Skip()
}

func (e *Engine) decodeField(d *jx.Decoder, key string) error {
	switch key {
	case "slots":
		return decodeInt(d, &e.Slots)
	case "kv_toks":
		return decodeInt(d, &e.KvToks)
	case "stride":
		return decodeInt(d, &e.Stride)
	}
	return d.Skip()
}

func (p *parser) decodeRoute(d *jx.Decoder) error {
	if len(p.config.Routes) >= maxRoutes {
		return fault.New(fault.TooLarge, "routes", "are too many", "send fewer")
	}
	rp := routeParser{route: &Route{}}
	if err := d.Obj(rp.decodeField); err != nil {
		return err
	}
	routeType, ok := typesByName[rp.typeName]
	if !ok {
		return fault.New(fault.Invalid, "type", strconv.Quote(rp.typeName)+" is no type of route", "use safe, unsafe, stream or bulk")
	}
	rp.route.Type = routeType
	p.config.Routes = append(p.config.Routes, rp.route)
	return nil
}

// routeParser decodes one route.
type routeParser struct {
	route    *Route
	typeName string
}

func (rp *routeParser) decodeField(d *jx.Decoder, key string) error {
	switch key {
	case "name":
		return decodeString(d, &rp.route.Name)
	case "host":
		err := decodeString(d, &rp.route.Host)
		rp.route.Host = HostKey(rp.route.Host)
		return err
	case "pfx":
		return decodeString(d, &rp.route.Prefix)
	case "type":
		return decodeString(d, &rp.typeName)
	case "svc":
		s := WeightedService{Weight: 1}
		err := decodeString(d, &s.Service)
		rp.route.Split = append(rp.route.Split, s)
		return err
	case "split":
		return d.Arr(rp.decodeSplit)
	}
	return rp.decodeRule(d, key)
}

func (rp *routeParser) decodeSplit(d *jx.Decoder) error {
	if len(rp.route.Split) >= maxSplit {
		return fault.New(fault.TooLarge, "split", "has too many parts", "send fewer")
	}
	var s WeightedService
	err := d.Obj(s.decodeField)
	rp.route.Split = append(rp.route.Split, s)
	return err
}

func (ws *WeightedService) decodeField(d *jx.Decoder, key string) error {
	switch key {
	case "svc":
		return decodeString(d, &ws.Service)
	case "wt":
		return decodeInt(d, &ws.Weight)
	}
	return d.Skip()
}

// decodeRule decodes by which rules the route's requests are served.
func (rp *routeParser) decodeRule(d *jx.Decoder, key string) error {
	switch key {
	case "limit_ms":
		return decodeInt(d, &rp.route.LimitMs)
	case "goal_ms":
		return decodeInt(d, &rp.route.GoalMs)
	case "gap_goal_ms":
		return decodeInt(d, &rp.route.GapGoalMs)
	case "due_ms":
		return decodeInt(d, &rp.route.DueMs)
	case "retain_s":
		return decodeFloat(d, &rp.route.RetainS)
	case "backlog":
		return decodeInt(d, &rp.route.Backlog)
	case "prio":
		return decodeInt(d, &rp.route.Prio)
	case "tries":
		return decodeInt(d, &rp.route.Tries)
	case "pin":
		return decodeBool(d, &rp.route.Pin)
	case "resume":
		return decodeBool(d, &rp.route.Resume)
	}
	return d.Skip()
}
