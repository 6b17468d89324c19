package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"time"
)

func init() { cases["multipart"] = multipartBody }

// multipartBody sends orders whose body is a form with several parts, as a browser sends
// them. The bodies must reach the targets unchanged. Without trouble the same bytes are
// sent with another content type.
func multipartBody(w *world) int {
	w.start(2, 4, 20*time.Millisecond)
	changed, sent, answered := 0, 0, 0
	for i := range 20 {
		id := fmt.Sprintf("form-%d", i)
		const boundary = "----formboundary7MA4YWxk"
		var b strings.Builder
		fmt.Fprintf(&b, "--%s\r\nContent-Disposition: form-data; name=\"proof\"; filename=\"stamp.txt\"\r\nContent-Type: text/plain\r\n\r\nstamp of %s\r\n", boundary, id)
		for _, field := range []string{"pilgrim", "night", "amount"} {
			fmt.Fprintf(&b, "--%s\r\nContent-Disposition: form-data; name=\"%s\"\r\nContent-Type: text/plain; charset=utf-8\r\n\r\n%s of %s\r\n", boundary, field, field, id)
		}
		fmt.Fprintf(&b, "--%s--\r\n", boundary)
		body := b.String()
		kind := "multipart/form-data; boundary=" + boundary
		if !w.trouble {
			kind = "application/octet-stream"
		}
		sum := sha256.Sum256([]byte(body))
		digest := hex.EncodeToString(sum[:8])
		c, err := dial(w.instances[i%2].front)
		must(err)
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		w.record("send   %s to %s: POST /pay/%d, %d bytes, digest %s, content type %s", id, w.instances[i%2].name, i, len(body), digest, kind)
		_, err = c.Write([]byte(head("POST", fmt.Sprintf("/pay/%d", i), id, 4*time.Second, "Content-Type: "+kind, fmt.Sprintf("Content-Length: %d", len(body))) + body))
		must(err)
		sent++
		got := c.read("POST")
		_ = c.Close()
		w.record("answer %s: %s", id, got)
		if got.isWhole(id) {
			answered++
		}
		for _, one := range w.runs.of(id) {
			if one.digest != digest || one.size != len(body) {
				changed++
				w.record("CHANGED %s ran at %s with %d bytes, digest %s instead of %d bytes, digest %s", id, one.target, one.size, one.digest, len(body), digest)
			}
		}
	}
	return w.verdict(changed > 0, "%d of %d orders ran with a changed body; %d were answered with success", changed, sent, answered)
}
