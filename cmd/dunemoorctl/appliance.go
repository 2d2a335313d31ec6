package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"dunemoor/internal/config"
	"dunemoor/internal/route"
)

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Args:  cobra.ExactArgs(1),
		Short: "Check an appliance's file, and print each error on a line with file, line and field",
		RunE: func(cmd *cobra.Command, args []string) error {
			a, err := loadAppliance(cmd, args[0])
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			if !a.Serves() {
				fmt.Fprintf(out, "%s: right: a relay of fleet %s, it serves no requests\n", args[0], a.Fleet.ID)
				return nil
			}
			fmt.Fprintf(out, "%s: right: %d listeners, %d classes, %d pools, %d routes\n",
				args[0], len(a.Listeners), len(a.Classes), len(a.Pools), len(a.Routes))
			return nil
		},
	}
}

// loadAppliance reads the configuration file of an appliance. It prints all errors in the file, and returns an error with
// their number.
func loadAppliance(cmd *cobra.Command, path string) (*config.Appliance, error) {
	a, errs := config.LoadAppliance(path)
	for _, err := range errs {
		fmt.Fprintln(cmd.ErrOrStderr(), err)
	}
	switch len(errs) {
	case 0:
		return a, nil
	case 1:
		return nil, fmt.Errorf("%s: 1 error", path)
	}
	return nil, fmt.Errorf("%s: %d errors", path, len(errs))
}

func routesCommand() *cobra.Command {
	var headers []string
	cmd := &cobra.Command{
		Use:   "routes FILE METHOD URL",
		Args:  cobra.ExactArgs(3),
		Short: "Show which route and pool a request matches, and why; exit code 1 if there is none",
		RunE: func(cmd *cobra.Command, args []string) error {
			a, err := loadAppliance(cmd, args[0])
			if err != nil {
				return err
			}
			u, err := url.Parse(args[2])
			isHTTP := err == nil && u.Host != "" && slices.Contains([]string{"http", "https"}, u.Scheme)
			if !isHTTP {
				return fmt.Errorf("%q is not a URL such as http://example.org/path", args[2])
			}
			header, err := parseHeaders(headers)
			if err != nil {
				return err
			}
			e := routeExplainer{appliance: a, header: header, out: cmd.OutOrStdout()}
			return e.explain(strings.ToUpper(args[1]), args[2], u.Host)
		},
	}
	cmd.Flags().StringArrayVarP(&headers, "header", "H", nil, "header of the request, as \"Name: value\"; may be repeated")
	return cmd
}

// parseHeaders parses the values of -H.
func parseHeaders(lines []string) (http.Header, error) {
	header := http.Header{}
	for _, line := range lines {
		name, value, ok := strings.Cut(line, ":")
		if !ok {
			return nil, fmt.Errorf("-H: %q does not have the form \"Name: value\"", line)
		}
		header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	return header, nil
}

// routeExplainer prints which route a request matches, and its pool.
type routeExplainer struct {
	appliance *config.Appliance
	header    http.Header
	out       io.Writer
}

func (e *routeExplainer) printf(format string, args ...any) { fmt.Fprintf(e.out, format, args...) }

// explain matches a request and prints its route. It returns an error if the gateway would reject the request because its
// target is invalid or no route matches.
func (e *routeExplainer) explain(method, target, hostHeader string) error {
	host, path, err := route.ParseTarget(target, hostHeader)
	if err != nil {
		return fmt.Errorf("rejected with status 400: %w", err)
	}
	matched := e.appliance.Table.Match(&route.Request{Host: host, Path: path, Method: method, Header: e.headerValue})
	e.printf("%s %s%s, as it is matched\n", method, host, path)
	if matched == nil {
		return errors.New("rejected with status 404: no route matches the request")
	}
	e.printf("route %q, line %d: %s\n", matched.Name, matched.Line, strings.Join(matchReasons(matched), ", "))
	e.explainClass(matched)
	e.explainPool(matched)
	e.explainFallbacks(matched)
	return nil
}

// headerValue returns the values of a header field, joined by commas, and whether the request has the field.
func (e *routeExplainer) headerValue(name string) (string, bool) {
	values := e.header.Values(name)
	return strings.Join(values, ", "), len(values) > 0
}

// matchReasons returns the conditions of a route, which the request meets.
func matchReasons(r *route.Route) []string {
	var reasons []string
	if len(r.Hosts) > 0 {
		reasons = append(reasons, "host "+strings.Join(r.Hosts, " or "))
	}
	reasons = append(reasons, "path "+r.Path)
	if len(r.Methods) > 0 {
		reasons = append(reasons, "method "+strings.Join(r.Methods, " or "))
	}
	for _, condition := range r.Headers {
		if condition.Value == "" {
			reasons = append(reasons, "header "+condition.Name)
		} else {
			reasons = append(reasons, fmt.Sprintf("header %s: %s", condition.Name, condition.Value))
		}
	}
	return reasons
}

func (e *routeExplainer) explainClass(r *route.Route) {
	settings := e.appliance.Routes[r.Index]
	if settings.Class == "" {
		e.printf("class and time as the request says\n")
		return
	}
	e.printf("class %s, %v; any answer of a host is passed on, %v count as failures\n", settings.Class, settings.Timeout, settings.FailureStatuses)
}

// explainPool prints the pool of the request, or the shares of the pools if the pool is chosen at random: the route has
// no SplitBy header, or the request lacks it.
func (e *routeExplainer) explainPool(r *route.Route) {
	if len(r.Split) == 1 {
		e.printf("pool %s\n", r.Split[0].Pool)
		return
	}
	if r.SplitBy != "" {
		if key := e.header.Get(r.SplitBy); key != "" {
			e.printf("pool %s, by %s: %s\n", r.Split[r.Pool(key, 0)].Pool, r.SplitBy, key)
			return
		}
	}
	total := 0
	for _, split := range r.Split {
		total += split.Weight
	}
	var shares []string
	for _, split := range r.Split {
		shares = append(shares, fmt.Sprintf("%s %.4g%%", split.Pool, 100*float64(split.Weight)/float64(total)))
	}
	e.printf("a pool by chance: %s\n", strings.Join(shares, ", "))
}

func (e *routeExplainer) explainFallbacks(r *route.Route) {
	for _, split := range r.Split {
		i := slices.IndexFunc(e.appliance.Pools, func(p config.Pool) bool { return p.Name == split.Pool })
		pool := &e.appliance.Pools[i]
		if len(pool.Fallback) > 0 {
			e.printf("%s needs %.3g%% of its hosts; below, a part goes to %s\n", split.Pool, 100*pool.MinShare, strings.Join(pool.Fallback, ", then "))
		}
	}
}
