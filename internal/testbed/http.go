package testbed

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

func hostPart(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

func postJSON(client *http.Client, url string, body []byte) error {
	response, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "send the request")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusBadRequest {
		return errors.Newf("unexpected status %d", response.StatusCode)
	}
	return nil
}

func getJSON(client *http.Client, url string, value any) error {
	response, err := client.Get(url)
	if err != nil {
		return errors.Wrap(err, "send the request")
	}
	defer func() { _ = response.Body.Close() }()
	return errors.Wrap(json.NewDecoder(response.Body).Decode(value), "decode the response")
}
