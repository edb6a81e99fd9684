package wharfgateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime/multipart"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"wagtailwharf.example/wharf/coordination/wharfjobs"
	"wagtailwharf.example/wharf/protocol/wharfapi"
	"wagtailwharf.example/wharf/protocol/wharfrefusal"
	"wagtailwharf.example/wharf/state/wharfjob"
	"wagtailwharf.example/wharf/transport/wharfbody"
)

const (
	outputPrefix        = "file-output-"
	errorPrefix         = "file-error-"
	defaultListLimit    = 20
	maxListLimit        = 100
	maxPurposeBytes     = 1 << 10
	uploadTimeoutFactor = 10 // an upload may take this many times BodyTimeout
)

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

type fileObject struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int64  `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
	Status    string `json:"status"`
}

type batchRequest struct {
	InputFileID string            `json:"input_file_id"`
	Endpoint    string            `json:"endpoint"`
	Window      string            `json:"completion_window"`
	Metadata    map[string]string `json:"metadata"`
}

type batchObject struct {
	ID            string            `json:"id"`
	Object        string            `json:"object"`
	Endpoint      string            `json:"endpoint"`
	InputFileID   string            `json:"input_file_id"`
	Window        string            `json:"completion_window"`
	Status        string            `json:"status"`
	OutputFileID  *string           `json:"output_file_id"`
	ErrorFileID   *string           `json:"error_file_id"`
	CreatedAt     int64             `json:"created_at"`
	ExpiresAt     int64             `json:"expires_at"`
	CompletedAt   *int64            `json:"completed_at"`
	CancelledAt   *int64            `json:"cancelled_at"`
	RequestCounts requestCounts     `json:"request_counts"`
	Metadata      map[string]string `json:"metadata"`
}

type requestCounts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

// upload stores the input file of a batch.
func (s *Server) upload(w http.ResponseWriter, r *authenticatedRequest) error {
	body := r.Body
	defer func() { r.Body = body }()
	r.Body = http.MaxBytesReader(nil, body, s.options.Limits.MaxUploadBytes)
	reader, err := r.MultipartReader()
	if err != nil {
		return wharfrefusal.New(http.StatusBadRequest, "bad-input",
			"send the file as multipart/form-data with the fields purpose and file")
	}
	form := &uploadForm{server: s, writer: w, request: r.Request, deadline: time.Now().Add(uploadTimeoutFactor * s.options.Limits.BodyTimeout)}
	defer form.release()
	if err := form.read(reader); err != nil {
		return err
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	if form.purpose != "batch" || form.file.Memory == nil {
		return wharfrefusal.New(http.StatusBadRequest, "bad-input", "the form needs purpose=batch and a file")
	}
	data := form.file.Data
	if containsKey(r.token, data, r.Request) {
		return errKeyInRequest
	}
	if err := form.file.Memory.Grow(r.Context(), storedShare*int64(len(data))); err != nil {
		return err
	}
	file, err := s.options.Jobs.Upload(r.Context(), r.organisation.Name, form.name, r.Header.Get(idempotencyHeader), data)
	if err != nil {
		return err
	}
	return writeJSON(w, newFileObject(&file))
}

// storedShare is how many times the size of an input file it and the chunks that are stored take together at most.
const storedShare = 2

// uploadForm holds the fields of an upload.
type uploadForm struct {
	server   *Server
	writer   http.ResponseWriter
	request  *http.Request
	deadline time.Time
	purpose  string
	name     string
	file     wharfbody.Body // without Memory if there is no file
}

func (f *uploadForm) release() {
	if f.file.Memory != nil {
		f.file.Memory.Release()
	}
}

// read reads the fields. If there are several files, the last one counts.
func (f *uploadForm) read(reader *multipart.Reader) error {
	for {
		part, err := reader.NextPart()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return formRefusal(err)
		}
		switch part.FormName() {
		case "purpose":
			text, err := io.ReadAll(io.LimitReader(part, maxPurposeBytes))
			if err != nil {
				return formRefusal(err)
			}
			f.purpose = string(text)
		case "file":
			f.release()
			f.name = part.FileName()
			f.file, err = f.server.options.Bodies.ReadPart(
				f.request.Context(), f.writer, f.request, part, f.server.options.Limits.MaxUploadBytes, f.deadline)
			if err != nil {
				return bodyRefusal(err)
			}
		}
	}
}

func formRefusal(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errTooLarge
	}
	return wharfrefusal.New(http.StatusBadRequest, "bad-input", "the form is malformed or was cut short")
}

func newFileObject(file *wharfjob.File) fileObject {
	return fileObject{
		ID:        file.ID,
		Object:    "file",
		Bytes:     file.Bytes,
		CreatedAt: file.CreatedAt.Unix(),
		Filename:  file.Name,
		Purpose:   "batch",
		Status:    "processed",
	}
}

// parseResultsFileID returns the job whose output or error file an ID names; failed is true for the error file.
func parseResultsFileID(id string) (job string, failed, ok bool) {
	if job, ok := strings.CutPrefix(id, outputPrefix); ok {
		return job, false, true
	}
	if job, ok := strings.CutPrefix(id, errorPrefix); ok {
		return job, true, true
	}
	return "", false, false
}

// file describes an input file, or the output or error file of a job.
func (s *Server) file(w http.ResponseWriter, r *authenticatedRequest) error {
	id := r.PathValue("id")
	if jobID, _, ok := parseResultsFileID(id); ok {
		job, err := s.options.Jobs.Get(r.Context(), r.organisation.Name, jobID)
		if err != nil {
			return err
		}
		return writeJSON(w, fileObject{
			ID:        id,
			Object:    "file",
			CreatedAt: job.CreatedAt.Unix(),
			Filename:  id + ".jsonl",
			Purpose:   "batch_output",
			Status:    "processed",
		})
	}
	file, err := s.options.Jobs.File(r.Context(), r.organisation.Name, id)
	if err != nil {
		return err
	}
	return writeJSON(w, newFileObject(&file))
}

// content returns the lines of a file.
func (s *Server) content(w http.ResponseWriter, r *authenticatedRequest) error {
	id := r.PathValue("id")
	memory := s.options.Memory.Open(nil)
	defer memory.Release()
	data := &countedBuffer{grow: func(size int64) error { return memory.Grow(r.Context(), size) }}
	if jobID, failed, ok := parseResultsFileID(id); ok {
		if err := s.options.Jobs.Results(r.Context(), r.organisation.Name, jobID, failed, data); err != nil {
			return err
		}
		return s.writeJSONLines(w, data)
	}
	file, err := s.options.Jobs.File(r.Context(), r.organisation.Name, id)
	if err != nil {
		return err
	}
	if err := s.options.Jobs.Content(r.Context(), file, data); err != nil {
		return err
	}
	return s.writeJSONLines(w, data)
}

// countedBuffer holds parts of a response whose memory is reserved.
type countedBuffer struct {
	grow  func(size int64) error
	parts net.Buffers
	size  int64
}

// Write keeps a copy of data, or returns the error of grow.
func (b *countedBuffer) Write(data []byte) (int, error) {
	b.size += int64(len(data))
	if err := b.grow(b.size); err != nil {
		return 0, err
	}
	b.parts = append(b.parts, bytes.Clone(data))
	return len(data), nil
}

// writeJSONLines responds with lines that are all in memory, so that a failing store cannot truncate the response. A caller
// that does not read them is cut off.
func (s *Server) writeJSONLines(w http.ResponseWriter, data *countedBuffer) error {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(uploadTimeoutFactor * s.options.Limits.BodyTimeout))
	w.Header().Set("Content-Type", "application/jsonl")
	w.Header().Set("Content-Length", fmt.Sprint(data.size))
	_, _ = data.parts.WriteTo(w)
	return nil
}

func (s *Server) submit(w http.ResponseWriter, r *authenticatedRequest) error {
	body, err := s.readBody(w, r.Request, r.token)
	if err != nil {
		return err
	}
	defer body.Memory.Release()
	var request batchRequest
	if err := json.Unmarshal(body.Data, &request); err != nil {
		return fmt.Errorf("%w: %v", wharfapi.ErrMalformed, err)
	}
	job, err := s.options.Jobs.Submit(r.Context(), wharfjobs.Request{
		Organisation:   r.organisation.Name,
		FileID:         request.InputFileID,
		Path:           request.Endpoint,
		Window:         request.Window,
		Metadata:       request.Metadata,
		IdempotencyKey: r.Header.Get(idempotencyHeader),
		Serves:         func(service string) bool { return r.snapshot.Model(service) != nil },
	})
	if err != nil {
		return err
	}
	return writeJSON(w, newBatchObject(&job))
}

func (s *Server) batch(w http.ResponseWriter, r *authenticatedRequest) error {
	job, err := s.options.Jobs.Get(r.Context(), r.organisation.Name, r.PathValue("id"))
	if err != nil {
		return err
	}
	return writeJSON(w, newBatchObject(&job))
}

// cancel records that a job is cancelled and stops its running items.
func (s *Server) cancel(w http.ResponseWriter, r *authenticatedRequest) error {
	job, err := s.options.Jobs.Cancel(r.Context(), r.organisation.Name, r.PathValue("id"))
	if err != nil {
		return err
	}
	s.options.StopJob(job.ID)
	return writeJSON(w, newBatchObject(&job))
}

// list returns a page of the organisation's jobs.
func (s *Server) list(w http.ResponseWriter, r *authenticatedRequest) error {
	limit := defaultListLimit
	if text := r.URL.Query().Get("limit"); text != "" {
		number, err := strconv.Atoi(text)
		if err != nil || number < 1 || number > maxListLimit {
			return wharfrefusal.New(http.StatusBadRequest, "bad-input",
				fmt.Sprintf("limit must be from 1 to %d", maxListLimit))
		}
		limit = number
	}
	jobs, err := s.options.Jobs.List(r.Context(), r.organisation.Name, r.URL.Query().Get("after"), limit+1)
	if err != nil {
		return err
	}
	page := batchList{Object: "list", Data: []batchObject{}, HasMore: len(jobs) > limit}
	for _, job := range jobs[:min(len(jobs), limit)] {
		page.Data = append(page.Data, newBatchObject(&job))
	}
	return writeJSON(w, page)
}

type batchList struct {
	Object  string        `json:"object"`
	Data    []batchObject `json:"data"`
	HasMore bool          `json:"has_more"`
}

func newBatchObject(job *wharfjob.Job) batchObject {
	batch := batchObject{
		ID:            job.ID,
		Object:        "batch",
		Endpoint:      job.Path,
		InputFileID:   job.FileID,
		Window:        job.Window,
		Status:        job.State,
		CreatedAt:     job.CreatedAt.Unix(),
		ExpiresAt:     job.Deadline.Unix(),
		RequestCounts: requestCounts{Total: job.Items, Completed: job.Completed, Failed: job.Failed},
		Metadata:      job.Metadata,
	}
	if job.State == wharfjob.InProgress {
		return batch
	}
	ended := job.EndedAt.Unix()
	if job.State == wharfjob.Completed {
		batch.CompletedAt = &ended
	} else {
		batch.CancelledAt = &ended
	}
	output := outputPrefix + job.ID
	batch.OutputFileID = &output
	if job.Failed > 0 {
		failed := errorPrefix + job.ID
		batch.ErrorFileID = &failed
	}
	return batch
}
