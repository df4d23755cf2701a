package shell

import (
	"encoding/json"
	"net/http"
	"net/url"
	"os"
	"strings"

	"lentilproxy/core/conf"
	"lentilproxy/core/decl"
	"lentilproxy/io/admin"

	"github.com/google/uuid"
)

type applyCommand struct {
	Files  []string `short:"f" long:"file" value-name:"FILE" required:"true" description:"file of resources (INI); may be repeated"`
	DryRun bool     `long:"dry-run" description:"show what would change, and change nothing"`

	globals *globals
}

// declaredResource is a resource together with the section of the file that declares it.
type declaredResource struct {
	resource conf.Resource
	section  *decl.Section
}

// Execute implements flags.Commander.
func (command *applyCommand) Execute([]string) error {
	resources, err := command.read()
	if err != nil {
		return err
	}
	resources, err = command.diff(resources)
	if err != nil {
		return err
	}
	if len(resources) == 0 {
		command.globals.printf("nothing to change\n")
		return nil
	}
	for len(resources) > 0 {
		batch := resources[:batchSize(resources)]
		if err = command.send(batch); err != nil {
			return err
		}
		resources = resources[len(batch):]
	}
	return nil
}

func (command *applyCommand) read() ([]declaredResource, error) {
	var (
		found  []declaredResource
		faults []string
	)
	for _, path := range command.Files {
		content, err := os.ReadFile(path)
		if err != nil {
			return nil, fail(ExitUsage, "%v", err)
		}
		file, parseFaults := decl.Parse(path, content)
		for _, fault := range parseFaults {
			faults = append(faults, fault.String())
		}
		if file == nil {
			continue
		}
		for _, section := range file.Sections() {
			resource, parseFaults := conf.ParseSection(section)
			for _, fault := range parseFaults {
				faults = append(faults, fault.String())
			}
			if resource != nil {
				found = append(found, declaredResource{resource: *resource, section: section})
			}
		}
	}
	if len(faults) > 0 {
		return nil, fail(ExitUsage, "%s", strings.Join(faults, "\n"))
	}
	return found, nil
}

// diff prints and returns the resources that differ from the current configuration.
func (command *applyCommand) diff(resources []declaredResource) ([]declaredResource, error) {
	present := map[string]conf.Resource{}
	for _, kind := range conf.OperatorKinds {
		var listing admin.Listing
		if err := command.globals.call(http.MethodGet, "/v1/resources/"+string(kind), nil, &listing); err != nil {
			return nil, err
		}
		for _, resource := range listing.Resources {
			present[resource.Ref().String()] = resource
		}
	}
	var changed []declaredResource
	for _, declared := range resources {
		old, found := present[declared.resource.Ref().String()]
		declared.resource.Generation, declared.resource.Revision = old.Generation, old.Revision
		if found && encode(old) == encode(declared.resource) {
			continue
		}
		changed = append(changed, declared)
		command.printDiff(old, declared.resource, found)
	}
	return changed, nil
}

func encode(resource conf.Resource) string {
	content, err := json.Marshal(resource)
	if err != nil {
		return ""
	}
	return string(content)
}

func (command *applyCommand) printDiff(old, next conf.Resource, found bool) {
	if command.globals.json() {
		return
	}
	if !found {
		command.globals.printf("+ %s\n", next.Ref())
		return
	}
	command.globals.printf("~ %s\n", next.Ref())
	before, after := specFields(old), specFields(next)
	for _, name := range sortedKeys(before, after) {
		if before[name] != after[name] {
			command.globals.printf("    %s: %s -> %s\n", name, orNone(before[name]), orNone(after[name]))
		}
	}
}

// batchSize returns the number of resources in the next request. An adapter and its versions stay in the same request,
// since they refer to each other.
func batchSize(resources []declaredResource) int {
	if len(resources) <= admin.MaxApplyResources {
		return len(resources)
	}
	size := admin.MaxApplyResources
	for size > 1 && adapterOf(resources[size].resource.Name) == adapterOf(resources[size-1].resource.Name) {
		size--
	}
	return size
}

func adapterOf(name string) string {
	adapter, _, _ := strings.Cut(name, "@")
	return adapter
}

func (command *applyCommand) send(batch []declaredResource) error {
	request := admin.ApplyRequest{Token: uuid.NewString(), DryRun: command.DryRun, Generations: map[string]int64{}}
	sections := map[string]*decl.Section{}
	for _, declared := range batch {
		ref := declared.resource.Ref().String()
		request.Generations[ref] = declared.resource.Generation
		declared.resource.Generation, declared.resource.Revision = 0, 0
		request.Resources = append(request.Resources, declared.resource)
		sections[ref] = declared.section
	}
	var result admin.ApplyResult
	if err := command.globals.call(http.MethodPost, "/v1/apply", request, &result); err != nil {
		return err
	}
	if len(result.Faults) > 0 {
		return faultsError(result.Faults, sections)
	}
	if command.DryRun {
		command.globals.printf("dry run: nothing was changed\n")
		return nil
	}
	return command.globals.printResult(result)
}

// faultsError returns an error that lists the faults, with file and line where they are known.
func faultsError(faults []admin.Fault, sections map[string]*decl.Section) error {
	var lines []string
	for _, fault := range faults {
		section := sections[conf.Ref{Kind: fault.Kind, Name: fault.Name}.String()]
		if section == nil {
			lines = append(lines, string(fault.Kind)+"/"+fault.Name+": "+fault.Message)
			continue
		}
		lines = append(lines, section.Fault(fault.Field, fault.Message).String())
	}
	return fail(ExitConflict, "%s", strings.Join(lines, "\n"))
}

type getCommand struct {
	Args struct {
		Kind string `positional-arg-name:"KIND" required:"true"`
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"true"`

	globals *globals
}

// Execute implements flags.Commander.
func (command *getCommand) Execute([]string) error {
	listing, err := command.globals.list(command.Args.Kind, command.Args.Name)
	if err != nil {
		return err
	}
	if command.globals.json() {
		return command.globals.printJSON(listing)
	}
	rows := make([]string, 0, len(listing.Resources))
	for _, resource := range listing.Resources {
		fields := specFields(resource)
		var parts []string
		for _, name := range sortedKeys(fields) {
			parts = append(parts, name+"="+fields[name])
		}
		inForce := listing.InForce.Status || resource.Revision < listing.Revision
		rows = append(rows, row(resource.Name, resource.Generation, resource.Revision, inForce, strings.Join(parts, " ")))
	}
	return command.globals.table("NAME\tGENERATION\tREVISION\tIN FORCE\tFIELDS", rows)
}

func (globals *globals) list(kind, name string) (admin.Listing, error) {
	var listing admin.Listing
	known := false
	for _, candidate := range conf.OperatorKinds {
		known = known || string(candidate) == kind
	}
	if !known {
		return listing, fail(ExitUsage, "unknown kind %q, use one of %v", kind, conf.OperatorKinds)
	}
	err := globals.call(http.MethodGet, "/v1/resources/"+kind+"?name="+url.QueryEscape(name), nil, &listing)
	return listing, err
}

type describeCommand struct {
	Args struct {
		Kind string `positional-arg-name:"KIND" required:"true"`
		Name string `positional-arg-name:"NAME" required:"true"`
	} `positional-args:"true"`

	globals *globals
}

// Execute implements flags.Commander.
func (command *describeCommand) Execute([]string) error {
	listing, err := command.globals.list(command.Args.Kind, command.Args.Name)
	if err != nil {
		return err
	}
	if len(listing.Resources) == 0 {
		return fail(ExitFailed, "%s/%s does not exist", command.Args.Kind, command.Args.Name)
	}
	return command.globals.printJSON(listing.Resources[0])
}

type deleteCommand struct {
	Args struct {
		Kind string `positional-arg-name:"KIND" required:"true"`
		Name string `positional-arg-name:"NAME" required:"true"`
	} `positional-args:"true"`
	With []string `long:"with" value-name:"KIND/NAME" description:"remove another resource in the same change; may be repeated"`

	globals *globals
}

// Execute implements flags.Commander.
func (command *deleteCommand) Execute([]string) error {
	request := admin.ApplyRequest{Token: uuid.NewString(), Generations: map[string]int64{}}
	for _, ref := range append([]string{command.Args.Kind + "/" + command.Args.Name}, command.With...) {
		kind, name, _ := strings.Cut(ref, "/")
		listing, err := command.globals.list(kind, name)
		if err != nil {
			return err
		}
		if len(listing.Resources) == 0 {
			return fail(ExitConflict, "%s does not exist", ref)
		}
		request.Deletes = append(request.Deletes, conf.Ref{Kind: conf.Kind(kind), Name: name})
		request.Generations[ref] = listing.Resources[0].Generation
	}
	var result admin.ApplyResult
	if err := command.globals.call(http.MethodPost, "/v1/apply", request, &result); err != nil {
		return err
	}
	return command.globals.printResult(result)
}
