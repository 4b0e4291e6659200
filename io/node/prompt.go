package node

import (
	"bytes"
	"encoding/json"
	"strings"

	"geraniumsaddle/io/engine"
)

// leadingMessages is the number of messages that identify a conversation: the system message and the first one of the user.
const leadingMessages = 2

// leadingText returns the text that an engine reads for the first messages of a chat completion, as far as its cache blocks
// are matched. The rest of the body is not decoded. It is empty for a body of another form.
func leadingText(body []byte) string {
	dec := json.NewDecoder(bytes.NewReader(body))
	if !findMessages(dec) {
		return ""
	}
	var b strings.Builder
	for i := 0; i < leadingMessages && dec.More() && b.Len() < promptBlocks*engine.PrefixBlock; i++ {
		var m struct {
			Role    string          `json:"role"`
			Content json.RawMessage `json:"content"`
		}
		if dec.Decode(&m) != nil {
			return ""
		}
		b.WriteString(m.Role + "\n" + contentText(m.Content) + "\n")
	}
	return b.String()
}

// findMessages moves the decoder to the first element of the member "messages".
func findMessages(dec *json.Decoder) bool {
	if t, err := dec.Token(); err != nil || t != json.Delim('{') {
		return false
	}
	for dec.More() {
		name, err := dec.Token()
		if err != nil {
			return false
		}
		if name == "messages" {
			t, err := dec.Token()
			return err == nil && t == json.Delim('[')
		}
		var skipped json.RawMessage
		if dec.Decode(&skipped) != nil {
			return false
		}
	}
	return false
}

// contentText returns the text of a message, whose content is a string or a list of parts.
func contentText(raw json.RawMessage) string {
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
