package wharfjobs

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"wagtailwharf.example/wharf/coordination/wharfstorage"
	"wagtailwharf.example/wharf/state/wharfconfig"
	"wagtailwharf.example/wharf/state/wharfjob"
	"wagtailwharf.example/wharf/state/wharfrow"
)

// Upload stores an input file of JSON lines. For an invalid line it returns ErrBadInput with the line number. Uploads
// of the same content by one organisation with the same idempotency key return the same file.
func (j *Jobs) Upload(
	ctx context.Context, organisation, name, idempotencyKey string, data []byte,
) (wharfjob.File, error) {
	lines, service, path, err := parseLines(data)
	if err != nil {
		return wharfjob.File{}, trace.Wrap(err)
	}
	file := wharfjob.File{
		ID:           fileID(organisation, idempotencyKey, data),
		Organisation: organisation,
		Name:         name,
		Bytes:        int64(len(data)),
		Items:        len(lines),
		ChunkItems:   wharfjob.ChunkItems(len(lines)),
		Service:      service,
		Path:         path,
		CreatedAt:    time.Now().UTC(),
	}
	if existing, version, err := wharfstorage.Read[wharfjob.File](ctx, j.storage,
		wharfjob.FileKey(file.ID)); err != nil || version != 0 {
		return existing, trace.Wrap(err)
	}
	if err := j.storeChunks(ctx, &file, lines); err != nil {
		return wharfjob.File{}, trace.Wrap(err)
	}
	return j.commitFile(ctx, file)
}

func (j *Jobs) commitFile(ctx context.Context, file wharfjob.File) (wharfjob.File, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	key := wharfjob.FileKey(file.ID)
	err := wharfstorage.Commit(ctx, j.storage, []wharfrow.Condition{wharfstorage.At(key, 0)},
		wharfstorage.Put(key, file))
	if errors.Is(err, wharfrow.ErrConflict) {
		existing, _, err := wharfstorage.Read[wharfjob.File](ctx, j.storage, key)
		return existing, trace.Wrap(err)
	}
	return file, trace.Wrap(err)
}

func fileID(organisation, idempotencyKey string, data []byte) string {
	if idempotencyKey == "" {
		return "file-" + newID()
	}
	return "file-" +
		wharfconfig.Hash([]byte(organisation + "\x00" + idempotencyKey + "\x00" + wharfconfig.Hash(data)))[:32]
}

func (j *Jobs) storeChunks(ctx context.Context, file *wharfjob.File, lines [][]byte) error {
	for chunk := range file.Chunks() {
		start := chunk * file.ChunkItems
		end := min(start+file.ChunkItems, len(lines))
		data := bytes.Join(lines[start:end], []byte("\n"))
		if err := j.storage.PutObject(ctx, wharfjob.InputObject(file.ID, chunk), data); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// parseLines validates the lines and returns them with the service and path that all of them name.
func parseLines(data []byte) (lines [][]byte, service, path string, err error) {
	scanner := bufio.NewScanner(bytes.NewReader(data))
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), MaxLineBytes)
	seen := map[string]int{}
	number := 0
	for scanner.Scan() {
		number++
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}
		line, model, err := parseLine(text)
		if err != nil {
			return nil, "", "", lineError(number, err)
		}
		if first, twice := seen[line.CustomID]; twice {
			return nil, "", "", lineError(number,
				fmt.Errorf("custom_id %q stands on line %d too", line.CustomID, first))
		}
		seen[line.CustomID] = number
		if len(lines) == 0 {
			service = model
			path = line.URL
		}
		if model != service || line.URL != path {
			return nil, "", "", lineError(number,
				fmt.Errorf("all lines must have the same model and url; the first has %q and %q", service, path))
		}
		lines = append(lines, bytes.Clone(text))
	}
	if err := scanner.Err(); err != nil {
		return nil, "", "", lineError(number+1, fmt.Errorf("longer than %d bytes", MaxLineBytes))
	}
	if len(lines) == 0 || len(lines) > MaxItems {
		return nil, "", "", trace.Wrap(fmt.Errorf("%w: %d items; a file holds 1 to %d", ErrBadInput, len(lines),
			MaxItems))
	}
	return lines, service, path, nil
}

func lineError(number int, err error) error {
	return trace.Wrap(fmt.Errorf("%w: line %d: %v", ErrBadInput, number, err))
}

func parseLine(text []byte) (line wharfjob.Line, model string, err error) {
	if err := json.Unmarshal(text, &line); err != nil {
		return line, "", fmt.Errorf("malformed JSON: %v", err)
	}
	if line.CustomID == "" {
		return line, "", errors.New("custom_id is missing")
	}
	if line.Method != "POST" {
		return line, "", fmt.Errorf("method is %q, not POST", line.Method)
	}
	if line.URL != "/v1/chat/completions" && line.URL != "/v1/completions" {
		return line, "", fmt.Errorf("url %q is not /v1/chat/completions or /v1/completions", line.URL)
	}
	var body struct {
		Model string `json:"model"`
	}
	if err := json.Unmarshal(line.Body, &body); err != nil || body.Model == "" {
		return line, "", errors.New("body must be an object with a model")
	}
	return line, body.Model, nil
}
