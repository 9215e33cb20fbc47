package main

import (
	"bufio"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"sassafrastray/internal/operator/apikey"
)

type (
	// keyCmd creates keys and computes digests.
	keyCmd struct {
		New    keyNewCmd    `cmd:"" help:"Create a key and print it once."`
		Digest keyDigestCmd `cmd:"" help:"Print the digest of a key that is read from standard input."`
	}

	keyNewCmd struct {
		Team string `arg:"" help:"Team that the key is for."`
	}

	keyDigestCmd struct{}
)

// Help returns the long usage text.
func (keyNewCmd) Help() string {
	return `The key is printed once and stored nowhere: give it to the team. Only its
digest goes into fleet.yaml. To revoke a key, remove its digest and publish.`
}

// Run creates a key.
func (c *keyNewCmd) Run(std *streams) error {
	if strings.TrimSpace(c.Team) == "" {
		return errors.New("the team's name is empty")
	}
	k := apikey.New()
	fmt.Fprintf(std.out, "key: %s\n", k)
	fmt.Fprintf(std.out, "# for fleet.yaml, under teams, name: %s, keys:\n", c.Team)
	fmt.Fprintf(std.out, "- %q\n", apikey.Digest(k))
	return nil
}

// Help returns the long usage text.
func (keyDigestCmd) Help() string {
	return `The key is read from standard input, so that it does not appear in the list of
processes or in the shell's history.`
}

// Run prints a digest.
func (keyDigestCmd) Run(std *streams) error {
	line, err := bufio.NewReader(std.in).ReadString('\n')
	k := strings.TrimSpace(line)
	if k == "" {
		return errors.Newf("no key on standard input: %v", err)
	}
	fmt.Fprintln(std.out, apikey.Digest(k))
	return nil
}
