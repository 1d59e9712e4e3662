package generator

import "lentilwood.example/lentilwood/internal/emulator"

// StandIns expects what the stand-in worker and the stand-in service answer.
type StandIns struct{}

// Token returns the text of token n of the answer to a completion.
func (StandIns) Token(requestID string, n int) string { return emulator.Text(requestID, n) }

// Stock returns the count that a lookup of an item finds.
func (StandIns) Stock(item string) int { return emulator.Stock(item) }
