package front

import (
	"bytes"
	"errors"
	"strings"

	"golang.org/x/net/http/httpguts"
)

var (
	errMalformed = errors.New("the head of the request is malformed")
	errTooLarge  = errors.New("the head of the request is too large")
	headEnd      = []byte("\r\n\r\n")
	lineEnd      = []byte("\r\n")
)

// checkHead rejects heads that two parsers could interpret differently, which prevents request smuggling.
func checkHead(head []byte) error {
	lines := bytes.Split(bytes.TrimSuffix(head, headEnd), lineEnd)
	if bytes.ContainsAny(bytes.Join(lines, nil), "\r\n\x00") {
		return errMalformed
	}
	if err := checkRequestLine(string(lines[0])); err != nil {
		return err
	}
	framing := framing{}
	for _, line := range lines[1:] {
		name, content, found := strings.Cut(string(line), ":")
		if !found || !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(content) {
			return errMalformed
		}
		framing.add(strings.ToLower(name), strings.Trim(content, " \t"))
	}
	return framing.check()
}

// checkRequestLine accepts only requests for a path over HTTP/1.1.
func checkRequestLine(line string) error {
	method, rest, _ := strings.Cut(line, " ")
	target, protocol, _ := strings.Cut(rest, " ")
	if !httpguts.ValidHeaderFieldName(method) || !strings.HasPrefix(target, "/") || protocol != "HTTP/1.1" {
		return errMalformed
	}
	return nil
}

// framing collects the headers that determine where the body ends, and the number of Host headers.
type framing struct {
	hosts   int
	lengths int
	length  string
	codings int
	coding  string
}

func (framing *framing) add(name, content string) {
	switch name {
	case "host":
		framing.hosts++
	case "content-length":
		framing.lengths++
		framing.length = content
	case "transfer-encoding":
		framing.codings++
		framing.coding = content
	}
}

func (framing *framing) check() error {
	switch {
	case framing.hosts != 1, framing.lengths+framing.codings > 1:
		return errMalformed
	case framing.codings == 1 && !strings.EqualFold(framing.coding, "chunked"):
		return errMalformed
	case framing.lengths == 1 && strings.Trim(framing.length, "0123456789") != "":
		return errMalformed
	case framing.lengths == 1 && framing.length == "":
		return errMalformed
	}
	return nil
}
