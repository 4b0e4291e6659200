package admin

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/spf13/pflag"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/flags"
)

// fleetSize is the expected size of an example fleet, as in section 1 of the design.
type fleetSize struct {
	dir                                   string
	domains, vms, engines, services, orgs int
}

var fleetSizes = []fleetSize{
	{"be-central", 4, 8, 12, 4, 10},
	{"punjab-north", 3, 8, 20, 3, 10},
}

const examplesDir = "../../examples"

// TestExampleObjects guards against example objects that the API rejects or that do not match the size of the fleet.
// The objects are put in the order given in examples/README.md.
func TestExampleObjects(t *testing.T) {
	for _, f := range fleetSizes {
		t.Run(f.dir, func(t *testing.T) {
			is := is.New(t)
			api := newTestAPI(t)
			domains, kinds := map[ident.DomainID]bool{}, map[object.TargetKind]int{}
			orgs := 0
			for _, name := range []Collection{"services", "versions", "targets", "budgets", "organisations", "releases"} {
				for _, o := range putFile(t, api, f.dir, name) {
					switch v := o.(type) {
					case *object.Target:
						domains[v.Domain] = true
						kinds[v.Kind]++
					case *object.Organisation:
						orgs++
					}
				}
			}
			is.Equal(len(domains), f.domains)
			is.Equal(kinds[object.TargetEngine], f.engines)
			is.Equal(kinds[object.TargetService], f.services)
			is.Equal(orgs, f.orgs)
		})
	}
}

// putFile puts the objects of a collection from a file of an example fleet and returns them.
func putFile(t *testing.T, api *testAPI, dir string, name Collection) []object.Value {
	t.Helper()
	is := is.New(t)
	raw, err := os.ReadFile(filepath.Join(examplesDir, dir, string(name)+".json"))
	is.NoErr(err)
	var items []json.RawMessage
	is.NoErr(json.Unmarshal(raw, &items))
	var out []object.Value
	for _, item := range items {
		o, err := Decode(name, item)
		is.NoErr(err)
		_, err = api.owner.Put(context.Background(), name, o.Key().Name, item, Precondition{})
		is.NoErr(err)
		out = append(out, o)
	}
	return out
}

// TestExampleSettings guards against example settings that a router rejects or that match no flag, and against two VMs
// with the same name or address.
func TestExampleSettings(t *testing.T) {
	for _, f := range fleetSizes {
		t.Run(f.dir, func(t *testing.T) {
			is := is.New(t)
			files, err := filepath.Glob(filepath.Join(examplesDir, f.dir, "vms", "*.env"))
			is.NoErr(err)
			is.Equal(len(files), f.vms)
			domains, used := map[string]bool{}, map[string]bool{}
			for _, file := range files {
				cfg := loadRouter(t, filepath.Join(examplesDir, f.dir, "common.env"), file)
				domains[cfg.Domain] = true
				for _, unique := range []string{cfg.Name, cfg.CallerAddr, cfg.AdminAddr, cfg.PeerAddr} {
					is.True(!used[unique])
					used[unique] = true
				}
			}
			is.Equal(len(domains), f.domains)
		})
	}
}

// loadRouter loads the settings of a router from files of environment variables.
func loadRouter(t *testing.T, files ...string) flags.Router {
	t.Helper()
	is := is.New(t)
	vars := map[string]string{}
	for _, file := range files {
		raw, err := os.ReadFile(file)
		is.NoErr(err)
		for line := range strings.Lines(string(raw)) {
			line = strings.TrimSpace(line)
			if line == "" || strings.HasPrefix(line, "#") {
				continue
			}
			k, v, ok := strings.Cut(line, "=")
			is.True(ok)
			vars[k] = v
		}
	}
	var cfg flags.Router
	fs := pflag.NewFlagSet("router", pflag.ContinueOnError)
	flags.BindRouter(fs, &cfg)
	known := map[string]bool{}
	fs.VisitAll(func(f *pflag.Flag) { known[flags.EnvName(f.Name)] = true })
	for k := range vars {
		if !known[k] {
			t.Errorf("%s: %s is not a setting", files, k)
		}
	}
	faults := flags.ApplyEnv(fs, func(name string) (string, bool) {
		v, ok := vars[name]
		return v, ok
	})
	is.NoErr(append(faults, cfg.Validate()...).Err())
	return cfg
}
