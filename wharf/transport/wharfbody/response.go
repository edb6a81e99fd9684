package wharfbody

import (
	"fmt"
	"io"
	"net/http"
)

// ReadResponse reads the body of a response of up to limit bytes, into a buffer that fits if the length is announced. The
// error of a longer one wraps ErrTooLarge.
func ReadResponse(response *http.Response, limit int64) ([]byte, error) {
	length := response.ContentLength
	if length > limit {
		return nil, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, length, limit)
	}
	if length > 0 {
		data := make([]byte, length)
		_, err := io.ReadFull(response.Body, data)
		return data, err
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err == nil && int64(len(data)) > limit {
		return nil, fmt.Errorf("%w: more than %d bytes", ErrTooLarge, limit)
	}
	return data, err
}
