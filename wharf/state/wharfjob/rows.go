package wharfjob

import (
	"encoding/json"
	"fmt"
	"time"
)

// States of a batch job, as reported to callers.
const (
	InProgress = "in_progress"
	Completed  = "completed"
	Cancelled  = "cancelled"
)

// File is the row of an uploaded input file. Its lines are stored in one object per chunk.
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

// Chunks returns the number of chunks of the file, rounded up.
func (f *File) Chunks() int {
	return (f.Items + f.ChunkItems - 1) / f.ChunkItems
}

// Job is the row of a batch job. It changes only when the job is cancelled or completed.
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

// Open is the row of a job that has not ended. Next is the first chunk that no host has claimed yet.
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

// Submission is the row that maps an idempotency key to its job.
type Submission struct {
	Job         string `json:"job"`
	Fingerprint string `json:"fingerprint"`
}

// Claim is the row of a chunk that one incarnation of a host is processing, with the results committed so far.
type Claim struct {
	Job       string `json:"job"`
	FileID    string `json:"file-id"`
	Service   string `json:"service"`
	Chunk     int    `json:"chunk"`
	Parts     []Part `json:"parts"`
	Heartbeat int64  `json:"beat"` // incremented as a heartbeat of the owner
	// Attempts is the number of failed attempts at items without a result, by item index in the chunk.
	Attempts map[int]int `json:"attempts,omitempty"`
}

// Done is the row of a chunk in which every item has a result.
type Done struct {
	Parts []Part `json:"parts"`
}

// Part refers to an object that holds the results of some items, one per line.
type Part struct {
	Object    string `json:"object"`
	Items     []int  `json:"items,omitempty"` // item indices in the chunk
	Completed int    `json:"completed"`
	Failed    int    `json:"failed"`
}

// Owner is the incarnation of a host that holds a claim.
type Owner struct {
	Zone  string
	Host  string
	Epoch uint64
}

// unclaimedHost is the host in the row keys of claims without an owner.
const unclaimedHost = "-"

// Unclaimed returns the placeholder owner of the claims in a zone that any host of the zone may take.
func Unclaimed(zone string) Owner {
	return Owner{Zone: zone, Host: unclaimedHost}
}

// OwnerPrefix returns the row key prefix of an owner's claims.
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

// ResultResponse is the response to an item.
type ResultResponse struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

// ResultError describes why an item cannot be completed.
type ResultError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Row key prefixes of open jobs and of claims.
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

// DonePrefix returns the row key prefix of a job's finished chunks.
func DonePrefix(job string) string { return "done/" + job + "/" }

// DoneKey returns the row key of a finished chunk.
func DoneKey(job string, chunk int) string { return fmt.Sprintf("%s%06d", DonePrefix(job), chunk) }

// InputObject returns the object key of the input lines of a chunk.
func InputObject(file string, chunk int) string { return fmt.Sprintf("input/%s/%06d", file, chunk) }

// ResultObject returns the object key of a part of a chunk's results. unique distinguishes it from all other parts.
func ResultObject(job string, chunk int, unique string) string {
	return fmt.Sprintf("result/%s/%06d/%s", job, chunk, unique)
}

const (
	targetChunks  = 16
	minChunkItems = 8
	maxChunkItems = 256
)

// ChunkItems returns the number of items per chunk. Larger chunks need fewer row writes; smaller ones repeat fewer
// items after a failure.
func ChunkItems(items int) int {
	return min(max(items/targetChunks, minChunkItems), maxChunkItems)
}
