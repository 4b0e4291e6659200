package store

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

// Condition is what a write demands of the stored object. The zero value demands nothing.
type Condition struct {
	absent  bool
	version ident.ObjectVersion
}

// Absent demands that the object does not exist.
func Absent() Condition { return Condition{absent: true} }

// Match demands that the object has version v. Match(0) is the same as Absent.
func Match(v ident.ObjectVersion) Condition {
	return Condition{absent: v == 0, version: v}
}

// Any demands nothing.
func Any() Condition { return Condition{} }

func (c Condition) header() http.Header {
	h := http.Header{}
	switch {
	case c.absent:
		h.Set("If-None-Match", "*")
	case c.version != 0:
		h.Set("If-Match", strconv.FormatUint(uint64(c.version), 10))
	}
	return h
}

func objectCall(method string, key object.Key) call {
	return call{
		name:   method + " " + string(key.Kind) + "/" + key.Name,
		method: method,
		path:   []string{"v1", "objects", string(key.Kind), key.Name},
		write:  method != http.MethodGet,
	}
}

// Get returns the object, or ErrAbsent.
func (c *Client) Get(ctx context.Context, key object.Key) (Object, error) {
	var o wireObject
	if err := c.do(ctx, objectCall(http.MethodGet, key), &o); err != nil {
		return Object{}, err
	}
	return o.object(), nil
}

// Put stores a JSON value under the condition and returns its new version. The error is ErrConflict when the
// condition fails and ErrUnknown when the write may have had its effect.
func (c *Client) Put(ctx context.Context, key object.Key, value []byte, cond Condition) (ident.ObjectVersion, error) {
	k := objectCall(http.MethodPut, key)
	if len(value) > MaxValue {
		return 0, &Error{Kind: ErrTooLarge, Call: k.name}
	}
	k.header = cond.header()
	k.body = value
	var o wireObject
	if err := c.do(ctx, k, &o); err != nil {
		return 0, err
	}
	return o.Version, nil
}

// Delete removes the object under the condition and returns the version of the removal. The error is ErrAbsent when
// the object does not exist and there is no condition.
func (c *Client) Delete(ctx context.Context, key object.Key, cond Condition) (ident.ObjectVersion, error) {
	k := objectCall(http.MethodDelete, key)
	k.header = cond.header()
	var o wireObject
	if err := c.do(ctx, k, &o); err != nil {
		return 0, err
	}
	return o.Version, nil
}

// Page is a part of a list in the order of names. Next is not empty when more follow; it is the next call's after.
type Page struct {
	Version ident.ObjectVersion
	Objects []Object
	Next    string
	// Unreadable is the number of objects that were left out because they could not be decoded.
	Unreadable int
}

// List returns the objects of a kind whose names follow after, at most limit of them. A limit of zero leaves the
// size of the page to the platform. A watch from the version of the first page misses nothing of the later pages.
func (c *Client) List(ctx context.Context, kind object.Kind, after string, limit int) (Page, error) {
	k := call{name: "list " + string(kind), method: http.MethodGet, path: []string{"v1", "objects", string(kind)}}
	k.query = url.Values{}
	if after != "" {
		k.query.Set("after", after)
	}
	if limit > 0 {
		k.query.Set("limit", strconv.Itoa(limit))
	}
	var p struct {
		Version ident.ObjectVersion `json:"version"`
		Objects []wireObject        `json:"objects"`
		Next    string              `json:"next"`
	}
	if err := c.do(ctx, k, &p); err != nil {
		return Page{}, err
	}
	out := Page{Version: p.Version, Next: p.Next, Objects: make([]Object, 0, len(p.Objects))}
	for _, o := range p.Objects {
		out.Objects = append(out.Objects, o.object())
	}
	return out, nil
}

// VM is an entry of the VM list.
type VM struct {
	Name   ident.VMID     `json:"name"`
	Domain ident.DomainID `json:"domain"`
	State  VMState        `json:"state"`
}

// VMState is the platform's word on a VM.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
	VMGone    VMState = "gone"
)

// VMs returns the VM list, which lags.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var out []VM
	k := call{name: "list VMs", method: http.MethodGet, path: []string{"v1", "vms"}}
	if err := c.do(ctx, k, &out); err != nil {
		return nil, err
	}
	return out, nil
}

// PutVM sets the entry of a VM.
func (c *Client) PutVM(ctx context.Context, vm VM) error {
	k := call{name: "put VM " + string(vm.Name), method: http.MethodPut, path: []string{"v1", "vms", string(vm.Name)}, write: true}
	k.body = vm.encode()
	var out VM
	return c.do(ctx, k, &out)
}

// TakeWeightSlot takes a transfer slot at the weight store for a version. The error is ErrLimited over its rate.
func (c *Client) TakeWeightSlot(ctx context.Context, version ident.VersionID) error {
	k := call{
		name: "take weight slot " + string(version), method: http.MethodPost,
		path: []string{"v1", "weights", string(version)}, write: true,
	}
	var out struct {
		Slot int `json:"slot"`
	}
	return c.do(ctx, k, &out)
}

func (v VM) encode() []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // A struct of strings always encodes.
	}
	return b
}
