package main

import (
	"fmt"
	"log"
	"strings"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	policyNames := []string{}
	caseFilter := kingpin.Flag("case", "Run only the cases whose name contains this text.").String()
	kingpin.Flag("policy", "Run only this policy; may be repeated.").StringsVar(&policyNames)
	kingpin.Parse()
	if err := run(*caseFilter, policyNames); err != nil {
		log.Fatal(err)
	}
}

// run measures each selected case under each selected policy and prints a row of the table for each.
func run(caseFilter string, policyNames []string) error {
	fmt.Println(tableHeader)
	peakGoodput := map[string]float64{}
	for _, c := range cases() {
		if !strings.Contains(c.name, caseFilter) {
			continue
		}
		for _, p := range policies() {
			if len(policyNames) > 0 && !contains(policyNames, p.name) {
				continue
			}
			r, err := measure(c, p)
			if err != nil {
				return err
			}
			peakGoodput[p.name] = max(peakGoodput[p.name], r.goodput())
			fmt.Println(r.tableRow(peakGoodput[p.name]))
		}
	}
	return nil
}

func contains(all []string, s string) bool {
	for _, x := range all {
		if x == s {
			return true
		}
	}
	return false
}
