package flags

import (
	"fmt"
	"log/slog"
	"net"
	"net/url"
	"strconv"
	"time"

	"geraniumsaddle/core/object"
)

// check collects the faults of settings, each named by its flag.
type check struct{ faults object.Faults }

func (c *check) that(ok bool, flag, message string) {
	if !ok {
		c.faults = append(c.faults, object.Fault{Path: "--" + flag, Message: message})
	}
}

func (c *check) id(flag, v string) {
	c.that(object.ValidID(v), flag, "must be 1 to 64 letters, digits, '.', '_' or '-'")
}

func (c *check) addr(flag, v string) {
	host, port, err := net.SplitHostPort(v)
	if err != nil {
		c.that(false, flag, "must be an IP number and a port")
		return
	}
	n, err := strconv.Atoi(port)
	c.that(net.ParseIP(host) != nil && err == nil && n >= 0 && n <= 65535, flag, "must be an IP number and a port")
}

func (c *check) url(flag, v string) {
	u, err := url.Parse(v)
	c.that(err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "", flag, "must be an http or https URL")
}

func (c *check) level(flag, v string) {
	var l slog.Level
	c.that(l.UnmarshalText([]byte(v)) == nil, flag, "must be debug, info, warn or error")
}

func (c *check) between(flag string, v, lo, hi int64) {
	c.that(v >= lo && v <= hi, flag, fmt.Sprintf("must be between %d and %d", lo, hi))
}

func (c *check) span(flag string, v, lo, hi time.Duration) {
	c.that(v >= lo && v <= hi, flag, fmt.Sprintf("must be between %s and %s", lo, hi))
}

func levelOf(s string) slog.Level {
	var l slog.Level
	if err := l.UnmarshalText([]byte(s)); err != nil {
		return slog.LevelInfo
	}
	return l
}
