package upstream

import (
	"strconv"
	"testing"

	"sassafrastray/internal/standin/fieldline"
)

// framed are the ways of a body, with the header that says so.
var framed = []struct{ header, body string }{
	{"Content-Length: 2\r\n", "ab"},
	{"Transfer-Encoding: chunked\r\n", "2\r\nab\r\n0\r\n\r\n"},
	{"", "ab"},
}

// TestBrokenFields guards against a response that counts as one though a line of its head is
// no field: the parser accepts blanks in a name, joins lines that begin with one, and takes a
// line feed alone for the end of a line or of the head.
func TestBrokenFields(t *testing.T) {
	for _, line := range fieldline.Broken() {
		for _, f := range framed {
			for place, answer := range map[string]string{
				"first":                        "HTTP/1.1 200 OK\r\n" + line + "Id: r0\r\n" + f.header + "\r\n" + f.body,
				"middle":                       "HTTP/1.1 200 OK\r\nId: r0\r\n" + line + f.header + "\r\n" + f.body,
				"last":                         "HTTP/1.1 200 OK\r\nId: r0\r\n" + f.header + line + "\r\n" + f.body,
				"after an interim response":    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: r0\r\n" + line + f.header + "\r\n" + f.body,
				"in an interim response":       "HTTP/1.1 103 Early Hints\r\nLink: x\r\n" + line + "\r\nHTTP/1.1 200 OK\r\nId: r0\r\n" + f.header + "\r\n" + f.body,
				"in a response without a body": "HTTP/1.1 204 No Content\r\nId: r0\r\n" + line + "\r\n",
				"in another response":          "HTTP/1.1 200 OK\r\nId: other\r\n" + line + "Content-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\nId: r0\r\n" + f.header + "\r\n" + f.body,
			} {
				for _, end := range []string{"hold", "reset"} {
					t.Run(strconv.Quote(line)+"/"+f.header+"/"+place+"/"+end, func(t *testing.T) {
						t.Parallel()
						runScript(t, "request\nsend "+escape(answer)+"\n"+end+"\nsee malformed sent=true")
					})
				}
			}
		}
	}
}

// TestFields guards against responses that are refused for their fields, also if their head
// arrives in parts.
func TestFields(t *testing.T) {
	for _, line := range fieldline.Whole() {
		for _, f := range framed {
			kept := "1"
			if f.header == "" {
				kept = "0"
			}
			answer := "HTTP/1.1 103 x\r\n" + line + "\r\nHTTP/1.1 200 OK\r\n" + line + "Id: r0\r\n" + f.header + line + "\r\n" + f.body
			t.Run(strconv.Quote(line)+"/"+f.header, func(t *testing.T) {
				t.Parallel()
				runScript(t, "request\nsend "+escape(answer)+"\nsee 200 ab kept="+kept)
			})
			for at := range len(answer) {
				t.Run(strconv.Quote(line)+"/"+f.header+"/"+strconv.Itoa(at), func(t *testing.T) {
					t.Parallel()
					runScript(t, "request\nsend "+escape(answer[:at])+"\npause\nsend "+escape(answer[at:])+"\nsee 200 ab kept="+kept)
				})
			}
		}
	}
}
