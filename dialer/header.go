package dialer

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop are the header fields that apply to one connection only. Expect is
// among them because the entry host itself answers it when it reads the
// caller's body.
var hopByHop = []string{
	"Connection",
	"Expect",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// stripHopByHop deletes the header fields that apply to one connection only.
func stripHopByHop(header http.Header) {
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		delete(header, name)
	}
}

// forwardedHeader returns the header to send to the worker.
func forwardedHeader(header http.Header) http.Header {
	trailers := false
	for _, line := range header["Te"] {
		trailers = trailers || strings.Contains(strings.ToLower(line), "trailers")
	}
	header = header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	stripHopByHop(header)
	if trailers {
		header.Set("Te", "trailers")
	}
	// An empty value keeps http.Request.Write from adding its own.
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""}
	}
	return header
}
