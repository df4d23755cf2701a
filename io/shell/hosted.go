package shell

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"lentilproxy/core/sched"
	"lentilproxy/io/serve"
)

// explainHosted asks a daemon on the operators' platform, which explains choices on its metrics address.
func (command *explainCommand) explainHosted() error {
	globals := command.globals
	query := url.Values{"host": {command.Host}, "target": {command.Args.Path}, "method": {command.Method}, "workspace": {command.Workspace}}
	request, err := http.NewRequest(http.MethodPost, "http://"+globals.Address+"/explain?"+query.Encode(), strings.NewReader(command.Data))
	if err != nil {
		return fail(ExitUsage, "%v", err)
	}
	for _, line := range command.Headers {
		name, content, found := strings.Cut(line, ":")
		if !found {
			return fail(ExitUsage, "the header %q is not of the form NAME: VALUE", line)
		}
		request.Header.Add(strings.TrimSpace(name), strings.TrimSpace(content))
	}
	var explanation serve.Explanation
	if err = globals.send(request, &explanation); err != nil {
		return err
	}
	if globals.json() {
		err = globals.printJSON(explanation)
	} else {
		err = globals.printHosted(explanation)
	}
	if err == nil && explanation.Refusal != nil {
		err = fail(ExitConflict, "")
	}
	return err
}

func (globals *globals) printHosted(explanation serve.Explanation) error {
	globals.printf("configuration %d, %d ms old, servers %d ms old\n", explanation.Config, explanation.OperatorsAgeMS, explanation.ServersAgeMS)
	globals.printf("route %s, adapter %s, workspace %s, learned costs: %v\n", orNone(explanation.Route), orNone(explanation.Adapter),
		orNone(explanation.Workspace), explanation.Learned)
	if refusal := explanation.Refusal; refusal != nil {
		globals.printf("refused: %d %s, %s; retry after %d ms\n", refusal.Status, refusal.Code, refusal.Message, refusal.RetryAfterMS)
	} else {
		globals.printf("sent to: %s, after a load: %v, expected after %d ms\n", orNone(explanation.Chosen), explanation.Load, explanation.ExpectedMS)
	}
	if explanation.Replicate != "" {
		globals.printf("replica loaded on: %s\n", explanation.Replicate)
	}
	if explanation.Note != "" {
		globals.printf("note: %s\n", explanation.Note)
	}
	var rows []string
	for _, server := range explanation.Servers {
		rows = append(rows, row(server.Server, server.DataCentre, server.ExpectedMS, server.Running, server.Loaded, loadOf(server), server.RecentCopy, orNone(server.Excluded)))
	}
	globals.printf("\n")
	return globals.table("SERVER\tDATA CENTRE\tEXPECTED MS\tRUNNING\tADAPTER\tLOAD MS\tRECENT COPY\tEXCLUDED", rows)
}

// loadOf returns the expected time to load the adapter on a server, if the server can be ordered to.
func loadOf(server sched.Explained) string {
	if server.LoadMS <= 0 {
		return "-"
	}
	return fmt.Sprint(server.LoadMS)
}
