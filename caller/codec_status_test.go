package caller

import "testing"

// TestDecodeResponseNeedsStatus guards against a response from a peer without a valid
// status, which would be read as 200.
func TestDecodeResponseNeedsStatus(t *testing.T) {
	for status, valid := range map[string]bool{"000": false, "099": false, "600": false, "999": false, "200": true, "599": true} {
		response, err := decodeResponse([]byte("HTTP/1.1 " + status + " Said\r\nContent-Length: 2\r\n\r\nok"))
		if (err == nil) != valid || (valid && string(response.Body()) != "ok") {
			t.Errorf("status %s: got error %v", status, err)
		}
	}
}
