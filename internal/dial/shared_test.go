package dial_test

import (
	"testing"

	"rosemaryladder.dev/rosemaryladder/internal/dial"
)

type closeCounter struct{ closed int }

func (c *closeCounter) Close() error {
	c.closed++
	return nil
}

// TestSharedClosesAfterItsUsers guards against a dropped connection that is never closed,
// or closed while a request uses it.
func TestSharedClosesAfterItsUsers(t *testing.T) {
	for users := range 3 {
		conn := &closeCounter{}
		shared := dial.NewShared(conn)
		shared.Acquire()
		shared.Release()
		for range users {
			if shared.Acquire() != conn {
				t.Fatal("Acquire returned another connection")
			}
		}
		if conn.closed != 0 {
			t.Fatalf("the connection was closed before it was dropped")
		}
		shared.Retire()
		for range users {
			if conn.closed != 0 {
				t.Fatalf("%d users: the connection was closed in use", users)
			}
			shared.Release()
		}
		if conn.closed != 1 {
			t.Errorf("%d users: the connection was closed %d times, want 1", users, conn.closed)
		}
	}
}
