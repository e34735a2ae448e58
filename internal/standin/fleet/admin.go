package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"rosemaryladder.dev/rosemaryladder/internal/standin/link"
	"rosemaryladder.dev/rosemaryladder/internal/standin/store"
)

// SetStoreFaults replaces the faults of the store.
func (f *Fleet) SetStoreFaults(ctx context.Context, faults store.Faults) error {
	return callJSON(ctx, http.MethodPut, f.storeAdmin, "/faults", faults, nil)
}

// CopyStore keeps a copy of the state of the store.
func (f *Fleet) CopyStore(ctx context.Context) error {
	return callJSON(ctx, http.MethodPut, f.storeAdmin, "/copy", nil, nil)
}

// RestoreStore replaces the state of the store by the copy.
func (f *Fleet) RestoreStore(ctx context.Context) error {
	return callJSON(ctx, http.MethodPut, f.storeAdmin, "/restore", nil, nil)
}

// StoreCounts returns the counts of store calls since the last reset.
func (f *Fleet) StoreCounts(ctx context.Context) (store.Counts, error) {
	var counts store.Counts
	err := callJSON(ctx, http.MethodGet, f.storeAdmin, "/counts", nil, &counts)
	return counts, err
}

// ResetStoreCounts resets the counts of the store to zero.
func (f *Fleet) ResetStoreCounts(ctx context.Context) error {
	return callJSON(ctx, http.MethodDelete, f.storeAdmin, "/counts", nil, nil)
}

// SetLink sets the state of the network between two hosts, failure domains or
// regions: open, cut or frozen.
func (f *Fleet) SetLink(ctx context.Context, a, b, state string) error {
	return callJSON(ctx, http.MethodPut, f.linkAdmin, "/links", link.Change{A: a, B: b, State: state}, nil)
}

// LinkCounts returns the bytes that passed the link stand-in by "region/KIND" and
// "all/KIND".
func (f *Fleet) LinkCounts(ctx context.Context) (map[string]link.Count, error) {
	counts := make(map[string]link.Count)
	err := callJSON(ctx, http.MethodGet, f.linkAdmin, "/counts", nil, &counts)
	return counts, err
}

// Run is one line of a backend server's run log.
type Run struct{ Key, CallID, Digest string }

// Runs returns the run log of the backend server.
func (h *Host) Runs(ctx context.Context) ([]Run, error) {
	text, err := getText(ctx, h.ServerAddress(), "/runs")
	if err != nil {
		return nil, err
	}
	var runs []Run
	for line := range strings.Lines(text) {
		fields := strings.Split(strings.TrimSuffix(line, "\n"), " ")
		runs = append(runs, Run{fields[0], fields[1], fields[2]})
	}
	return runs, nil
}

// SetBehaviour replaces the faults of the backend server.
func (h *Host) SetBehaviour(ctx context.Context, behaviour any) error {
	return callJSON(ctx, http.MethodPut, h.ServerAddress(), "/behaviour", behaviour, nil)
}

func callJSON(ctx context.Context, method, address, path string, body, reply any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		text, _ := io.ReadAll(response.Body)
		return fmt.Errorf("%s %s%s: %s %s", method, address, path, response.Status, text)
	}
	if reply == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(reply)
}

// getText returns the body of the response to a GET.
func getText(ctx context.Context, address, path string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return "", err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

// Metrics returns the values of the node's metrics by name with labels.
func (h *Host) Metrics(ctx context.Context) (map[string]float64, error) {
	text, err := getText(ctx, h.OperatorAddress(), "/metrics")
	if err != nil {
		return nil, err
	}
	values := make(map[string]float64)
	for line := range strings.Lines(text) {
		name, number, found := strings.Cut(strings.TrimSpace(line), " ")
		if value, err := strconv.ParseFloat(number, 64); found && err == nil {
			values[name] = value
		}
	}
	return values, nil
}
