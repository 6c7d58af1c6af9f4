package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/daemon"
)

func runStatus(ctx context.Context, e environment, args []string) error {
	f := newFlags(e, "status", "[-json] [-controls A,B | -daemon ADDR]",
		"Prints the status of the groups and of the daemons as seen by each control\n"+
			"replica, or the status and metrics of one daemon, from its admin listener. Fails\n"+
			"if a replica does not respond.",
		"status -controls 10.20.11.10:7100,10.20.21.10:7100,10.20.31.10:7100",
		"status -daemon 127.0.0.1:7003 -json")
	operator := addOperatorFlags(f)
	address := f.String("daemon", "", "admin address of a daemon on this VM")
	asJSON := f.Bool("json", false, "print the status as JSON")
	if err := parseFlags(f, args, 0, 0); err != nil {
		return err
	}
	if *address != "" {
		ctx, cancel := context.WithTimeout(ctx, *operator.timeout)
		defer cancel()
		return daemonStatus(ctx, e, *address, *asJSON)
	}
	return controlStatus(ctx, e, operator, *asJSON)
}

// daemonOutput is the output of `status -daemon -json`.
type daemonOutput struct {
	daemon.Status
	Metrics map[string]json.RawMessage `json:"metrics"`
}

func daemonStatus(ctx context.Context, e environment, address string, asJSON bool) error {
	var output daemonOutput
	if err := fetchJSON(ctx, address, "/status", &output.Status); err != nil {
		return err
	}
	var variables struct {
		Daemon map[string]json.RawMessage `json:"bilberrydeck"`
	}
	if err := fetchJSON(ctx, address, "/debug/vars", &variables); err != nil {
		return err
	}
	output.Metrics = variables.Daemon
	if asJSON {
		return printJSON(e, output)
	}
	status := output.Status
	fmt.Fprintf(e.stdout, "daemon %s of %s in %s (%s): %s\n", status.ID, status.Service, status.AvailabilityZone, status.Region, status.State)
	fmt.Fprintf(e.stdout, "upstream %s, unhealthy %t\n", status.Upstream, status.Unhealthy)
	fmt.Fprintf(e.stdout, "configuration version %d, confirmed %t\n", status.ConfigurationVersion, status.Confirmed)
	fmt.Fprintf(e.stdout, "gate: level %d, limit %d, in flight %d, queued %d\n", status.Level, status.Limit, status.InFlight, status.Queued)
	printMetrics(e, output.Metrics)
	return nil
}

// maxResponseBytes limits the response body that is read from a daemon.
const maxResponseBytes = 1 << 20

// fetchJSON sends a GET request to the admin listener of a daemon and decodes the
// response.
func fetchJSON(ctx context.Context, address, path string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return usagef("-daemon %s is not an address", address)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("the daemon responded with status %s to %s", response.Status, path)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(into)
	return errors.Wrapf(err, "reading the daemon's response to %s", path)
}

// printMetrics prints one line for each value. The reference page about requests lists
// the names and units.
func printMetrics(e environment, metrics map[string]json.RawMessage) {
	w := tabwriter.NewWriter(e.stdout, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "\nMETRIC\tVALUE")
	for _, name := range slices.Sorted(maps.Keys(metrics)) {
		var parts map[string]json.RawMessage
		if json.Unmarshal(metrics[name], &parts) != nil || parts == nil {
			fmt.Fprintf(w, "%s\t%s\n", name, metrics[name])
			continue
		}
		for _, part := range slices.Sorted(maps.Keys(parts)) {
			fmt.Fprintf(w, "%s.%s\t%s\n", name, part, parts[part])
		}
	}
}

// replicaOutput is the status of one replica in the output, or the error of its request.
type replicaOutput struct {
	Address string          `json:"address"`
	Error   string          `json:"error,omitempty"`
	Status  json.RawMessage `json:"status,omitempty"`
	status  *api.StatusResponse
}

// statusTimeout limits the wait for one replica, so that an unreachable replica does
// not prevent the output of the others.
const statusTimeout = 3 * time.Second

func controlStatus(ctx context.Context, e environment, operator *operatorFlags, asJSON bool) error {
	control, ctx, disconnect, err := operator.connect(ctx)
	if err != nil {
		return err
	}
	defer disconnect()
	var statuses []replicaOutput
	failed := 0
	for _, address := range splitList(*operator.controls) {
		attempt, cancel := context.WithTimeout(ctx, min(statusTimeout, *operator.timeout))
		status, err := control.StatusOf(attempt, address)
		cancel()
		current := replicaOutput{Address: address, status: status}
		if err != nil {
			failed++
			current.Error = oneLine(err.Error())
		} else if current.Status, err = (protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}).Marshal(status); err != nil {
			return err
		}
		statuses = append(statuses, current)
	}
	if asJSON {
		err = printJSON(e, statuses)
	} else {
		printReplicas(e, statuses)
	}
	if err == nil && failed > 0 {
		return errors.Newf("%d of %d replicas did not answer", failed, len(statuses))
	}
	return err
}

func printReplicas(e environment, statuses []replicaOutput) {
	w := tabwriter.NewWriter(e.stdout, 0, 0, 2, ' ', 0)
	defer w.Flush()
	var fullest *api.StatusResponse
	fmt.Fprintln(w, "REPLICA\tADDRESS\tGROUP\tVERSION\tTERM\tLEADER\tCOMMITTED\tAPPLIED\tVOTERS\tCONFIRMED")
	for _, s := range statuses {
		if s.status == nil {
			fmt.Fprintf(w, "-\t%s\t-\t%s\n", s.Address, s.Error)
			continue
		}
		if fullest == nil || len(s.status.Daemons) > len(fullest.Daemons) {
			fullest = s.status
		}
		for _, g := range s.status.Groups {
			fmt.Fprintf(w, "%d\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", s.status.Replica, s.Address, g.Group,
				s.status.Version, g.Term, g.Leader, g.CommitIndex, g.AppliedIndex, countVoters(g), formatAge(g.ConfirmationAgeMs))
		}
	}
	if fullest == nil || len(fullest.Daemons) == 0 {
		return
	}
	fmt.Fprintln(w, "\nDAEMON\tSERVICE\tAVAILABILITY ZONE\tVERSION\tSTATE\tREPORTED")
	for _, d := range fullest.Daemons {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\n", d.Id, d.Service, d.AvailabilityZone, d.Version, d.State, formatAge(d.AgeMs))
	}
}

// countVoters returns the number of voters of a group.
func countVoters(g *api.GroupStatus) int {
	n := 0
	for _, r := range g.Replicas {
		if r.Voter {
			n++
		}
	}
	return n
}

// formatAge formats an age in milliseconds; a negative one means never.
func formatAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).String() + " ago"
}
