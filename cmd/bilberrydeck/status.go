package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
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
			"status of one daemon, asked at its admin listener. Fails if a replica does not\n"+
			"answer.",
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

func daemonStatus(ctx context.Context, e env, address string, asJSON bool) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return usagef("-daemon %s is not an address", address)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return errors.Newf("the daemon answered %s", answer.Status)
	}
	var s daemon.Status
	if err := json.NewDecoder(io.LimitReader(answer.Body, 1<<20)).Decode(&s); err != nil {
		return errors.Wrap(err, "reading the daemon's status")
	}
	if asJSON {
		return printJSON(e, s)
	}
	fmt.Fprintf(e.stdout, "daemon %s of %s in %s (%s): %s\n", s.ID, s.Service, s.AvailabilityZone, s.Region, s.State)
	fmt.Fprintf(e.stdout, "upstream %s, unhealthy %t\n", s.Upstream, s.Unhealthy)
	fmt.Fprintf(e.stdout, "configuration version %d, confirmed %t\n", s.ConfigurationVersion, s.Confirmed)
	fmt.Fprintf(e.stdout, "gate: level %d, limit %d, in flight %d, queued %d\n", s.Level, s.Limit, s.InFlight, s.Queued)
	return nil
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
