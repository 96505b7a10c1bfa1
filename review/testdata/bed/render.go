package bed

import (
	"regexp"
	"strings"
)

var (
	seedSection = regexp.MustCompile(`\{\{#seed_nodes\}\}(.*?)\{\{/seed_nodes\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// render fills in a settings template as the platform does, as far as the templates of the deploy file need it.
func render(text string, fields map[string]any) string {
	text = seedSection.ReplaceAllStringFunc(text, func(section string) string {
		body := seedSection.FindStringSubmatch(section)[1]
		seeds, _ := fields["seed_nodes"].([]string)
		var all strings.Builder
		for i, seed := range seeds {
			comma := ","
			if i == len(seeds)-1 {
				comma = ""
			}
			all.WriteString(strings.NewReplacer("{{.}}", seed, "{{,}}", comma).Replace(body))
		}
		return all.String()
	})
	return placeholder.ReplaceAllStringFunc(text, func(p string) string {
		value, _ := fields[placeholder.FindStringSubmatch(p)[1]].(string)
		return value
	})
}
