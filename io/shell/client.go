package shell

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"lentilproxy/io/admin"
	"lentilproxy/io/node"
)

const callTimeout = 40 * time.Second

// call sends a request to the operators' API. Status 400 is an error; a response with any other status is decoded into
// result.
func (globals *globals) call(method, path string, input, result any) error {
	body, err := json.Marshal(input)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(method, "http://"+globals.Address+path, bytes.NewReader(body))
	if err != nil {
		return fail(ExitUsage, "%v", err)
	}
	request.Header.Set("Content-Type", "application/json")
	return globals.send(request, result)
}

// send sends a request and decodes the response into result.
func (globals *globals) send(request *http.Request, result any) error {
	client := &http.Client{Timeout: callTimeout}
	response, err := client.Do(request)
	if err != nil {
		return fail(ExitFailed, "%s: %v", globals.Address, err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return fail(ExitFailed, "%v", err)
	}
	if response.StatusCode == http.StatusBadRequest {
		return fail(ExitUsage, "%s", bytes.TrimSpace(content))
	}
	if err = json.Unmarshal(content, result); err != nil {
		return fail(ExitFailed, "%s answered %s: %s", globals.Address, response.Status, bytes.TrimSpace(content))
	}
	return nil
}

func (globals *globals) json() bool { return globals.Output == "json" }

func (globals *globals) printJSON(item any) error {
	encoder := json.NewEncoder(globals.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(item)
}

func (globals *globals) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(globals.out, format, args...)
}

// table prints a title line and rows in aligned columns.
func (globals *globals) table(title string, rows []string) error {
	writer := tabwriter.NewWriter(globals.out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(writer, title)
	for _, row := range rows {
		_, _ = fmt.Fprintln(writer, row)
	}
	return writer.Flush()
}

// printResult prints the outcome of a change and returns an error that holds its exit code.
func (globals *globals) printResult(result admin.ApplyResult) error {
	if globals.json() {
		if err := globals.printJSON(result); err != nil {
			return err
		}
		return resultError(result, "")
	}
	switch {
	case result.Outcome == node.Committed && result.InForce.Status:
		globals.printf("revision %d: accepted, in force on all hosts\n", result.Revision)
	case result.Outcome == node.Committed && result.Accepted.Status:
		globals.printf("revision %d: accepted, not yet in force on %v\n", result.Revision, result.InForce.Missing)
	case result.Outcome == node.Committed:
		globals.printf("revision %d: committed, not yet accepted; missing %v\n", result.Revision, result.InForce.Missing)
	}
	return resultError(result, formatFaults(result.Faults))
}

func formatFaults(faults []admin.Fault) string {
	message := ""
	for _, fault := range faults {
		if message != "" {
			message += "\n"
		}
		message += fmt.Sprintf("%s/%s: %s", fault.Kind, fault.Name, fault.Message)
	}
	return message
}

func resultError(result admin.ApplyResult, message string) error {
	switch {
	case result.Outcome == node.Committed && result.InForce.Status:
		return nil
	case result.Outcome == node.Committed:
		return fail(ExitPending, "")
	case result.Outcome == node.Rejected:
		return fail(ExitConflict, "%s", message)
	case result.Outcome == node.CommitUnknown:
		return fail(ExitUnknown, "it is unknown whether the change took effect")
	default:
		return fail(ExitFailed, "the change did not take effect: the table service is unavailable, or other changes were committed first")
	}
}
