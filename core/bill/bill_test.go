package bill

import (
	"bytes"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"geraniumsaddle/core/ident"
)

var start = time.Date(2026, 1, 30, 23, 0, 0, 0, time.UTC)

// TestOneBillPerRequest guards against a request that is billed twice or not at all, and against a statement whose
// total is not the sum of its lines. Routers repeat bills, replies to page writes are lost, pages are read in any order
// and more than once, and the roll-up runs repeatedly.
func TestOneBillPerRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		stored, expected := make(map[string]*Page), make(map[ident.RequestID]ident.Tokens)
		routers := []*Batcher{NewBatcher("a.1"), NewBatcher("b.1"), NewBatcher("a.2")}
		now := start
		write := func(b *Batcher, loseReply bool) {
			for _, p := range b.Pending(now) {
				if stored[p.Name] == nil { // create if absent
					stored[p.Name] = p
				}
				if !loseReply {
					b.MarkWritten(p.Name)
				}
			}
		}
		for i := range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rng.IntN(60)) * time.Second)
			bill := randomBill(rng, i, now)
			expected[bill.RequestID] = bill.Billed
			for range 1 + rng.IntN(2) { // after a retry, another router may bill the request again
				if _, err := routers[rng.IntN(len(routers))].Add(now, bill); err != nil {
					t.Fatal(err)
				}
			}
			write(routers[rng.IntN(len(routers))], rng.IntN(3) == 0)
		}
		for _, b := range routers {
			b.Seal(now)
			write(b, false)
			if b.Len() != 0 {
				t.Fatalf("%d bills are not written", b.Len())
			}
		}
		months := []*MonthRollup{NewMonthRollup("o", start), NewMonthRollup("o", start.AddDate(0, 0, 7))}
		for range 2 {
			rollUp(t, rng, stored, months, now)
		}
		months[0].Close(start)
		for range 2 {
			rollUp(t, rng, stored, months, now)
		}
		var sum, want ident.Tokens
		for _, m := range months {
			sum += m.Statement().Total.Billed
			checkExports(t, m.Statement())
		}
		for _, n := range expected {
			want += n
		}
		if sum != want {
			t.Fatalf("statements bill %d tokens, requests %d", sum, want)
		}
	})
}

func randomBill(rng *rand.Rand, i int, now time.Time) Bill {
	return Bill{
		RequestID: ident.RequestID(fmt.Sprintf("q%d", i)), Org: "o", Budget: ident.BudgetID(fmt.Sprint("b", rng.IntN(2))),
		Key: "k", Model: ident.ModelID(fmt.Sprint("m", rng.IntN(2))), PromptTokens: 1,
		Billed: ident.Tokens(rng.IntN(100)), Outcome: ident.OutcomeRun, At: now,
	}
}

// rollUp rolls up every day from the pages of all days, in random order and some of them twice, and checks that rolling
// up the same pages again changes nothing.
func rollUp(t *rapid.T, rng *rand.Rand, stored map[string]*Page, months []*MonthRollup, end time.Time) {
	var pages []*Page
	for _, p := range stored {
		pages = append(pages, p)
		if rng.IntN(2) == 0 {
			pages = append(pages, p)
		}
	}
	for day := start.Truncate(24 * time.Hour); !day.After(end); day = day.AddDate(0, 0, 1) {
		d := NewDayRollup("o", day)
		rng.Shuffle(len(pages), func(i, j int) { pages[i], pages[j] = pages[j], pages[i] })
		for _, p := range pages {
			d.Add(p)
		}
		for _, m := range months {
			m.SetDay(d.Sum())
			if m.SetDay(d.Sum()) {
				t.Fatal("the second roll-up of the same pages changed the month")
			}
			b, err := m.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if _, err := DecodeMonth(b); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func checkExports(t *rapid.T, s Statement) {
	var jsonOut, csvOut bytes.Buffer
	if err := s.WriteJSON(&jsonOut); err != nil {
		t.Fatal(err)
	}
	if err := s.WriteCSV(&csvOut); err != nil {
		t.Fatal(err)
	}
	var decoded Statement
	if err := json.Unmarshal(jsonOut.Bytes(), &decoded); err != nil || !reflect.DeepEqual(decoded.Total, s.Total) {
		t.Fatalf("JSON total %+v differs from %+v: %v", decoded.Total, s.Total, err)
	}
	records, err := csv.NewReader(&csvOut).ReadAll()
	if err != nil || len(records) != len(decoded.Lines)+2 {
		t.Fatalf("CSV has %d records for %d lines: %v", len(records), len(decoded.Lines), err)
	}
	for col := 6; col < len(csvHeader); col++ {
		sum := 0
		for i, r := range records[1:] {
			n, err := strconv.Atoi(r[col])
			if err != nil {
				t.Fatal(err)
			}
			if i == len(records)-2 && n != sum {
				t.Fatalf("CSV column %s adds up to %d, total is %d", r[col], sum, n)
			}
			sum += n
		}
	}
}

// TestBatchBounds guards against a bill that waits longer than MaxDelay, against a page above 1 MB, and against
// deleting a page before its day is rolled up or its retention period has passed.
func TestBatchBounds(t *testing.T) {
	is := is.New(t)
	b := NewBatcher("a.1")
	long := strings.Repeat("x", 64)
	for i := range MaxPageBills + 1 {
		_, err := b.Add(start, Bill{
			RequestID: ident.RequestID(fmt.Sprintf("%064d", i)), Org: ident.OrgID(long), Budget: ident.BudgetID(long),
			Key: ident.KeyID(long), Model: ident.ModelID(long), Version: ident.VersionID(long), Target: ident.TargetID(long),
			PromptTokens: maxBilled, OutputTokens: maxBilled, Billed: maxBilled, OverBound: maxBilled,
			Outcome: ident.OutcomeUnknown, Router: ident.RouterID(long), At: start.Add(time.Nanosecond),
		})
		is.NoErr(err)
	}
	pages := b.Pending(start.Add(MaxDelay - 1))
	is.Equal(len(pages), 1)
	out, err := pages[0].Encode()
	is.NoErr(err)
	is.True(len(out) < 1<<20)
	is.Equal(len(b.Pending(start.Add(MaxDelay))), 2)

	id, err := ParsePageID(pages[0].Name)
	is.NoErr(err)
	old := id.Day.Add(KeepPages + 1)
	is.True(Expired(id, id.Day, old))
	is.True(!Expired(id, id.Day, old.Add(-2)))
	is.True(!Expired(id, id.Day.AddDate(0, 0, -1), old))
}

type pageCase struct {
	Name  string          `json:"name"`
	OK    bool            `json:"ok"`
	Error string          `json:"error"`
	Page  json.RawMessage `json:"page"`
}

func pageCases(tb testing.TB) []pageCase {
	b, err := os.ReadFile("testdata/pages.json")
	if err != nil {
		tb.Fatal(err)
	}
	var cases []pageCase
	if err := json.Unmarshal(b, &cases); err != nil {
		tb.Fatal(err)
	}
	return cases
}

// TestDecodePage guards against accepting invalid pages, which would corrupt a roll-up, and rejecting valid ones.
func TestDecodePage(t *testing.T) {
	for _, c := range pageCases(t) {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			_, err := DecodePage(c.Page)
			is.Equal(err == nil, c.OK)
			is.True(err == nil || strings.Contains(err.Error(), c.Error))
		})
	}
}

// FuzzDecode guards against decoders that panic, or that accept input whose encoding they then reject.
func FuzzDecode(f *testing.F) {
	for _, c := range pageCases(f) {
		f.Add([]byte(c.Page))
	}
	f.Add([]byte(`{"format":1,"org":"o","month":"202601","days":[{"day":"20260131","pages":1,"lines":[]}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if p, err := DecodePage(b); err == nil {
			out, err := p.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if _, err := DecodePage(out); err != nil {
				t.Fatalf("own encoding is refused: %v", err)
			}
		}
		if m, err := DecodeMonth(b); err == nil {
			m.Statement()
			out, err := m.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if _, err := DecodeMonth(out); err != nil {
				t.Fatalf("own encoding is refused: %v", err)
			}
		}
	})
}
