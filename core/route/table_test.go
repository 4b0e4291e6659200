package route

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
)

func testTable() *Table {
	return New(Config{
		Version: 3,
		Routes: []Route{
			{Name: "all", Host: "a.example", Prefix: "/", Splits: []Split{{Service: "s", Weight: 1}}},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/", Splits: []Split{{Service: "s", Weight: 90}, {Service: "t", Weight: 10}}},
			{Name: "short", Host: "a.example", Prefix: "/x/", Splits: []Split{{Service: "s", Weight: 0}}},
			{Name: "other", Host: "b.example", Prefix: "/x/", Splits: []Split{{Service: "s", Weight: 1}}},
		},
		Services: []Service{{ID: "s"}, {ID: "t"}},
		Orgs:     []Org{{ID: "o1", Keys: []string{"k1", "k2"}}, {ID: "o2", Keys: []string{"k3"}}},
	})
}

// TestMatch guards against selecting the route of another host or of a shorter prefix.
func TestMatch(t *testing.T) {
	cases := []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "deep"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/xy/", "all"},
		{"A.EXAMPLE:8080", "/x/y/", "deep"},
		{"b.example", "/x/1", "other"},
		{"b.example", "/y/", ""},
		{"c.example", "/x/", ""},
		{"", "/x/", ""},
	}
	table := testTable()
	for _, c := range cases {
		t.Run(c.host+c.path, func(t *testing.T) {
			is := is.New(t)
			r := table.Match(c.host, c.path)
			if c.want == "" {
				is.Equal(r, nil)
				return
			}
			is.Equal(r.Name, c.want)
		})
	}
}

// TestOrgByKey guards against an API key that identifies another organisation, and against accepting an unknown key.
func TestOrgByKey(t *testing.T) {
	is := is.New(t)
	table := testTable()
	is.True(table.RequiresKey())
	is.Equal(table.OrgByKey("k2").ID, ident.OrgID("o1"))
	is.Equal(table.OrgByKey("k3").ID, ident.OrgID("o2"))
	is.Equal(table.OrgByKey(""), nil)
	is.Equal(table.OrgByKey("unknown"), nil)
}

// TestPickService guards against a split that ignores the weights, and against failing when all weights are zero.
func TestPickService(t *testing.T) {
	is := is.New(t)
	r := testTable().Match("a.example", "/x/y/")
	n := map[ident.ServiceID]int{}
	for i := range uint64(1000) {
		n[r.PickService(i)]++
	}
	is.Equal(n["s"], 900)
	is.Equal(n["t"], 100)
	is.Equal(testTable().Match("a.example", "/x/").PickService(7), ident.ServiceID("s"))
}

// TestRepeatable guards against repeating a request that may run only once.
func TestRepeatable(t *testing.T) {
	is := is.New(t)
	is.True((&Route{Kind: Safe, Timeout: time.Second}).Repeatable())
	is.True((&Route{Kind: Stream, Resumable: true}).Repeatable())
	is.True(!(&Route{Kind: Stream}).Repeatable())
	is.True(!(&Route{Kind: Unsafe, Resumable: true}).Repeatable())
	is.True(!(&Route{}).Repeatable())
}
