package exchange

import (
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// headPosition is a position in the head of a response.
type headPosition int

const (
	// outsideHead is the position before and behind a head.
	outsideHead headPosition = iota
	inStatusLine
	atLineStart
	inFieldName
	inFieldValue
)

// transferEncoding is the name of a field in lower case.
const transferEncoding = "transfer-encoding"

// headChecker checks the head of a response while it is read. It finds the lines that
// http.ReadResponse accepts and that another parser reads as other fields, or as another
// end of the head: http.ReadResponse keeps "Content-Length " as a field without effect,
// joins a folded line with the one before it (RFC 9112, sections 5.1 and 5.2), and takes a
// bare line feed for the end of a line (section 2.2). It also finds a Transfer-Encoding,
// which http.ReadResponse ignores and removes before HTTP/1.1.
type headChecker struct {
	position headPosition
	previous byte
	// bareLineFeeds is set when the status line ends with a bare line feed.
	bareLineFeeds bool
	// matched is the number of bytes that the name of the current field has in common with
	// transferEncoding; -1 when it differs.
	matched int
	// encoded is set when there is a Transfer-Encoding.
	encoded bool
	err     error
}

// start begins a head, of which a part has been read already.
func (c *headChecker) start(read []byte) {
	*c = headChecker{position: inStatusLine}
	c.add(read)
}

// add checks the next bytes up to the end of the head.
func (c *headChecker) add(read []byte) {
	for _, b := range read {
		if c.position == outsideHead {
			return
		}
		c.addByte(b)
		c.previous = b
	}
}

// addByte leaves the values of fields to http.ReadResponse, which rejects control bytes there.
func (c *headChecker) addByte(b byte) {
	switch {
	case b == '\n':
		c.endLine()
	case b == '\r':
		// http.ReadResponse rejects a field with a carriage return that doesn't end its line.
	case c.position == inStatusLine || c.position == inFieldValue:
	case b == ':':
		c.position = inFieldValue
		c.encoded = c.encoded || c.matched == len(transferEncoding)
	case c.position == atLineStart && (b == ' ' || b == '\t'):
		c.fail(errors.New("a header line of the response begins with whitespace"))
	case !httpguts.IsTokenRune(rune(b)):
		c.fail(errors.Errorf("the name of a header field of the response holds the byte %#02x", b))
	default:
		c.position = inFieldName
		c.matchName(b)
	}
}

// matchName compares the next byte of a name with transferEncoding.
func (c *headChecker) matchName(b byte) {
	const lowerCaseBit = 'a' - 'A'
	if c.matched >= 0 && c.matched < len(transferEncoding) && b|lowerCaseBit == transferEncoding[c.matched] {
		c.matched++
	} else {
		c.matched = -1
	}
}

func (c *headChecker) endLine() {
	bareLineFeed := c.previous != '\r'
	switch {
	case c.position == inStatusLine:
		c.bareLineFeeds = bareLineFeed
	case bareLineFeed != c.bareLineFeeds:
		c.fail(errors.New("some lines in the head of the response end with a bare line feed, others with a carriage return and a line feed"))
		return
	case c.position == atLineStart:
		c.position = outsideHead
		return
	}
	c.position, c.matched = atLineStart, 0
}

// check returns why the head of a response that was read is none.
func (c *headChecker) check(response *http.Response) error {
	if c.err == nil && c.encoded && !response.ProtoAtLeast(1, 1) {
		return errors.Errorf("the response of %s has a Transfer-Encoding", response.Proto)
	}
	return c.err
}

func (c *headChecker) fail(err error) {
	c.position, c.err = outsideHead, err
}
