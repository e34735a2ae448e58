package crash

import "strconv"

// Fingerprint identifies the content of requests.
type Fingerprint uint64

// base is the base of written fingerprints.
const base = 36

func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), base) }

func parseFingerprint(text string) (Fingerprint, error) {
	number, err := strconv.ParseUint(text, base, 64)
	return Fingerprint(number), err
}
