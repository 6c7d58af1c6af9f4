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

func runStatus(ctx context.Context, e env, args []string) error {
	f := newFlags(e, "status", "[-json] [-controls A,B | -daemon ADDR]",
		"Prints what each control replica knows of its groups and of the daemons, or the\n"+
			"status and metrics of one daemon, asked at its admin listener. Fails if a replica\n"+
			"does not answer.",
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

// daemonReport is what `status -daemon -json` prints.
type daemonReport struct {
	daemon.Status
	Metrics map[string]json.RawMessage `json:"metrics"`
}

func daemonStatus(ctx context.Context, e env, address string, asJSON bool) error {
	var report daemonReport
	if err := fetchJSON(ctx, address, "/status", &report.Status); err != nil {
		return err
	}
	var vars struct {
		Daemon map[string]json.RawMessage `json:"bilberrydeck"`
	}
	if err := fetchJSON(ctx, address, "/debug/vars", &vars); err != nil {
		return err
	}
	report.Metrics = vars.Daemon
	if asJSON {
		return printJSON(e, report)
	}
	s := report.Status
	fmt.Fprintf(e.stdout, "daemon %s of %s in %s (%s): %s\n", s.ID, s.Service, s.AvailabilityZone, s.Region, s.State)
	fmt.Fprintf(e.stdout, "upstream %s, unhealthy %t\n", s.Upstream, s.Unhealthy)
	fmt.Fprintf(e.stdout, "configuration version %d, confirmed %t\n", s.ConfigurationVersion, s.Confirmed)
	fmt.Fprintf(e.stdout, "gate: level %d, limit %d, in flight %d, queued %d\n", s.Level, s.Limit, s.InFlight, s.Queued)
	printMetrics(e, report.Metrics)
	return nil
}

// maxAnswer bounds what is read from a daemon, in bytes.
const maxAnswer = 1 << 20

// fetchJSON asks the admin listener of a daemon.
func fetchJSON(ctx context.Context, address, path string, into any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return usagef("-daemon %s is not an address", address)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return errors.Newf("the daemon answered %s to %s", answer.Status, path)
	}
	err = json.NewDecoder(io.LimitReader(answer.Body, maxAnswer)).Decode(into)
	return errors.Wrapf(err, "reading the daemon's answer to %s", path)
}

// printMetrics prints one line for each value. Names and units are in the
// reference of requests.
func printMetrics(e env, metrics map[string]json.RawMessage) {
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

// replicaAnswer is the status that one replica gave.
type replicaAnswer struct {
	Address string          `json:"address"`
	Error   string          `json:"error,omitempty"`
	Status  json.RawMessage `json:"status,omitempty"`
	status  *api.StatusResponse
}

// statusTimeout bounds the wait for one replica, so that a replica that is
// lost does not hide the others.
const statusTimeout = 3 * time.Second

func controlStatus(ctx context.Context, e env, operator *operatorFlags, asJSON bool) error {
	control, ctx, end, err := operator.connect(ctx)
	if err != nil {
		return err
	}
	defer end()
	var answers []replicaAnswer
	failed := 0
	for _, address := range splitList(*operator.controls) {
		attempt, cancel := context.WithTimeout(ctx, min(statusTimeout, *operator.timeout))
		status, err := control.StatusOf(attempt, address)
		cancel()
		a := replicaAnswer{Address: address, status: status}
		if err != nil {
			failed++
			a.Error = oneLine(err.Error())
		} else if a.Status, err = (protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}).Marshal(status); err != nil {
			return err
		}
		answers = append(answers, a)
	}
	if asJSON {
		err = printJSON(e, answers)
	} else {
		printReplicas(e, answers)
	}
	if err == nil && failed > 0 {
		return errors.Newf("%d of %d replicas did not answer", failed, len(answers))
	}
	return err
}

func printReplicas(e env, answers []replicaAnswer) {
	w := tabwriter.NewWriter(e.stdout, 0, 0, 2, ' ', 0)
	defer w.Flush()
	var newest *api.StatusResponse
	fmt.Fprintln(w, "REPLICA\tADDRESS\tGROUP\tVERSION\tTERM\tLEADER\tCOMMITTED\tAPPLIED\tVOTERS\tCONFIRMED")
	for _, a := range answers {
		if a.status == nil {
			fmt.Fprintf(w, "-\t%s\t-\t%s\n", a.Address, a.Error)
			continue
		}
		if newest == nil || len(a.status.Daemons) > len(newest.Daemons) {
			newest = a.status
		}
		for _, g := range a.status.Groups {
			fmt.Fprintf(w, "%d\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", a.status.Replica, a.Address, g.Group,
				a.status.Version, g.Term, g.Leader, g.CommitIndex, g.AppliedIndex, voters(g), age(g.ConfirmationAgeMs))
		}
	}
	if newest == nil || len(newest.Daemons) == 0 {
		return
	}
	fmt.Fprintln(w, "\nDAEMON\tSERVICE\tAVAILABILITY ZONE\tVERSION\tSTATE\tREPORTED")
	for _, d := range newest.Daemons {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\n", d.Id, d.Service, d.AvailabilityZone, d.Version, d.State, age(d.AgeMs))
	}
}

func voters(g *api.GroupStatus) int {
	n := 0
	for _, r := range g.Replicas {
		if r.Voter {
			n++
		}
	}
	return n
}

func age(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).String() + " ago"
}
