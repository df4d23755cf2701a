package conf

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"lentilproxy/core/decl"
)

// Defaults of omitted fields.
const (
	DefaultWeight      = 1
	DefaultTimeout     = 60 * time.Second
	DefaultMaxInFlight = 64
	DefaultPool        = "main"
)

// ParseResources reads resources from declarations.
func ParseResources(file *decl.File) ([]Resource, []decl.Fault) {
	var (
		resources []Resource
		faults    []decl.Fault
	)
	for _, section := range file.Sections() {
		resource, found := ParseSection(section)
		faults = append(faults, found...)
		if resource != nil {
			resources = append(resources, *resource)
		}
	}
	return resources, faults
}

// ParseSection reads the resource of one section. The resource is nil if the section's kind or name is invalid.
func ParseSection(section *decl.Section) (*Resource, []decl.Fault) {
	kind := Kind(section.Kind())
	if !slices.Contains(OperatorKinds, kind) {
		return nil, []decl.Fault{section.Fault("", fmt.Sprintf("unknown kind %q, use one of %s", kind, kindList()))}
	}
	if section.Name() == "" {
		return nil, []decl.Fault{section.Fault("", fmt.Sprintf("a name is missing, as in [%s \"name\"]", kind))}
	}
	resource := &Resource{Kind: kind, Name: section.Name()}
	return resource, section.Decode(resource.newSpec())
}

func kindList() string {
	names := make([]string, 0, len(OperatorKinds))
	for _, kind := range OperatorKinds {
		names = append(names, string(kind))
	}
	return strings.Join(names, ", ")
}

// newSpec sets the field of the resource's kind to its default value and returns a pointer to it.
func (resource *Resource) newSpec() any {
	switch resource.Kind {
	case KindWorkspace:
		resource.Workspace = &Workspace{Weight: DefaultWeight}
		return resource.Workspace
	case KindKey:
		resource.APIKey = &Key{}
		return resource.APIKey
	case KindAdapter:
		resource.Adapter = &Adapter{}
		return resource.Adapter
	case KindVersion:
		resource.Version = &Version{}
		return resource.Version
	case KindRoute:
		resource.Route = &Route{Timeout: DefaultTimeout}
		return resource.Route
	case KindBackendServer:
		resource.BackendServer = &BackendServer{MaxInFlight: DefaultMaxInFlight, Pool: DefaultPool}
		return resource.BackendServer
	case KindDataCentre:
		resource.DataCentre = &DataCentre{}
		return resource.DataCentre
	default:
		resource.Limit = &Limit{}
		return resource.Limit
	}
}
