package caller

import (
	"encoding/json"
	"strings"
)

const (
	// maxPrefixBytes bounds the part of the prompt that prefix affinity hashes.
	maxPrefixBytes = 2048
	// maxEscape is the largest number of bytes that one byte of text takes in a JSON string.
	maxEscape = 6
	// tailBytes covers the replacements of a character that a cut has divided.
	tailBytes = 12
	// prefixMessages is the number of messages that identify a conversation: the system message and the first one of the
	// user. They stay the same while the conversation grows.
	prefixMessages = 2
)

// prompt returns the start of the conversation and the size of all messages. The start is the text as engines read it, each
// role and content on lines of their own, so that its hashes are those of their cache events.
func (b *chatBody) prompt() (prefix []byte, size int) {
	for i, m := range b.Messages {
		size += len(m.Role) + len(m.Content) + len(m.ToolCalls) + len(m.FunctionCall)
		if i < prefixMessages && len(prefix) < maxPrefixBytes {
			prefix = append(prefix, m.Role+"\n"+leadingText(m.Content)+"\n"...)
		}
	}
	return prefix[:min(len(prefix), maxPrefixBytes)], size
}

// cutText returns the text of the first bytes of a JSON string. Its last tailBytes may differ from those of the whole text.
func cutText(raw json.RawMessage, size int) string {
	// A cut inside an escape sequence cannot be decoded, one before it can.
	for cut := size; cut > size-maxEscape; cut-- {
		var s string
		if json.Unmarshal(append(raw[:cut:cut], '"'), &s) == nil {
			return s
		}
	}
	return ""
}

// leadingText returns the text of a content, which is a string or a list of parts. At least maxPrefixBytes of a longer text
// are returned; the rest of a long string is not decoded.
func leadingText(raw json.RawMessage) string {
	for _, limit := range []int{maxPrefixBytes + maxPrefixBytes/4, (maxPrefixBytes + tailBytes) * maxEscape} {
		if len(raw) <= limit || raw[0] != '"' {
			break
		}
		if s := cutText(raw, limit); len(s) >= maxPrefixBytes+tailBytes {
			return s
		}
	}
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if json.Unmarshal(raw, &parts) != nil {
		return ""
	}
	var b strings.Builder
	for _, p := range parts {
		b.WriteString(p.Text)
	}
	return b.String()
}
