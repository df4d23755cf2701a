// Package decl parses INI declarations strictly: it reports every unknown, duplicate or malformed entry as a fault with
// its file and line.
package decl

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

const (
	tagName = "ini"
)

// optionalSuffix marks keys in tags whose empty values count as not set: a template that lacks a value leaves them empty.
const optionalSuffix = ",optional"

// Fault is one error in a declaration.
type Fault struct {
	file    string
	line    int
	subject string
	message string
}

// NewFault returns a fault of a subject, such as a section or a resource.
func NewFault(file string, line int, subject, message string) Fault {
	return Fault{file: file, line: line, subject: subject, message: message}
}

// Line returns the line number of the fault, starting at 1, or 0 if the fault concerns the whole file.
func (fault Fault) Line() int { return fault.line }

// Message returns the description of the fault.
func (fault Fault) Message() string { return fault.message }

// String formats the fault as file:line: subject: message.
func (fault Fault) String() string {
	if fault.subject == "" {
		return fmt.Sprintf("%s:%d: %s", fault.file, fault.line, fault.message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", fault.file, fault.line, fault.subject, fault.message)
}

// File is a parsed file of declarations.
type File struct {
	name     string
	sections []*Section
}

// Sections returns the sections in the order in which they appear in the file.
func (file *File) Sections() []*Section { return file.sections }

// Name returns the file name that was passed to Parse.
func (file *File) Name() string { return file.name }

// Section is one section, such as [adapter "shop/ribs"].
type Section struct {
	file  string
	kind  string
	name  string
	line  int
	lines map[string]int
	body  *ini.Section
}

// Kind returns the first word of the section's header.
func (section *Section) Kind() string { return section.kind }

// Name returns the quoted part of the section's header, or "".
func (section *Section) Name() string { return section.name }

// Line returns the line number of the section's header.
func (section *Section) Line() int { return section.line }

// Fault returns a fault at the line of a key of the section, or at the section's header if the key is absent.
func (section *Section) Fault(key, message string) Fault {
	line, found := section.lines[key]
	if !found {
		line = section.line
	}
	subject := section.kind
	if section.name != "" {
		subject += " " + section.name
	}
	return Fault{file: section.file, line: line, subject: subject, message: message}
}

// Parse parses the content of a file of declarations. The returned file is nil if the INI library rejects the content.
func Parse(name string, content []byte) (*File, []Fault) {
	body, err := ini.LoadSources(ini.LoadOptions{SkipUnrecognizableLines: true, IgnoreInlineComment: true}, content)
	if err != nil {
		return nil, []Fault{{file: name, message: err.Error()}}
	}
	scanner := newScanner(name)
	scanner.scan(string(content))
	file := &File{name: name}
	for _, section := range scanner.sections {
		section.body = body.Section(section.header())
		file.sections = append(file.sections, section)
	}
	return file, scanner.faults
}

func (section *Section) header() string {
	if section.name == "" {
		return section.kind
	}
	return fmt.Sprintf("%s %q", section.kind, section.name)
}

// Decode stores the values of the section in the fields of the target struct whose ini tags match the keys. It returns
// a fault for each malformed value and each unknown key. If the tag ends in ",optional", an empty value counts as not set.
func (section *Section) Decode(target any) []Fault {
	var faults []Fault
	fields := reflect.ValueOf(target).Elem()
	known := map[string]bool{}
	for index := range fields.NumField() {
		tag, optional := strings.CutSuffix(fields.Type().Field(index).Tag.Get(tagName), optionalSuffix)
		if tag == "" {
			continue
		}
		known[tag] = true
		if !section.body.HasKey(tag) || optional && section.body.Key(tag).String() == "" {
			continue
		}
		if err := setField(fields.Field(index), section.body.Key(tag)); err != nil {
			faults = append(faults, section.Fault(tag, fmt.Sprintf("%s: %v", tag, err)))
		}
	}
	for _, key := range section.body.Keys() {
		if !known[key.Name()] {
			faults = append(faults, section.Fault(key.Name(), fmt.Sprintf("unknown key %q", key.Name())))
		}
	}
	return faults
}

func setField(field reflect.Value, key *ini.Key) error {
	switch field.Interface().(type) {
	case time.Duration:
		duration, err := time.ParseDuration(key.String())
		if err != nil || duration < 0 {
			return fmt.Errorf("%q is not a duration such as 250ms or 24h", key.String())
		}
		field.SetInt(int64(duration))
		return nil
	case []string:
		field.Set(reflect.ValueOf(key.Strings(",")))
		return nil
	}
	return setScalar(field, key)
}

func setScalar(field reflect.Value, key *ini.Key) error {
	switch field.Kind() {
	case reflect.String:
		field.SetString(key.String())
	case reflect.Bool:
		flag, err := key.Bool()
		if err != nil {
			return fmt.Errorf("%q is neither true nor false", key.String())
		}
		field.SetBool(flag)
	case reflect.Int, reflect.Int64:
		number, err := key.Int64()
		if err != nil {
			return fmt.Errorf("%q is not a whole number", key.String())
		}
		field.SetInt(number)
	case reflect.Float64:
		number, err := key.Float64()
		if err != nil {
			return fmt.Errorf("%q is not a number", key.String())
		}
		field.SetFloat(number)
	default:
		return fmt.Errorf("fields of type %s are not supported", field.Type())
	}
	return nil
}

// scanner finds the line numbers of section headers and keys, which the INI library does not report.
type scanner struct {
	file        string
	sections    []*Section
	headerLines map[string]int
	current     *Section
	faults      []Fault
}

func newScanner(file string) *scanner {
	return &scanner{file: file, headerLines: map[string]int{}}
}

func (scanner *scanner) scan(content string) {
	for index, text := range strings.Split(content, "\n") {
		text = strings.TrimSpace(text)
		switch {
		case text == "" || text[0] == ';' || text[0] == '#':
		case text[0] == '[':
			scanner.addSection(index+1, text)
		default:
			scanner.addKey(index+1, text)
		}
	}
}

func (scanner *scanner) addSection(line int, text string) {
	kind, name, _ := strings.Cut(strings.TrimSuffix(text[1:], "]"), " ")
	section := &Section{file: scanner.file, kind: kind, name: strings.Trim(strings.TrimSpace(name), `"`), line: line, lines: map[string]int{}}
	scanner.current = section
	if first, found := scanner.headerLines[section.header()]; found {
		scanner.faults = append(scanner.faults, section.Fault("", fmt.Sprintf("declared twice, first in line %d", first)))
		return
	}
	scanner.headerLines[section.header()] = line
	scanner.sections = append(scanner.sections, section)
}

func (scanner *scanner) addKey(line int, text string) {
	name, _, found := strings.Cut(text, "=")
	name = strings.TrimSpace(name)
	switch {
	case scanner.current == nil:
		scanner.faults = append(scanner.faults, Fault{file: scanner.file, line: line, message: "key outside of any section"})
	case !found || name == "":
		scanner.faults = append(scanner.faults, Fault{file: scanner.file, line: line, subject: scanner.current.kind, message: fmt.Sprintf("%q is neither a section nor key = value", text)})
	default:
		if first, duplicate := scanner.current.lines[name]; duplicate {
			scanner.faults = append(scanner.faults, Fault{file: scanner.file, line: line, subject: scanner.current.kind, message: fmt.Sprintf("%s is set twice, first in line %d", name, first)})
		}
		scanner.current.lines[name] = line
	}
}
