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

// Condition is a precondition of a write on the stored object. The zero value always holds.
type Condition struct {
	absent  bool
	version ident.ObjectVersion
}

// Absent requires that the object does not exist.
func Absent() Condition { return Condition{absent: true} }

// Match requires that the object has version v. Match(0) is the same as Absent.
func Match(v ident.ObjectVersion) Condition {
	return Condition{absent: v == 0, version: v}
}

// Any always holds, whether the object exists or not.
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

func objectRequest(method string, key object.Key) request {
	return request{
		name:   method + " " + string(key.Kind) + "/" + key.Name,
		method: method,
		path:   []string{"v1", "objects", string(key.Kind), key.Name},
		write:  method != http.MethodGet,
	}
}

// Get returns the object. The error is ErrAbsent if it does not exist.
func (c *Client) Get(ctx context.Context, key object.Key) (Object, error) {
	var obj wireObject
	if err := c.do(ctx, objectRequest(http.MethodGet, key), &obj); err != nil {
		return Object{}, err
	}
	return obj.object(), nil
}

// Put stores a JSON value if the condition holds and returns the new version. The error is ErrConflict if the condition
// fails and ErrUnknown if the write may have had its effect.
func (c *Client) Put(ctx context.Context, key object.Key, value []byte, cond Condition) (ident.ObjectVersion, error) {
	req := objectRequest(http.MethodPut, key)
	if len(value) > MaxValue {
		return 0, &Error{Kind: ErrTooLarge, Call: req.name}
	}
	req.header = cond.header()
	req.body = value
	var obj wireObject
	if err := c.do(ctx, req, &obj); err != nil {
		return 0, err
	}
	return obj.Version, nil
}

// Delete removes the object if the condition holds and returns the version of the deletion. The error is ErrAbsent if
// the object does not exist and the condition is Any.
func (c *Client) Delete(ctx context.Context, key object.Key, cond Condition) (ident.ObjectVersion, error) {
	req := objectRequest(http.MethodDelete, key)
	req.header = cond.header()
	var obj wireObject
	if err := c.do(ctx, req, &obj); err != nil {
		return 0, err
	}
	return obj.Version, nil
}

// Page is a part of a list of objects, in the order of their names.
type Page struct {
	Version ident.ObjectVersion
	Objects []Object
	// Next is the argument after for the next page. It is empty on the last page.
	Next string
	// Unreadable is the number of objects that were skipped because they could not be decoded.
	Unreadable int
}

// List returns at most limit objects of a kind whose names follow after. With a limit of zero the platform chooses the
// size of the page. A watch from the version of the first page also reports every change made while later pages are
// read.
func (c *Client) List(ctx context.Context, kind object.Kind, after string, limit int) (Page, error) {
	req := request{name: "list " + string(kind), method: http.MethodGet, path: []string{"v1", "objects", string(kind)}}
	req.query = url.Values{}
	if after != "" {
		req.query.Set("after", after)
	}
	if limit > 0 {
		req.query.Set("limit", strconv.Itoa(limit))
	}
	var p struct {
		Version ident.ObjectVersion `json:"version"`
		Objects []wireObject        `json:"objects"`
		Next    string              `json:"next"`
	}
	if err := c.do(ctx, req, &p); err != nil {
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

// VMState is the state of a VM as the platform reports it.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
	VMGone    VMState = "gone"
)

// VMs returns the VM list. It may lag behind the actual state of the VMs.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var out []VM
	req := request{name: "list VMs", method: http.MethodGet, path: []string{"v1", "vms"}}
	if err := c.do(ctx, req, &out); err != nil {
		return nil, err
	}
	return out, nil
}

// PutVM stores the entry of a VM in the VM list.
func (c *Client) PutVM(ctx context.Context, vm VM) error {
	req := request{name: "put VM " + string(vm.Name), method: http.MethodPut, path: []string{"v1", "vms", string(vm.Name)}, write: true}
	req.body = vm.encode()
	var out VM
	return c.do(ctx, req, &out)
}

// TakeWeightSlot takes a slot at the weight store for transferring the weights of a version. The error is
// ErrRateLimited if the rate of the weight store is exceeded.
func (c *Client) TakeWeightSlot(ctx context.Context, version ident.VersionID) error {
	req := request{
		name: "take weight slot " + string(version), method: http.MethodPost,
		path: []string{"v1", "weights", string(version)}, write: true,
	}
	var out struct {
		Slot int `json:"slot"`
	}
	return c.do(ctx, req, &out)
}

func (v VM) encode() []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // cannot happen: VM holds only strings
	}
	return b
}
