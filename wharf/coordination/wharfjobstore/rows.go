package wharfjobstore

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"wagtailwharf.example/wharf/coordination/wharfrecords"
	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharfkey"
	"wagtailwharf.example/wharf/state/wharftask"
)

const (
	itemsPrefix  = "wharf-items-"  // of names of objects with items
	outputPrefix = "wharf-output-" // of names of objects with outputs

	jobTable    = "wharf-jobs"
	resultTable = "wharf-results"
	// progressTable holds the progress of items whose host released their job.
	progressTable = "wharf-progress"
	// partCount is the number of parts that organisations are hashed to. The store serializes the transactions of one
	// part, and all rows of a job must be in one part.
	partCount = 8
	// maxInlineBytes is the largest output that is stored in a row; larger outputs are stored as objects.
	maxInlineBytes = 40 << 10
	// maxProgressBytes is the largest progress that is stored for a job. A transaction holds 1 MB, and encoding adds a
	// third to the size.
	maxProgressBytes = 500 << 10
)

func partFor(organisation string) string {
	return strconv.FormatUint(xxhash.Sum64String(organisation)%partCount, 10)
}

func jobKey(organisation, id string) string {
	return wharfkey.Join(organisation, id)
}

// admissionKey returns the key of an organisation's admission row, which every submission changes, so that submissions
// are serialized. It sorts before the organisation's jobs.
func admissionKey(organisation string) string {
	return wharfkey.Escape(organisation) + "/"
}

// itemsObject returns the name of the object that holds a submission's items.
func itemsObject(organisation, id string, data []byte) string {
	return itemsPrefix + wharfkey.Hash(data, organisation, id)
}

// outputObject returns the name of the object that holds the output of an item.
func outputObject(job *Job, itemID string, output []byte) string {
	return outputPrefix + wharfkey.Hash(output, job.Organisation, job.ID, itemID)
}

func resultKey(job string, position int) string {
	return fmt.Sprintf("%s/%05d", job, position)
}

// resultRow is the stored form of a result; Object names the object that holds a large output.
type resultRow struct {
	wharftask.Result `cbor:"1,keyasint"`
	Object           string `cbor:"2,keyasint"`
}

func encode(value any) []byte {
	data, err := cbor.Marshal(value)
	if err != nil {
		panic(err) // unreachable: every type passed here can be encoded
	}
	return data
}

func decodeRecord(row wharfrecords.Row) (wharftask.Record, error) {
	var record wharftask.Record
	if err := cbor.Unmarshal(row.Value, &record); err != nil {
		return record, fmt.Errorf("decode row %q: %w", row.Key, err)
	}
	return record, nil
}

func decodeItems(data []byte) ([]wharfcall.Item, error) {
	var items []wharfcall.Item
	if err := cbor.Unmarshal(data, &items); err != nil {
		return nil, fmt.Errorf("decode batch job items: %w", err)
	}
	return items, nil
}
