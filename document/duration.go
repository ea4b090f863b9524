package document

import (
	"encoding/json"
	"time"
)

// Duration is a length of time that is written in JSON as a string such as
// "250ms", "5s" or "1m30s"; the units are us, ms, s, m and h.
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// String returns the form that is written in JSON.
func (d Duration) String() string {
	return time.Duration(d).String()
}

// MarshalJSON writes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(d.String())
}

// UnmarshalJSON reads a string such as "250ms".
func (d *Duration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return err
	}
	std, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	*d = Duration(std)
	return nil
}
