package routing

import (
	"crypto/sha256"
	"math"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

const (
	// maxKeyBytes bounds a key, so that a request's key is hashed without an allocation.
	maxKeyBytes = 512
	// maxWorkspaces is far above any that fit a value of the store.
	maxWorkspaces = 1 << 14
	// maxRatePerSecond bounds rates and bursts, so that sums of them stay exact.
	maxRatePerSecond = 1e9
)

// keyHash is the hash of a key. The keys themselves are not kept, so that no dump of a
// table shows them.
type keyHash [sha256.Size]byte

// hashKey returns the hash of a key; false for one that no workspace can have.
func hashKey(key string) (keyHash, bool) {
	if key == "" || len(key) > maxKeyBytes {
		return keyHash{}, false
	}
	var buffer [maxKeyBytes]byte
	return sha256.Sum256(buffer[:copy(buffer[:], key)]), true
}

// keyring finds workspaces by their keys. It is immutable.
type keyring struct {
	byKey  map[keyHash]*Workspace
	byName map[string]*Workspace
	// limited is set when a workspace has a rate limit.
	limited bool
}

// newKeyring validates workspaces. The error names the workspace and the position of an
// invalid key, never the key.
func newKeyring(configured []KeyedWorkspace) (*keyring, error) {
	if len(configured) > maxWorkspaces {
		return nil, errors.Errorf("%d workspaces, at most %d are allowed", len(configured), maxWorkspaces)
	}
	k := &keyring{byKey: make(map[keyHash]*Workspace), byName: make(map[string]*Workspace, len(configured))}
	for i := range configured {
		workspace := configured[i].Workspace
		if err := checkWorkspace(&workspace); err != nil {
			return nil, err
		}
		if k.byName[workspace.Name] != nil {
			return nil, errors.Errorf("workspace %q is defined twice", workspace.Name)
		}
		if configured[i].Keys == nil {
			return nil, errors.Errorf("workspace %q has no list of keys", workspace.Name)
		}
		if err := k.addKeys(&workspace, configured[i].Keys); err != nil {
			return nil, err
		}
		k.byName[workspace.Name] = &workspace
		k.limited = k.limited || workspace.IsLimited()
	}
	return k, nil
}

func (k *keyring) addKeys(workspace *Workspace, keys []string) error {
	for i, key := range keys {
		hash, valid := hashKey(key)
		if !valid {
			return errors.Errorf("workspace %q: key %d has %d bytes, want 1 to %d", workspace.Name, i+1, len(key), maxKeyBytes)
		}
		if other := k.byKey[hash]; other != nil && other != workspace {
			return errors.Errorf("workspace %q: key %d is also a key of workspace %q", workspace.Name, i+1, other.Name)
		}
		k.byKey[hash] = workspace
	}
	return nil
}

func checkWorkspace(w *Workspace) error {
	switch {
	case w.Name == "" || strings.TrimSpace(w.Name) != w.Name || !httpguts.ValidHeaderFieldValue(w.Name):
		return errors.Errorf("workspace name %q must not be empty and must be a valid header value", w.Name)
	case w.Priority != nil && *w.Priority < 0:
		return errors.Errorf("workspace %q: priority %d must be at least 0", w.Name, *w.Priority)
	case !validRate(w.RatePerSecond):
		return errors.Errorf("workspace %q: rate limit %v must be from 0 to %v", w.Name, w.RatePerSecond, float64(maxRatePerSecond))
	case !validRate(w.Burst):
		return errors.Errorf("workspace %q: burst %v must be from 0 to %v", w.Name, w.Burst, float64(maxRatePerSecond))
	default:
		return nil
	}
}

func validRate(rate float64) bool { return !math.IsNaN(rate) && rate >= 0 && rate <= maxRatePerSecond }
