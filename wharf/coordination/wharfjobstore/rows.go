package wharfjobstore

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"regexp"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"wagtailwharf.example/wharf/coordination/wharfrecords"
	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharftask"
)

const (
	jobTable    = "wharf-jobs"
	resultTable = "wharf-results"
	// progressTable keeps what the items of a leaving host have brought.
	progressTable = "wharf-progress"
	// partCount is the number of parts that organisations are spread over: the store commits the transactions of one part
	// one after another, and a job's rows must lie in one part.
	partCount = 8
	// maxInlineBytes is the largest output in bytes that lies in a row; longer ones are objects of their own.
	maxInlineBytes = 40 << 10
	// maxProgressBytes is the largest progress in bytes that is kept of a job: a transaction holds 1 MB, a third more than that
	// in its encoding.
	maxProgressBytes = 500 << 10
)

var safeKey = regexp.MustCompile(`^[A-Za-z0-9_.-]{1,80}$`)

// escapeKey returns a text that can be part of a key.
func escapeKey(text string) string {
	if safeKey.MatchString(text) {
		return text
	}
	sum := sha256.Sum256([]byte(text))
	return "x-" + hex.EncodeToString(sum[:])
}

func partFor(organisation string) string {
	return strconv.FormatUint(xxhash.Sum64String(organisation)%partCount, 10)
}

func jobKey(organisation, id string) string {
	return escapeKey(organisation) + "/" + escapeKey(id)
}

// admissionKey is the row that orders the acceptances of an organisation's jobs; it sorts before all of them.
func admissionKey(organisation string) string {
	return escapeKey(organisation) + "/"
}

func resultKey(job string, position int) string {
	return fmt.Sprintf("%s/%05d", job, position)
}

// resultRow is the row of a result; a long output is an object.
type resultRow struct {
	wharftask.Result `cbor:"1,keyasint"`
	Object           string `cbor:"2,keyasint"`
}

func encode(value any) []byte {
	data, err := cbor.Marshal(value)
	if err != nil {
		panic(err) // the types of this package always encode
	}
	return data
}

func decodeRecord(row wharfrecords.Row) (wharftask.Record, error) {
	var record wharftask.Record
	if err := cbor.Unmarshal(row.Value, &record); err != nil {
		return record, fmt.Errorf("row %q: %w", row.Key, err)
	}
	return record, nil
}

func decodeItems(data []byte) ([]wharfcall.Item, error) {
	var items []wharfcall.Item
	if err := cbor.Unmarshal(data, &items); err != nil {
		return nil, fmt.Errorf("items of a job: %w", err)
	}
	return items, nil
}
