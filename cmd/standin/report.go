package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"sassafrastray/internal/standin/report"
)

type reportCmd struct {
	Runs    []string `arg:"" help:"JSON reports of runs of one case." type:"existingfile"`
	Against []string `help:"JSON reports of other runs to compare with, such as direct ones." type:"existingfile"`
}

func (c *reportCmd) Run(std *streams) error {
	runs, err := readReports(c.Runs)
	if err != nil {
		return err
	}
	others, err := readReports(c.Against)
	if err != nil {
		return err
	}
	var text string
	if len(others) > 0 {
		text, err = report.Compare(runs, others)
	} else {
		text, err = report.Summarize(runs)
	}
	fmt.Fprint(std.out, text)
	return err
}

func readReports(files []string) ([]*report.Report, error) {
	var runs []*report.Report
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			return nil, errors.Wrap(err, "read report")
		}
		r, err := report.Parse(b)
		if err != nil {
			return nil, errors.Wrap(err, f)
		}
		runs = append(runs, r)
	}
	return runs, nil
}
