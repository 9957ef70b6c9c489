package cmds

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"

	"github.com/integrii/flaggy"

	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// evacuateOptions holds the flags of evacuate.
type evacuateOptions struct {
	remote
	output
	zone string
	back bool
}

func (en *env) evacuateCommand() *command {
	var op evacuateOptions
	return &command{
		name:        "evacuate",
		description: "evacuates an availability zone of a domain, or returns it to service; without a zone, lists the evacuated zones",
		usage:       "[ZONE]",
		positionals: []positional{{&op.zone, "zone", "availability zone", false}},
		flags: func(sc *flaggy.Subcommand) {
			sc.Bool(&op.back, "", "back", "return the zone to service")
			op.remote.flags(sc)
			op.output.flags(sc)
		},
		run: func(ctx context.Context) error { return en.evacuate(ctx, &op) },
	}
}

func (en *env) evacuate(ctx context.Context, op *evacuateOptions) error {
	switch {
	case op.zone == "" && op.back:
		return usageErrorf("flag --back requires a zone")
	case op.zone != "" && !spec.ValidName(op.zone):
		return usageErrorf("%q is not a valid zone name", op.zone)
	}
	return en.withClient(op, func(cl *client.Client) error {
		if op.zone == "" {
			li, err := cl.Evacuations(ctx)
			if err != nil {
				return err
			}
			return emit(en, li, writeEvacuations)
		}
		ev, err := cl.Evacuate(ctx, op.zone, op.back)
		if err != nil {
			return err
		}
		if ev.Workers != nil && *ev.Workers == 0 {
			fmt.Fprintf(en.errOut, "%s evacuate: no worker is listed in zone %s\n", program, op.zone)
		}
		return emit(en, ev, writeEvacuated)
	})
}

func writeEvacuated(out io.Writer, ev client.Evacuated) error {
	text := "out of service"
	if ev.Code == codes.ZoneServes {
		text = "in service"
	}
	_, err := fmt.Fprintf(out, "%s, zone %s is %s\n", ev.Code, ev.Zone, text)
	return err
}

func writeEvacuations(out io.Writer, li client.EvacuationList) error {
	if len(li.Evacuations) == 0 {
		_, err := fmt.Fprintln(out, "no zone is evacuated")
		return err
	}
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "EMPTIED ZONE\tWORKERS\tTASKS LEFT")
	for _, ev := range li.Evacuations {
		fmt.Fprintf(tw, "%s\t%s\t%s\n", ev.Zone, numberOrDash(ev.Workers), numberOrDash(ev.Tasks))
	}
	return tw.Flush()
}

func numberOrDash(num *int) string {
	if num == nil {
		return orDash("")
	}
	return strconv.Itoa(*num)
}

// writeDomain writes the status of a host of a scheduling domain.
func writeDomain(out io.Writer, st client.Status) error {
	_, err := fmt.Fprintf(out, "host %s, scheduler %s, store %s\n", st.Host, orDash(st.Domain.Scheduler), choose(st.StoreUp, "up", "down"))
	if err != nil || !st.StoreUp {
		return err
	}
	return writeEvacuations(out, client.EvacuationList{Evacuations: st.Domain.Evacuations})
}
