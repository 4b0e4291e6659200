package caller

import (
	"encoding/json"
	"strings"
)

const (
	// maxPrefixBytes bounds the part of the prompt that is hashed for prefix affinity.
	maxPrefixBytes = 2048
	// maxEscapeBytes is the largest number of bytes that one byte of text takes in a JSON string, as in \u0001.
	maxEscapeBytes = 6
	// maxReplacementBytes bounds the size of the replacement characters that the decoder emits for a character divided
	// by a cut.
	maxReplacementBytes = 12
	// numPrefixMessages is the number of messages that identify a conversation: the system message and the first user
	// message. They do not change as the conversation grows.
	numPrefixMessages = 2
)

// promptPrefix returns the start of the conversation and the size of all messages. The start has the same form as the
// prompt that engines hash for their cache events, with each role and each content on a line of its own, so that the
// hashes match.
func (b *chatBody) promptPrefix() (prefix []byte, size int) {
	for i, m := range b.Messages {
		size += len(m.Role) + len(m.Content) + len(m.ToolCalls) + len(m.FunctionCall)
		if i < numPrefixMessages && len(prefix) < maxPrefixBytes {
			prefix = append(prefix, m.Role+"\n"+leadingText(m.Content)+"\n"...)
		}
	}
	return prefix[:min(len(prefix), maxPrefixBytes)], size
}

// decodeStart decodes the first size bytes of a JSON string. The last maxReplacementBytes of the result may differ from
// those of the complete text.
func decodeStart(raw json.RawMessage, size int) string {
	// A string that is cut inside an escape sequence cannot be decoded, so the cut moves back to before the sequence.
	for cut := size; cut > size-maxEscapeBytes; cut-- {
		var s string
		if json.Unmarshal(append(raw[:cut:cut], '"'), &s) == nil {
			return s
		}
	}
	return ""
}

// leadingText returns the text of a message content, which is a string or a list of parts. For a long string it decodes
// and returns only the start, at least maxPrefixBytes of it.
func leadingText(raw json.RawMessage) string {
	for _, size := range []int{maxPrefixBytes + maxPrefixBytes/4, (maxPrefixBytes + maxReplacementBytes) * maxEscapeBytes} {
		if len(raw) <= size || raw[0] != '"' {
			break
		}
		if s := decodeStart(raw, size); len(s) >= maxPrefixBytes+maxReplacementBytes {
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
