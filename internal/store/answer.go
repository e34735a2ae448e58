package store

import (
	"net/http"
	"strconv"

	"github.com/pkg/errors"
)

// answer is a complete answer of the store.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// err returns the error that the status stands for.
func (a answer) err() error {
	switch a.status {
	case http.StatusOK, http.StatusNotFound, http.StatusNotModified:
		return nil
	case http.StatusConflict:
		return ErrConflict
	case http.StatusGone:
		return ErrLeaseExpired
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	default:
		return errors.Wrapf(ErrUnavailable, "status %d", a.status)
	}
}

// headerNumber returns a number from a header. A malformed answer counts as
// none, because the write may have taken effect.
func headerNumber[T ~uint64](a answer, name string) (T, error) {
	number, err := strconv.ParseUint(a.header.Get(name), 10, 64)
	if err != nil {
		return 0, errors.Wrapf(ErrUnavailable, "the answer has no valid header %s", name)
	}
	return T(number), nil
}
