package ident

import (
	"fmt"
	"strconv"
	"strings"
)

type (
	// OrgID names an organisation.
	OrgID string
	// BudgetID names a prepaid budget.
	BudgetID string
	// KeyID names an API key of an organisation. It is not the secret.
	KeyID string
	// TargetID names a model engine or a plain service instance.
	TargetID string
	// DomainID names a failure domain.
	DomainID string
	// RegionID names a region, a set of failure domains.
	RegionID string
	// VMID names a VM, as in the platform's VM list.
	VMID string
	// ModelID names a model as callers request it.
	ModelID string
	// ServiceID names a plain service.
	ServiceID string
	// VersionID names one deployable version of a model or service.
	VersionID string
	// ReleaseID names a release.
	ReleaseID string
	// RequestID names one request of a caller and the bill of that request.
	RequestID string
	// Class names a traffic class, such as "chat" or "planning".
	Class string
	// ObjectVersion is the version of an object. The platform increases it globally with every change. Zero means that
	// the object is absent.
	ObjectVersion uint64
)

// RouterID names one incarnation of a router as "name.epoch". A restarted router has a new epoch.
type RouterID string

// NewRouterID returns the identifier of the incarnation of a router with the given epoch.
func NewRouterID(name string, epoch uint64) RouterID {
	return RouterID(name + "." + strconv.FormatUint(epoch, 10))
}

// Split returns the router name and the epoch.
func (id RouterID) Split() (name string, epoch uint64, err error) {
	i := strings.LastIndexByte(string(id), '.')
	if i <= 0 {
		return "", 0, fmt.Errorf("router id %q has no epoch", string(id))
	}
	epoch, err = strconv.ParseUint(string(id[i+1:]), 10, 64)
	if err != nil {
		return "", 0, fmt.Errorf("router id %q: epoch is not a number", string(id))
	}
	return string(id[:i]), epoch, nil
}

// Name returns the router name, the part of the identifier that stays the same after a restart.
func (id RouterID) Name() string {
	i := strings.LastIndexByte(string(id), '.')
	if i < 0 {
		return string(id)
	}
	return string(id[:i])
}
