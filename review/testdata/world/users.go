package main

import (
	"bytes"
	"io"
	"net/http"
	"time"
)

// post sends a request to a controller. Status 0: there was no answer.
func post(client *http.Client, address, path string, body []byte) (status int, response []byte) {
	r, err := client.Post("http://"+address+path, "application/cbor", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	defer r.Body.Close()
	response, err = io.ReadAll(r.Body)
	if err != nil {
		return 0, nil
	}
	return r.StatusCode, response
}

// request sends one request on a connection of its own.
func request(method, address, path string, body []byte, timeout time.Duration) (status int, response []byte) {
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer r.Body.Close()
	response, err = io.ReadAll(r.Body)
	if err != nil {
		return 0, nil
	}
	return r.StatusCode, response
}

func (j *job) submission() object {
	o := object{
		"nameId": j.id, "herd": j.class, "crew": "fitters-desk", "gait": "sweep", "rank": j.rank, "loads": j.loads,
		"cpus": j.cpus, "gpus": 0.0, "memGb": j.memGB, "tack": j.image, "sizeGb": j.imageGB, "breeds": nil, "paddock": nil,
		"oneZone": false, "apart": false, "strays": j.spot, "haulS": j.run.Seconds(), "restS": 0.0, "stowS": 0.0, "dueS": nil,
	}
	if j.dueS != nil {
		o["dueS"] = *j.dueS
	}
	if len(j.follows) > 0 {
		o["follows"] = j.follows
	}
	return o
}

// submit submits a job, with repeats, for up to 60 s. It reports whether the job was accepted.
func (w *world) submit(j *job) bool {
	w.mu.Lock()
	w.jobs[j.id] = j
	w.mu.Unlock()
	body := encode(j.submission())
	for attempt := 0; attempt < 60; attempt++ {
		n := w.nodes[(len(j.id)+int(j.id[len(j.id)-1])+attempt)%len(w.nodes)]
		status, _ := request(http.MethodPost, n.serveOn, "/submissions", body, 5*time.Second)
		w.record("user: submits %s to %s: %d", j.id, n.label, status)
		switch status {
		case http.StatusOK, http.StatusCreated:
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}

// poll asks a controller about a job. Stance "" means that there was no answer of status 200.
func (w *world) poll(id string, n *node) (status int, stance string) {
	status, response := request(http.MethodGet, n.serveOn, "/submissions/"+id, nil, 2*time.Second)
	var body struct {
		Stance string `cbor:"stance"`
	}
	if status == http.StatusOK && decode(response, &body) {
		stance = body.Stance
	}
	w.record("user: asks %s about %s: %d %s", n.label, id, status, stance)
	return status, stance
}
