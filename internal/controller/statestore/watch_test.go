package statestore

import (
	"net/http"
	"testing"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

const sec = micros.Second

// TestWatchPhases checks that a watch lists its keys page by page, follows changes from the
// revision of the first page, and takes its view to be complete as of the time at which a request
// was made, not answered.
func TestWatchPhases(t *testing.T) {
	w := NewWatch("p/", sec)
	page := func(at micros.Micros, after string, revision uint64, keys ...string) {
		t.Helper()
		body, timeout := w.NextRequest(at)
		if want := (ListKeys{Prefix: "p/", After: after, Limit: keysPerPage}); body != want || timeout != listTimeout {
			t.Errorf("request %+v with timeout %v, want %+v", body, timeout, want)
		}
		answer := &wire.KeyList{Revision: revision}
		for _, key := range keys {
			answer.Items = append(answer.Items, wire.KeyValue{Key: key})
		}
		w.AddPage(answer)
		if wait := w.UntilNext(at); wait > 0 {
			t.Errorf("the request after a page waits for %v", wait)
		}
	}
	page(10*sec, "", 5, "p/a", "p/b")
	if w.Ready() {
		t.Error("ready after the first page")
	}
	page(11*sec, "p/b", 8, "p/c")
	w.FinishListing()
	if !w.Ready() || w.CompleteAsOf != 10*sec {
		t.Errorf("phase %v, complete as of %v, want following, as of the first page", w.phase, w.CompleteAsOf)
	}
	body, timeout := w.NextRequest(12 * sec)
	if want := (WatchKeys{Prefix: "p/", Since: 5, WaitMS: WatchTimeout.Millis()}); body != want || timeout <= WatchTimeout {
		t.Errorf("request %+v with timeout %v, want %+v and a longer timeout", body, timeout, want)
	}
	w.AdvanceTo(9)
	if w.Since != 9 || w.CompleteAsOf != 12*sec {
		t.Errorf("changes since %d, complete as of %v, want 9 and 12 s", w.Since, w.CompleteAsOf)
	}
	w.NextRequest(13 * sec)
	if w.HandleFailure(20*sec, 0); !w.Ready() || w.UntilNext(20*sec) != sec {
		t.Errorf("phase %v, next request in %v, want following after a pause of 1 s", w.phase, w.UntilNext(20*sec))
	}
	if w.HandleFailure(21*sec, http.StatusRequestEntityTooLarge); w.Ready() {
		t.Error("not listed again after an answer that is too large")
	}
	page(22*sec, "", 11)
}
