// Package decl reads INI declarations strictly: every unknown, duplicate or malformed entry becomes a fault
// with its file and line.
package decl

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

const tagName = "ini"

// Fault is one mistake in a declaration.
type Fault struct {
	file    string
	line    int
	subject string
	message string
}

// NewFault returns a fault about a subject, such as a section or a resource.
func NewFault(file string, line int, subject, message string) Fault {
	return Fault{file: file, line: line, subject: subject, message: message}
}

// Line returns the line of the fault, counted from 1, or 0 if it concerns the whole file.
func (fault Fault) Line() int { return fault.line }

// Message returns what is wrong.
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

// Sections returns the sections in the order of the file.
func (file *File) Sections() []*Section { return file.sections }

// Name returns the name the file was parsed under.
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

// Kind returns the first word of the section's title.
func (section *Section) Kind() string { return section.kind }

// Name returns the quoted part of the section's title, or "".
func (section *Section) Name() string { return section.name }

// Line returns the line of the section's title.
func (section *Section) Line() int { return section.line }

// Fault returns a fault at a key of the section, or at its title if the key is absent.
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

// Parse reads declarations from the content of a file.
func Parse(name string, content []byte) (*File, []Fault) {
	body, err := ini.LoadSources(ini.LoadOptions{SkipUnrecognizableLines: true, IgnoreInlineComment: true}, content)
	if err != nil {
		return nil, []Fault{{file: name, message: err.Error()}}
	}
	scan := newScan(name)
	scan.run(string(content))
	file := &File{name: name}
	for _, section := range scan.sections {
		section.body = body.Section(section.title())
		file.sections = append(file.sections, section)
	}
	return file, scan.faults
}

func (section *Section) title() string {
	if section.name == "" {
		return section.kind
	}
	return fmt.Sprintf("%s %q", section.kind, section.name)
}

// Decode stores the keys of the section in the fields of a struct that have an ini tag.
func (section *Section) Decode(target any) []Fault {
	var faults []Fault
	fields := reflect.ValueOf(target).Elem()
	known := map[string]bool{}
	for index := range fields.NumField() {
		tag := fields.Type().Field(index).Tag.Get(tagName)
		if tag == "" {
			continue
		}
		known[tag] = true
		if !section.body.HasKey(tag) {
			continue
		}
		if err := store(fields.Field(index), section.body.Key(tag)); err != nil {
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

func store(field reflect.Value, key *ini.Key) error {
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
	return storeScalar(field, key)
}

func storeScalar(field reflect.Value, key *ini.Key) error {
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

// scan finds the lines of titles and keys, which the INI library does not report.
type scan struct {
	file     string
	sections []*Section
	titles   map[string]int
	current  *Section
	faults   []Fault
}

func newScan(file string) *scan {
	return &scan{file: file, titles: map[string]int{}}
}

func (scan *scan) run(content string) {
	for index, text := range strings.Split(content, "\n") {
		text = strings.TrimSpace(text)
		switch {
		case text == "" || text[0] == ';' || text[0] == '#':
		case text[0] == '[':
			scan.title(index+1, text)
		default:
			scan.key(index+1, text)
		}
	}
}

func (scan *scan) title(line int, text string) {
	kind, name, _ := strings.Cut(strings.TrimSuffix(text[1:], "]"), " ")
	section := &Section{file: scan.file, kind: kind, name: strings.Trim(strings.TrimSpace(name), `"`), line: line, lines: map[string]int{}}
	scan.current = section
	if first, found := scan.titles[section.title()]; found {
		scan.faults = append(scan.faults, section.Fault("", fmt.Sprintf("declared twice, first in line %d", first)))
		return
	}
	scan.titles[section.title()] = line
	scan.sections = append(scan.sections, section)
}

func (scan *scan) key(line int, text string) {
	name, _, found := strings.Cut(text, "=")
	name = strings.TrimSpace(name)
	switch {
	case scan.current == nil:
		scan.faults = append(scan.faults, Fault{file: scan.file, line: line, message: "a key must stand in a section"})
	case !found || name == "":
		scan.faults = append(scan.faults, Fault{file: scan.file, line: line, subject: scan.current.kind, message: fmt.Sprintf("%q is neither a section nor key = value", text)})
	default:
		if first, twice := scan.current.lines[name]; twice {
			scan.faults = append(scan.faults, Fault{file: scan.file, line: line, subject: scan.current.kind, message: fmt.Sprintf("%s is set twice, first in line %d", name, first)})
		}
		scan.current.lines[name] = line
	}
}
