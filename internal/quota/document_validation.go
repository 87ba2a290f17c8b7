package quota

import (
	"math"
	"strconv"
	"strings"
	"unicode"

	"rowanshunt/internal/config"
	"rowanshunt/internal/fault"
)

// percentTolerance is how far a sum of percents may pass 100 by rounding.
const percentTolerance = 1e-9

// validate checks the document by itself and collects every fault in it.
func (d *Document) validate(faults *fault.Collector) {
	if d.Version <= 0 {
		faults.Addf(fieldVersion, "is missing or not above 0", "count versions from 1")
	}
	tenantOf := map[string]string{}
	for _, name := range sortedKeys(d.Tenants) {
		d.validateTenant(faults, name, tenantOf)
	}
	for _, service := range sortedKeys(d.Shares) {
		d.validateService(faults, service)
	}
}

// validateTenant checks one tenant and notes its hosts in tenantOf.
func (d *Document) validateTenant(faults *fault.Collector, name string, tenantOf map[string]string) {
	path := fieldTenants + "." + name
	hostsPath := path + "." + fieldHosts
	if name == "" || name == Others {
		faults.Addf(path, "cannot be named so", Others+" is the tenant of all hosts that are named nowhere: choose another name")
	}
	if strings.ContainsFunc(name, unicode.IsControl) {
		faults.Addf(path, "holds a control character", "use printable characters")
	}
	if len(d.Tenants[name].Hosts) == 0 {
		faults.Addf(hostsPath, "is missing or empty", "name at least one host")
	}
	for _, host := range d.Tenants[name].Hosts {
		key := config.HostKey(host)
		switch other, taken := tenantOf[key]; {
		case key == "":
			faults.Addf(hostsPath, "holds an empty name", "name the host as the routes do")
		case taken:
			faults.Addf(hostsPath, strconv.Quote(host)+" is also a host of "+other, "leave it with one tenant")
		}
		tenantOf[key] = name
	}
}

// shareTotals sums up the shares of one service while they are validated.
type shareTotals struct {
	weights, percents int // shares of each kind
	kv, slots         float64
}

func (d *Document) validateService(faults *fault.Collector, service string) {
	path := fieldShares + "." + service
	if len(d.Shares[service]) == 0 {
		faults.Addf(path, "names no tenant", "give at least one its share, or leave the service out")
	}
	var totals shareTotals
	for _, tenant := range sortedKeys(d.Shares[service]) {
		sharePath := path + "." + tenant
		if _, ok := d.Tenants[tenant]; !ok && tenant != Others {
			faults.Addf(sharePath, "is no tenant", "add it under tenants with its hosts")
		}
		share := d.Shares[service][tenant]
		share.validateNumbers(faults, sharePath)
		share.validateKind(faults, sharePath, &totals)
	}
	totals.validate(faults, path)
}

func (s *Share) validateNumbers(faults *fault.Collector, path string) {
	for _, name := range shareFields {
		value := *s.field(name)
		if value == nil {
			continue
		}
		if math.IsNaN(*value) || *value < 0 {
			faults.Addf(path+"."+name, "is negative", "give 0 or more")
		}
		if strings.HasSuffix(name, "percent") && *value > 100 {
			faults.Addf(path+"."+name, "is over 100", "give a percent of the whole fleet")
		}
	}
}

// validateKind checks that the share is either a weight or both percents, adds it
// to the totals, and checks its cap.
func (s *Share) validateKind(faults *fault.Collector, path string, totals *shareTotals) {
	capPath := path + "." + fieldCapPercent
	switch {
	case s.Weight != nil && (s.KvPercent != nil || s.SlotsPercent != nil):
		faults.Addf(path, "has both a weight and percents", "give one of them")
	case s.Weight != nil:
		totals.weights++
	case s.KvPercent == nil || s.SlotsPercent == nil:
		faults.Addf(path, "lacks kv_percent or slots_percent", "give both, or a weight instead")
	default:
		totals.percents++
		totals.kv += *s.KvPercent
		totals.slots += *s.SlotsPercent
		if s.CapPercent != nil && (*s.CapPercent < *s.KvPercent || *s.CapPercent < *s.SlotsPercent) {
			faults.Addf(capPath, "is below what is guaranteed", "raise it, or lower the guarantee")
		}
	}
	if s.CapPercent != nil && *s.CapPercent == 0 {
		faults.Addf(capPath, "is 0", "give what the tenant may have at most")
	}
}

func (s *shareTotals) validate(faults *fault.Collector, path string) {
	if s.weights > 0 && s.percents > 0 {
		faults.Addf(path, "mixes weights and percents", "use one of them for all tenants of a service")
	}
	for _, sum := range []struct {
		field   string
		percent float64
	}{{fieldKvPercent, s.kv}, {fieldSlotsPercent, s.slots}} {
		if sum.percent > 100+percentTolerance {
			faults.Addf(path+"."+sum.field, "guarantees come to "+strconv.FormatFloat(sum.percent, 'g', 6, 64)+" percent", "lower them to 100 in all")
		}
	}
}

// CheckAgainst checks that a configuration has the hosts and services that the
// document names.
func (d *Document) CheckAgainst(configuration *config.Configuration) error {
	var faults fault.Collector
	routed := map[string]bool{}
	for _, route := range configuration.Routes {
		routed[route.Host] = true
	}
	for _, name := range sortedKeys(d.Tenants) {
		for _, host := range d.Tenants[name].Hosts {
			if !routed[config.HostKey(host)] {
				faults.Addf(fieldTenants+"."+name+"."+fieldHosts, strconv.Quote(host)+" is no host of a route", "add a route first, or take it out")
			}
		}
	}
	for _, service := range sortedKeys(d.Shares) {
		if configuration.Services[service] == nil {
			faults.Addf(fieldShares+"."+service, "is no service of the configuration", "name a service under svcs")
		}
	}
	return faults.Err()
}
