package crash

import "strconv"

// Fingerprint identifies the content of a request.
type Fingerprint uint64

// NoContent stands for a crash of a server that was running no request which may have
// caused it.
const NoContent Fingerprint = 0

// numberBase is the base of encoded fingerprints and times.
const numberBase = 36

func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), numberBase) }

func parseFingerprint(text string) (Fingerprint, error) {
	number, err := strconv.ParseUint(text, numberBase, 64)
	return Fingerprint(number), err
}
