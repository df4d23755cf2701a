package shell

import (
	"cmp"
	"fmt"
	"net/http"
	"time"

	"lentilproxy/io/gate"
)

type explainCommand struct {
	Workspace string   `short:"w" long:"workspace" value-name:"NAME" description:"workspace of the caller; none for a caller without a key"`
	Method    string   `short:"X" long:"method" default:"POST" description:"method of the request"`
	Data      string   `short:"d" long:"data" value-name:"BODY" description:"body of the request; it counts for the choice"`
	Host      string   `long:"host" value-name:"NAME" description:"callers' host name on the operators' platform; the address is then a daemon's metrics address"`
	Headers   []string `short:"H" long:"header" value-name:"NAME: VALUE" description:"header of the request; with --host only"`
	Args      struct {
		Path string `positional-arg-name:"PATH" required:"true"`
	} `positional-args:"true"`

	globals *globals
}

// Execute implements flags.Commander.
func (command *explainCommand) Execute([]string) error {
	if command.Host != "" {
		return command.explainHosted()
	}
	var explanation gate.Explanation
	question := gate.Question{Method: command.Method, Path: command.Args.Path, Body: command.Data, Workspace: command.Workspace}
	if err := command.globals.call(http.MethodPost, "/v1/explain", question, &explanation); err != nil {
		return err
	}
	if explanation.Host == "" {
		return fail(ExitFailed, "%s does not explain choices", command.globals.Address)
	}
	if err := command.print(explanation); err != nil {
		return err
	}
	if explanation.Refusal != nil {
		return fail(ExitConflict, "")
	}
	return nil
}

func (command *explainCommand) print(explanation gate.Explanation) error {
	globals := command.globals
	if globals.json() {
		return globals.printJSON(explanation)
	}
	globals.printf("host %s, revision %d, fresh %v, proof %d ms old\n", explanation.Host, explanation.Revision, explanation.Fresh, explanation.ProofAgeMS)
	globals.printf("route %s, model %s, workspace %s, crash suspicion: %s\n", orNone(explanation.Route), orNone(explanation.Model),
		orNone(explanation.Workspace), cmp.Or(explanation.CrashVerdict, "not reached"))
	if limit := explanation.Limit; limit != nil {
		globals.printf("limit: %.0f tokens here, %.0f a second, the request costs %.0f\n", limit.Tokens, limit.Rate, limit.Cost)
	}
	switch {
	case explanation.Refusal != nil:
		refusal := explanation.Refusal
		globals.printf("refused: %d %s, %s; retry after %s\n", refusal.Status, refusal.Code, refusal.Message, time.Duration(refusal.RetryAfterMS)*time.Millisecond)
	case explanation.Chosen != "":
		globals.printf("sent to: %s\n", explanation.Chosen)
	default:
		globals.printf("waits; owner of the pool: %s\n", orNone(explanation.Owner))
	}
	if explanation.Note != "" {
		globals.printf("note: %s\n", explanation.Note)
	}
	var rows []string
	for _, candidate := range explanation.Servers {
		loaded := "-"
		if candidate.Loaded != nil {
			loaded = fmt.Sprint(*candidate.Loaded)
		}
		rows = append(rows, row(candidate.Server, candidate.DataCentre, candidate.Usable, loaded, candidate.Load, candidate.InFlight, orNone(candidate.Reason)))
	}
	globals.printf("\n")
	return globals.table("SERVER\tDATA CENTRE\tUSABLE\tADAPTER\tLOAD\tIN FLIGHT\tREASON", rows)
}
