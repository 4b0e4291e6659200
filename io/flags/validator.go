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

// validator collects the faults of settings. The path of each fault is the flag.
type validator struct{ faults object.Faults }

func (c *validator) require(ok bool, flag, message string) {
	if !ok {
		c.faults = append(c.faults, object.Fault{Path: "--" + flag, Message: message})
	}
}

func (c *validator) id(flag, v string) {
	c.require(object.ValidID(v), flag, "must be 1 to 64 letters, digits, '.', '_' or '-'")
}

func (c *validator) addr(flag, v string) {
	host, port, err := net.SplitHostPort(v)
	if err != nil {
		c.require(false, flag, "must be an IP number and a port")
		return
	}
	n, err := strconv.Atoi(port)
	c.require(net.ParseIP(host) != nil && err == nil && n >= 0 && n <= 65535, flag, "must be an IP number and a port")
}

func (c *validator) url(flag, v string) {
	u, err := url.Parse(v)
	c.require(err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "", flag, "must be an http or https URL")
}

func (c *validator) level(flag, v string) {
	var l slog.Level
	c.require(l.UnmarshalText([]byte(v)) == nil, flag, "must be debug, info, warn or error")
}

func (c *validator) intBetween(flag string, v, lo, hi int64) {
	c.require(v >= lo && v <= hi, flag, fmt.Sprintf("must be between %d and %d", lo, hi))
}

func (c *validator) durationBetween(flag string, v, lo, hi time.Duration) {
	c.require(v >= lo && v <= hi, flag, fmt.Sprintf("must be between %s and %s", lo, hi))
}

func parseLevel(s string) slog.Level {
	var l slog.Level
	if err := l.UnmarshalText([]byte(s)); err != nil {
		return slog.LevelInfo
	}
	return l
}
