package daemon

import (
	"encoding/json"
	"net/http"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// maxAnnouncementBytes is the maximum size of the body of POST /announce.
const maxAnnouncementBytes = 4 << 10

// announceRequest is the body of POST /announce: the local upstream states where it listens.
type announceRequest struct {
	Service string `json:"service"`
	Address string `json:"address"` // http://host:port on loopback
}

// Status is the response to GET /status.
type Status struct {
	ID                   string `json:"id"`
	Service              string `json:"service"`
	Region               string `json:"region"`
	AvailabilityZone     string `json:"availability_zone"`
	State                string `json:"state"`
	Upstream             string `json:"upstream"` // host:port; empty before the announcement
	ConfigurationVersion uint64 `json:"configuration_version"`
	Confirmed            bool   `json:"confirmed"`
	Level                int    `json:"level"`
	Limit                int    `json:"limit"`
	InFlight             int    `json:"in_flight"`
	Queued               int    `json:"queued"`
	Unhealthy            bool   `json:"unhealthy"`
}

func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /announce", d.serveAnnounce)
	mux.HandleFunc("POST /drain", d.serveDrain)
	mux.HandleFunc("GET /status", d.serveStatus)
	mux.HandleFunc("GET /debug/vars", d.serveVars)
	return mux
}

// serveAnnounce sets the address of the local upstream. It rejects an announcement for another
// service, because the requests of this service would go to the wrong process.
func (d *Daemon) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var a announceRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&a); err != nil {
		errorResponse{failure: badRequest("invalid announcement: " + err.Error())}.write(w)
		return
	}
	if d.cfg.Service == "" || a.Service != d.cfg.Service {
		errorResponse{failure: badRequest("this daemon serves " + quoteService(d.cfg.Service) + ", not " + quoteService(a.Service))}.write(w)
		return
	}
	u, err := localURL(a.Address)
	if err != nil {
		errorResponse{failure: badRequest(err.Error())}.write(w)
		return
	}
	if d.draining.Load() {
		errorResponse{failure: chain.NewFailure(chain.NotRun, chain.ReasonDraining, "this daemon is draining")}.write(w)
		return
	}
	d.setLocalAddress(u.Host)
	d.updateState()
	d.log.Info().Str("service", a.Service).Str("address", u.Host).Msg("upstream announced itself")
	w.WriteHeader(http.StatusNoContent)
}

// quoteService returns a service name in quotes for an error message.
func quoteService(s string) string {
	if s == "" {
		return "no service"
	}
	b, err := json.Marshal(s)
	if err != nil {
		return "another service" // not reached: a string always marshals
	}
	return string(b)
}

// serveDrain starts a graceful shutdown.
func (d *Daemon) serveDrain(w http.ResponseWriter, _ *http.Request) {
	d.startDrain()
	w.WriteHeader(http.StatusAccepted)
}

func (d *Daemon) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(d.Status()) // an error means that the client has disconnected
}

// Status returns the state and load of the daemon for operators.
func (d *Daemon) Status() Status {
	s := Status{
		ID: d.cfg.ID, Service: d.cfg.Service, Region: d.cfg.Region, AvailabilityZone: d.cfg.AvailabilityZone,
		State: stateName(d.State()), Unhealthy: d.unhealthy.Load(),
	}
	if local := d.local.Load(); local != nil {
		s.Upstream = local.address
	}
	if active := d.snapshot.Load(); active != nil {
		s.ConfigurationVersion, s.Confirmed = active.source.Version, active.source.Confirmed
	}
	if queue := d.admissionQueue.Load(); queue != nil {
		r := queue.LoadReport()
		s.Level, s.Limit, s.InFlight, s.Queued = int(r.Level), r.Limit, r.InFlight, r.Queued
	}
	return s
}
