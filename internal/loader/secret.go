package loader

import "fmt"

// redacted stands for a credential wherever settings are shown.
const redacted = "[redacted]"

// Secret is a credential in settings. It is shown as "[redacted]" by every
// formatter and encoder; Reveal returns its value.
type Secret struct{ value string }

// NewSecret returns a Secret that holds value.
func NewSecret(value string) Secret { return Secret{value: value} }

// Reveal returns the credential.
func (s Secret) Reveal() string { return s.value }

// Empty reports whether no credential is set.
func (s Secret) Empty() bool { return s.value == "" }

// UnmarshalText takes the credential from a settings file.
func (s *Secret) UnmarshalText(text []byte) error {
	s.value = string(text)
	return nil
}

// MarshalText hides the credential.
func (s Secret) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// String hides the credential.
func (s Secret) String() string {
	if s.Empty() {
		return ""
	}
	return redacted
}

// Format hides the credential from every verb.
func (s Secret) Format(f fmt.State, _ rune) { fmt.Fprint(f, s.String()) }
