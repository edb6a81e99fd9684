package wharfjob

import (
	"encoding/json"
	"fmt"
	"time"
)

// States of a batch job, as the callers' interface names them.
const (
	InProgress = "in_progress"
	Completed  = "completed"
	Cancelled  = "cancelled"
)

// File is the row of an uploaded input file, whose lines are stored as one object for each chunk.
type File struct {
	ID           string    `json:"id"`
	Organisation string    `json:"organisation"`
	Name         string    `json:"name"`
	Bytes        int64     `json:"bytes"`
	Items        int       `json:"items"`
	ChunkItems   int       `json:"chunk-items"`
	Service      string    `json:"service"`
	Path         string    `json:"path"`
	CreatedAt    time.Time `json:"created-at"`
}

// Chunks returns the number of chunks of the file.
func (f *File) Chunks() int {
	return (f.Items + f.ChunkItems - 1) / f.ChunkItems
}

// Job is the row of a batch job; it changes only when the job is cancelled or completed.
type Job struct {
	ID           string            `json:"id"`
	Organisation string            `json:"organisation"`
	FileID       string            `json:"file-id"`
	Path         string            `json:"path"`
	Service      string            `json:"service"`
	State        string            `json:"state"`
	Items        int               `json:"items"`
	Chunks       int               `json:"chunks"`
	Completed    int               `json:"completed"`
	Failed       int               `json:"failed"`
	CreatedAt    time.Time         `json:"created-at"`
	Deadline     time.Time         `json:"deadline"`
	EndedAt      time.Time         `json:"ended-at"`
	Window       string            `json:"completion-window"`
	Metadata     map[string]string `json:"metadata,omitempty"`
}

// Open is the row of a job that has not ended: Next is the first chunk that nobody has claimed yet.
type Open struct {
	Job          string    `json:"job"`
	Organisation string    `json:"organisation"`
	FileID       string    `json:"file-id"`
	Service      string    `json:"service"`
	Next         int       `json:"next"`
	Chunks       int       `json:"chunks"`
	Items        int       `json:"items"`
	JobVersion   uint64    `json:"job-version"`
	Deadline     time.Time `json:"deadline"`
}

// Submission is the row that names the job of an idempotency key.
type Submission struct {
	Job         string `json:"job"`
	Fingerprint string `json:"fingerprint"`
}

// Claim is the row of a chunk that one incarnation of a host works on, with the results that are committed.
type Claim struct {
	Job       string `json:"job"`
	FileID    string `json:"file-id"`
	Service   string `json:"service"`
	Chunk     int    `json:"chunk"`
	Parts     []Part `json:"parts"`
	Heartbeat int64  `json:"beat"` // raised to show that the owner still works
}

// Done is the row of a chunk whose every item has its result.
type Done struct {
	Parts []Part `json:"parts"`
}

// Part is an object that holds the results of some items, in lines.
type Part struct {
	Object    string `json:"object"`
	Items     []int  `json:"items,omitempty"` // indices in the chunk
	Completed int    `json:"completed"`
	Failed    int    `json:"failed"`
}

// Owner is the incarnation that holds a claim.
type Owner struct {
	Zone  string
	Host  string
	Epoch uint64
}

// freeHost stands for the host of a claim that nobody holds.
const freeHost = "-"

// Unclaimed returns the owner of the claims of a zone that nobody holds and that any of its hosts may take.
func Unclaimed(zone string) Owner {
	return Owner{Zone: zone, Host: freeHost}
}

// OwnerPrefix returns the prefix of the row keys of an owner's claims.
func OwnerPrefix(owner Owner) string {
	return fmt.Sprintf("%s%s/%s/%d/", ClaimPrefix, owner.Zone, owner.Host, owner.Epoch)
}

// Line is one item of an input file.
type Line struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// Result is one line of an output or error file.
type Result struct {
	ID       string          `json:"id"`
	CustomID string          `json:"custom_id"`
	Response *ResultResponse `json:"response"`
	Error    *ResultError    `json:"error"`
}

// ResultResponse is the answer to an item.
type ResultResponse struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

// ResultError says why an item can not be done.
type ResultError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// OpenPrefix and ClaimPrefix are the prefixes of the rows of open jobs and of claims.
const (
	OpenPrefix  = "open/"
	ClaimPrefix = "claim/"
)

// FileKey returns the row key of a file.
func FileKey(id string) string { return "file/" + id }

// JobKey returns the row key of a job.
func JobKey(id string) string { return "job/" + id }

// ListKey returns the row key of a job in its organisation's list.
func ListKey(organisation, id string) string { return "jobs/" + organisation + "/" + id }

// OpenKey returns the row key of a job that has not ended.
func OpenKey(id string) string { return OpenPrefix + id }

// SubmissionKey returns the row key of an idempotency key.
func SubmissionKey(organisation, key string) string { return "submission/" + organisation + "/" + key }

// ClaimKey returns the row key of a claim.
func ClaimKey(owner Owner, job string, chunk int) string {
	return fmt.Sprintf("%s%s/%06d", OwnerPrefix(owner), job, chunk)
}

// DonePrefix returns the prefix of the rows of a job's finished chunks.
func DonePrefix(job string) string { return "done/" + job + "/" }

// DoneKey returns the row key of a finished chunk.
func DoneKey(job string, chunk int) string { return fmt.Sprintf("%s%06d", DonePrefix(job), chunk) }

// InputObject returns the object key of the lines of a chunk.
func InputObject(file string, chunk int) string { return fmt.Sprintf("input/%s/%06d", file, chunk) }

// ResultObject returns the object key of a part of a chunk's results, which unique makes unlike any other.
func ResultObject(job string, chunk int, unique string) string {
	return fmt.Sprintf("result/%s/%06d/%s", job, chunk, unique)
}

const (
	chunksWanted  = 16
	minChunkItems = 8
	maxChunkItems = 256
)

// ChunkItems returns the number of items in a chunk, so that few rows are written and few items are redone.
func ChunkItems(items int) int {
	return min(max(items/chunksWanted, minChunkItems), maxChunkItems)
}
