package shell

import (
	"fmt"
	"net/http"
	"time"

	"lentilproxy/io/admin"
	"lentilproxy/io/node"

	"github.com/google/uuid"
)

type watchCommand struct {
	Count int `long:"count" description:"exit after this many revisions; 0 for never" default:"0"`

	globals *globals
}

// Execute implements flags.Commander.
func (command *watchCommand) Execute([]string) error {
	var after int64
	for seen := 0; command.Count == 0 || seen < command.Count; {
		var result admin.ApplyResult
		if err := command.globals.call(http.MethodGet, fmt.Sprintf("/v1/watch?after=%d", after), nil, &result); err != nil {
			return err
		}
		if result.Revision <= after {
			continue
		}
		if !result.InForce.Status {
			// The revision is printed again once it is in force.
			command.globals.printf("%s revision %d not yet in force on %v\n", time.Now().Format(time.RFC3339), result.Revision, result.InForce.Missing)
			time.Sleep(time.Second)
			continue
		}
		after = result.Revision
		seen++
		command.globals.printf("%s revision %d in force on all hosts\n", time.Now().Format(time.RFC3339), result.Revision)
	}
	return nil
}

type grantCommand struct {
	Args struct {
		Workspace string `positional-arg-name:"WORKSPACE" required:"true"`
	} `positional-args:"true"`

	globals *globals
}

// Execute implements flags.Commander.
func (command *grantCommand) Execute([]string) error {
	var result admin.GrantResult
	request := admin.GrantRequest{Token: uuid.NewString(), Workspace: command.Args.Workspace}
	if err := command.globals.call(http.MethodPost, "/v1/keys/grant", request, &result); err != nil {
		return err
	}
	if command.globals.json() {
		if err := command.globals.printJSON(result); err != nil {
			return err
		}
		return resultError(result.ApplyResult, formatFaults(result.Faults))
	}
	if result.Key != "" {
		command.globals.printf("key %s\n%s\n", result.Name, result.Key)
	}
	return command.globals.printResult(result.ApplyResult)
}

type withdrawCommand struct {
	Args struct {
		Name string `positional-arg-name:"NAME" required:"true"`
	} `positional-args:"true"`

	globals *globals
}

// Execute implements flags.Commander.
func (command *withdrawCommand) Execute([]string) error {
	return command.globals.change("/v1/keys/withdraw", admin.NamedRequest{Token: uuid.NewString(), Name: command.Args.Name})
}

type drainCommand struct {
	Args struct {
		Name string `positional-arg-name:"NAME" required:"true"`
	} `positional-args:"true"`
	DataCentre bool `long:"data-centre" description:"NAME is a data centre, all of whose servers are drained"`
	Undo       bool `long:"undo" description:"take the server or data centre back into service"`

	globals *globals
}

// Execute implements flags.Commander.
func (command *drainCommand) Execute([]string) error {
	return command.globals.change("/v1/drain", admin.NamedRequest{Token: uuid.NewString(), Name: command.Args.Name, DataCentre: command.DataCentre, Undo: command.Undo})
}

func (globals *globals) change(path string, request admin.NamedRequest) error {
	var result admin.ApplyResult
	if err := globals.call(http.MethodPost, path, request, &result); err != nil {
		return err
	}
	return globals.printResult(result)
}

type statusCommand struct {
	globals *globals
}

// Execute implements flags.Commander.
func (command *statusCommand) Execute([]string) error {
	var status node.Status
	if err := command.globals.call(http.MethodGet, "/v1/status", nil, &status); err != nil {
		return err
	}
	if command.globals.json() {
		return command.globals.printJSON(status)
	}
	command.globals.printf("host %s (start %d), revision %d, fresh %v, proof %d ms old, roster settled %v\n\n",
		status.Host, status.Incarnation, status.Revision, status.Fresh, status.ProofAgeMS, status.RosterSettled)
	var rows []string
	for _, host := range status.Hosts {
		rows = append(rows, row(host.Name, host.DataCentre, host.Acknowledged, host.SilentMS, host.Leaving, host.Terminated))
	}
	if err := command.globals.table("HOST\tDATA CENTRE\tHOLDS REVISION\tSILENT MS\tLEAVING\tGONE", rows); err != nil {
		return err
	}
	rows = nil
	for _, pool := range status.Pools {
		rows = append(rows, row(pool.Name, orNone(pool.Owner), pool.Epoch, pool.Active, pool.Instances, pool.Waiting, pool.Loads))
	}
	command.globals.printf("\n")
	if err := command.globals.table("POOL\tOWNER\tEPOCH\tACTIVE HERE\tINSTANCES\tWAITING\tLOADS", rows); err != nil {
		return err
	}
	rows = nil
	for _, limit := range status.Limits {
		rows = append(rows, row(limit.Workspace, fmt.Sprintf("%.1f", limit.Level)))
	}
	command.globals.printf("\n")
	return command.globals.table("WORKSPACE\tTOKENS HERE", rows)
}

type burnCommand struct {
	HTML string `long:"html" value-name:"FILE" description:"write the report as an HTML page"`

	globals *globals
}

type completeCommand struct {
	globals *globals
}

// Execute implements flags.Commander.
func (command *completeCommand) Execute([]string) error {
	command.globals.printf("%s", bashCompletion)
	return nil
}

const bashCompletion = `_lentilctl() {
  local args=("${COMP_WORDS[@]:1:$COMP_CWORD}")
  local IFS=$'\n'
  COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${args[@]}"))
}
complete -F _lentilctl lentilctl
`
