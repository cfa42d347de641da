package http1

import (
	"fmt"
	"net/http"
	"strconv"
)

// AppendRequest appends a request to dst and returns the extended buffer. contentType is only
// written if there is a body.
func AppendRequest(dst []byte, method, target, host, contentType string, body []byte) []byte {
	dst = append(dst, method...)
	dst = append(dst, ' ')
	dst = append(dst, target...)
	dst = append(dst, " HTTP/1.1\r\nHost: "...)
	dst = append(dst, host...)
	dst = append(dst, "\r\n"...)
	if len(body) > 0 {
		dst = appendContentType(dst, contentType)
	}
	if len(body) > 0 || method == http.MethodPost {
		dst = appendContentLength(dst, len(body))
	}
	dst = append(dst, "\r\n"...)
	return append(dst, body...)
}

// AppendResponse appends a response to dst and returns the extended buffer. contentType is only
// written if there is a body. retryAfter is in seconds; 0 omits the Retry-After header. closing
// adds a header which announces that the connection will be closed.
func AppendResponse(dst []byte, status int, contentType string, body []byte, retryAfter int, closing bool) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, reasonPhrase(status)...)
	dst = append(dst, "\r\n"...)
	if len(body) > 0 {
		dst = appendContentType(dst, contentType)
	}
	if retryAfter > 0 {
		dst = append(dst, "Retry-After: "...)
		dst = strconv.AppendInt(dst, int64(retryAfter), 10)
		dst = append(dst, "\r\n"...)
	}
	if closing {
		dst = append(dst, "Connection: close\r\n"...)
	}
	dst = appendContentLength(dst, len(body))
	dst = append(dst, "\r\n"...)
	return append(dst, body...)
}

func appendContentType(dst []byte, contentType string) []byte {
	dst = append(dst, "Content-Type: "...)
	dst = append(dst, contentType...)
	return append(dst, "\r\n"...)
}

func appendContentLength(dst []byte, n int) []byte {
	dst = append(dst, "Content-Length: "...)
	dst = strconv.AppendInt(dst, int64(n), 10)
	return append(dst, "\r\n"...)
}

// reasonPhrase returns the reason phrase of a status as defined by RFC 9110. net/http has other
// phrases for 413 and 422.
func reasonPhrase(status int) string {
	switch status {
	case http.StatusOK:
		return "OK"
	case http.StatusCreated:
		return "Created"
	case http.StatusBadRequest:
		return "Bad Request"
	case http.StatusNotFound:
		return "Not Found"
	case http.StatusMethodNotAllowed:
		return "Method Not Allowed"
	case http.StatusConflict:
		return "Conflict"
	case http.StatusRequestEntityTooLarge:
		return "Content Too Large"
	case http.StatusMisdirectedRequest:
		return "Misdirected Request"
	case http.StatusUnprocessableEntity:
		return "Unprocessable Content"
	case http.StatusTooManyRequests:
		return "Too Many Requests"
	case http.StatusRequestHeaderFieldsTooLarge:
		return "Request Header Fields Too Large"
	case http.StatusServiceUnavailable:
		return "Service Unavailable"
	}
	return fmt.Sprintf("Status %d", status)
}
