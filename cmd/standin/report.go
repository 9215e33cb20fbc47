package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"sassafrastray/internal/standin/report"
)

type reportCmd struct {
	Runs []string `arg:"" help:"JSON reports of runs of one case." type:"existingfile"`
}

func (c *reportCmd) Run(std *streams) error {
	var runs []*report.Report
	for _, f := range c.Runs {
		b, err := os.ReadFile(f)
		if err != nil {
			return errors.Wrap(err, "read report")
		}
		r, err := report.Parse(b)
		if err != nil {
			return errors.Wrap(err, f)
		}
		runs = append(runs, r)
	}
	text, err := report.Spread(runs)
	fmt.Fprint(std.out, text)
	return err
}
