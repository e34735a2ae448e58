package burn

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
)

// Limits of a decoded row: the length of a name in bytes and the calls of one
// window.
const (
	maxNameBytes = 255
	maxCalls     = 1 << 50
)

// Encode encodes rows for the field burn of controlpb.Report. The encoding is
// deterministic: equal rows give equal bytes. It returns nil when a name is not
// valid UTF-8.
func Encode(rows []Row) []byte {
	message := &controlpb.Burn{}
	for _, row := range rows {
		message.Rows = append(message.Rows, encodeRow(row))
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return nil // Marshal fails only for names that are not valid UTF-8.
	}
	return data
}

// Decode decodes rows. It returns an error for data above the limits of the
// config and for rows that Encode cannot have written.
func Decode(data []byte, config Config) ([]Row, error) {
	if len(data) > config.MaxBytes {
		return nil, errors.Errorf("objective statistics of %d bytes, want at most %d", len(data), config.MaxBytes)
	}
	message := &controlpb.Burn{}
	if err := proto.Unmarshal(data, message); err != nil {
		return nil, errors.Wrap(err, "decode the objective statistics")
	}
	if len(message.GetRows()) > config.MaxRows {
		return nil, errors.Errorf("objective statistics with %d rows, want at most %d", len(message.GetRows()), config.MaxRows)
	}
	rows := make([]Row, 0, len(message.GetRows()))
	for _, encoded := range message.GetRows() {
		row, err := decodeRow(encoded)
		if err != nil {
			return nil, errors.Wrapf(err, "objective statistics of target %q in region %q", encoded.GetTarget(), encoded.GetRegion())
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func encodeRow(row Row) *controlpb.BurnRow {
	encoded := &controlpb.BurnRow{
		Target:    row.Target,
		Region:    row.Region,
		Latencies: encodeSketch(row.Latencies),
	}
	for _, counts := range row.Windows {
		encoded.Windows = append(encoded.Windows, &controlpb.BurnCounts{Calls: counts.Calls, Failed: counts.Failed, Slow: counts.Slow})
	}
	return encoded
}

func decodeRow(encoded *controlpb.BurnRow) (Row, error) {
	row := Row{Target: encoded.GetTarget(), Region: encoded.GetRegion()}
	if len(row.Target) > maxNameBytes || len(row.Region) > maxNameBytes {
		return Row{}, errors.Errorf("target name of %d bytes and region name of %d bytes, want at most %d each", len(row.Target), len(row.Region), maxNameBytes)
	}
	if len(encoded.GetWindows()) != int(windowCount) {
		return Row{}, errors.Errorf("%d windows, want %d", len(encoded.GetWindows()), windowCount)
	}
	for i, window := range encoded.GetWindows() {
		counts := Counts{Calls: window.GetCalls(), Failed: window.GetFailed(), Slow: window.GetSlow()}
		if counts.Calls > maxCalls || counts.Failed > counts.Calls || counts.Slow > counts.Calls-counts.Failed {
			return Row{}, errors.Errorf("inconsistent counts %+v in the %s window, want Failed + Slow <= Calls <= %d", counts, Window(i).Length(), uint64(maxCalls))
		}
		row.Windows[i] = counts
	}
	var err error
	row.Latencies, err = decodeSketch(encoded.GetLatencies())
	return row, err
}
