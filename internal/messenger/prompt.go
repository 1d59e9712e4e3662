package messenger

import (
	"slices"
	"strconv"
)

// Work describes the work that a request causes at a model engine.
type Work struct {
	// Prompt holds the parts of the prompt in order.
	Prompt []PromptPart
	// MaxOutputTokens is the maximum number of tokens to generate.
	MaxOutputTokens int
}

// PromptPart is a part of a prompt that several requests may have in common.
type PromptPart struct {
	// Chain identifies the part and all parts before it.
	Chain uint64
	// Content identifies the part itself, whatever stands before it. It is zero for a part
	// that belongs to a single request or session.
	Content ContentID
	// Tokens is the length of the part in tokens.
	Tokens int
}

// PromptTokens returns the length of the whole prompt in tokens.
func (w Work) PromptTokens() int {
	n := 0
	for _, p := range w.Prompt {
		n += p.Tokens
	}
	return n
}

// Cost returns the relative cost of the work: 1 for each prompt token and 2 for each token that
// may be generated. Throughput and demand are measured in this unit per second.
func (w Work) Cost() float64 { return float64(w.PromptTokens() + 2*w.MaxOutputTokens) }

// RestCost returns the relative cost of the work that is left to serve a stream once some tokens were
// generated. What was spent on the prompt is not counted again.
func (w Work) RestCost(generated int) float64 {
	return float64(2 * max(0, w.MaxOutputTokens-generated))
}

// ContentID identifies the content of a prompt part for one model. Zero means none. Its text
// form, as in logs, is hexadecimal.
type ContentID uint64

// String returns the ID in hexadecimal.
func (id ContentID) String() string { return strconv.FormatUint(uint64(id), 16) }

// ParseContentID parses the text form of a ContentID.
func ParseContentID(text string) (ContentID, error) {
	id, err := strconv.ParseUint(text, 16, 64)
	return ContentID(id), err
}

// SharedParts returns the parts that the request may have in common with other requests, each
// once: those of its prompt with a Content, or else its Prefix.
func (a Arrive) SharedParts() []ContentID {
	var ids []ContentID
	for _, p := range a.Work.Prompt {
		if p.Content != 0 && !slices.Contains(ids, p.Content) {
			ids = append(ids, p.Content)
		}
	}
	if len(ids) == 0 && a.Prefix != 0 {
		ids = append(ids, ContentID(a.Prefix))
	}
	return ids
}

// PartID identifies a prompt part and all parts before it in messages between routers. It is the
// lower half of PromptPart.Chain. A collision only makes a forecast less accurate.
type PartID uint32
