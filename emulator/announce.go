package emulator

import (
	"bytes"
	"encoding/json"
	"net/http"
)

// Announce sends the address of an upstream to its local daemon, as a service does when it
// starts. Both addresses are host:port.
func Announce(admin, service, address string) error {
	body, err := json.Marshal(struct {
		Service string `json:"service"`
		Address string `json:"address"`
	}{service, "http://" + address})
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+admin+"/announce", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusNoContent {
		return &StatusError{Status: resp.StatusCode}
	}
	return nil
}
