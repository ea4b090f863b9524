package faketarget

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Answer is the body of a target's answer. It repeats the request's id, attempt,
// key and body checksum, so that a caller can check that the answer is complete
// and belongs to its request.
type Answer struct {
	ID      string `json:"id"`
	Attempt string `json:"attempt"`
	Key     string `json:"key"`
	Target  string `json:"target"`
	BodySum string `json:"body_sum"`
	Pad     string `json:"pad"`
	Sum     string `json:"sum"`
}

// Sum returns the checksum of a body in the form used in answers and journals.
func Sum(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}

func newAnswer(r Record, padBytes int) Answer {
	a := Answer{ID: r.ID, Attempt: r.Attempt, Key: r.Key, Target: r.Target, BodySum: r.BodySum}
	a.Pad = strings.Repeat(".", max(0, padBytes))
	a.Sum = a.checksum()
	return a
}

func (a Answer) checksum() string {
	return Sum([]byte(strings.Join([]string{a.ID, a.Attempt, a.Key, a.Target, a.BodySum, a.Pad}, "\n")))
}

// IsAnswerTo reports whether raw is a complete answer to the request with this
// id, key and body.
func IsAnswerTo(raw []byte, id, key string, body []byte) bool {
	var a Answer
	if json.Unmarshal(raw, &a) != nil {
		return false
	}
	return a.ID == id && a.Key == key && a.BodySum == Sum(body) && a.Sum == a.checksum()
}
