package claim

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"strconv"
	"strings"
	"time"

	"geraniumsaddle/core/ident"
)

const (
	// TokenLifetime is the time from minting during which an operation token may be run.
	TokenLifetime = time.Hour
	// tokenPrefix distinguishes tokens from keys that callers choose.
	tokenPrefix = "op_"
	macSize     = 16
	// maxTokenSize bounds the input of the decoder: a router name of 64 bytes, two numbers and the MAC.
	maxTokenSize = 160
)

var (
	// ErrTokenFormat reports a key that is not a well-formed operation token.
	ErrTokenFormat = errors.New("malformed operation token")
	// ErrTokenMAC reports a token that was not minted by the fleet for the organisation.
	ErrTokenMAC = errors.New("operation token is not authentic")
)

// Token is an operation token. It names the only router incarnation that may run the operation. Serial is the time of
// minting in microseconds since 1970, raised where needed to be unique in the incarnation.
type Token struct {
	Router ident.RouterID
	Serial uint64
}

// Expires returns the time after which the token is refused.
func (t Token) Expires() time.Time { return time.UnixMicro(int64(t.Serial)).Add(TokenLifetime) }

// IsToken reports whether an idempotency key is meant as an operation token.
func IsToken(key string) bool { return strings.HasPrefix(key, tokenPrefix) }

func (t Token) body() (string, error) {
	name, epoch, err := t.Router.Split()
	if err != nil {
		return "", err
	}
	return tokenPrefix + name + "_" + strconv.FormatUint(epoch, 10) + "_" + strconv.FormatUint(t.Serial, 10), nil
}

// mac returns the MAC of a token's body for an organisation. It covers the organisation, so that no other organisation
// can use the token.
func mac(key []byte, org ident.OrgID, body string) []byte {
	h := hmac.New(sha256.New, key)
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(len(org)))
	h.Write(n[:])
	h.Write([]byte(org))
	h.Write([]byte(body))
	return h.Sum(nil)[:macSize]
}

// EncodeToken returns the text of t for an organisation.
func EncodeToken(key []byte, org ident.OrgID, t Token) (string, error) {
	body, err := t.body()
	if err != nil {
		return "", err
	}
	return body + "_" + hex.EncodeToString(mac(key, org, body)), nil
}

// DecodeToken checks the text of a token that the organisation presents. It does not check the expiry. It returns
// ErrTokenFormat or ErrTokenMAC. A token has exactly one valid text.
func DecodeToken(key []byte, org ident.OrgID, s string) (Token, error) {
	if len(s) > maxTokenSize || !IsToken(s) {
		return Token{}, ErrTokenFormat
	}
	body, macText, ok := cutLast(s)
	if !ok {
		return Token{}, ErrTokenFormat
	}
	rest, number, ok1 := cutLast(body)
	rest, epoch, ok2 := cutLast(rest)
	n, err1 := strconv.ParseUint(number, 10, 63)
	e, err2 := strconv.ParseUint(epoch, 10, 64)
	got, err3 := hex.DecodeString(macText)
	if !ok1 || !ok2 || len(rest) <= len(tokenPrefix) || err1 != nil || err2 != nil || err3 != nil {
		return Token{}, ErrTokenFormat
	}
	t := Token{Router: ident.NewRouterID(rest[len(tokenPrefix):], e), Serial: n}
	// Compares the canonical text, so that leading zeros and upper case are refused.
	canonical, err := t.body()
	if err != nil || canonical != body || strings.ToLower(macText) != macText {
		return Token{}, ErrTokenFormat
	}
	if !hmac.Equal(got, mac(key, org, body)) {
		return Token{}, ErrTokenMAC
	}
	return t, nil
}

func cutLast(s string) (before, after string, ok bool) {
	i := strings.LastIndexByte(s, '_')
	if i < 0 {
		return "", "", false
	}
	return s[:i], s[i+1:], true
}
