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
	// parts is the number of parts that organisations are spread over: the store commits the transactions of one part
	// one after another, and a job's rows must lie in one part.
	parts = 8
	// maxInline is the largest output in bytes that lies in a row; longer ones are objects of their own.
	maxInline = 40 << 10
	// maxHanded is the largest progress in bytes that is kept of a job: a transaction holds 1 MB, a third more than that
	// in its encoding.
	maxHanded = 500 << 10
)

var plainName = regexp.MustCompile(`^[A-Za-z0-9_.-]{1,80}$`)

// clean returns a text that can be part of a key.
func clean(text string) string {
	if plainName.MatchString(text) {
		return text
	}
	sum := sha256.Sum256([]byte(text))
	return "x-" + hex.EncodeToString(sum[:])
}

func partOf(organisation string) string {
	return strconv.FormatUint(xxhash.Sum64String(organisation)%parts, 10)
}

func keyOf(organisation, id string) string {
	return clean(organisation) + "/" + clean(id)
}

// gateKey is the row that orders the acceptances of an organisation's jobs; it sorts before all of them.
func gateKey(organisation string) string {
	return clean(organisation) + "/"
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
