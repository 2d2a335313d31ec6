package main

import (
	"errors"
	"fmt"
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
		Use: "check FILE", Args: cobra.ExactArgs(1),
		Short: "Check an appliance's file; each mistake is a line with file, line and field",
		RunE: func(cmd *cobra.Command, args []string) error {
			a, err := load(cmd, args[0])
			if err != nil {
				return err
			}
			if !a.Serves() {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: right: a relay of fleet %s, it serves no requests\n", args[0], a.Fleet.ID)
				return nil
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: right: %d listeners, %d classes, %d pools, %d routes\n",
				args[0], len(a.Listeners), len(a.Classes), len(a.Pools), len(a.Routes))
			return nil
		},
	}
}

// load reads a file and prints what is wrong with it.
func load(cmd *cobra.Command, path string) (*config.Appliance, error) {
	a, wrong := config.LoadAppliance(path)
	if len(wrong) == 0 {
		return a, nil
	}
	for _, err := range wrong {
		fmt.Fprintln(cmd.ErrOrStderr(), err)
	}
	if len(wrong) == 1 {
		return nil, fmt.Errorf("%s: 1 mistake", path)
	}
	return nil, fmt.Errorf("%s: %d mistakes", path, len(wrong))
}

func routesCommand() *cobra.Command {
	var headers []string
	cmd := &cobra.Command{
		Use: "routes FILE METHOD URL", Args: cobra.ExactArgs(3),
		Short: "Say which route and pool a request would take, and why; exit code 1 if none does",
		RunE: func(cmd *cobra.Command, args []string) error {
			a, err := load(cmd, args[0])
			if err != nil {
				return err
			}
			u, err := url.Parse(args[2])
			if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
				return fmt.Errorf("%q is no URL like http://example.org/path", args[2])
			}
			h := http.Header{}
			for _, s := range headers {
				name, value, ok := strings.Cut(s, ":")
				if !ok {
					return fmt.Errorf("-H: %q is not like \"Name: value\"", s)
				}
				h.Add(strings.TrimSpace(name), strings.TrimSpace(value))
			}
			return explain(cmd, a, strings.ToUpper(args[1]), args[2], u.Host, h)
		},
	}
	cmd.Flags().StringArrayVarP(&headers, "header", "H", nil, "a header of the request, as \"Name: value\"; may be given again")
	return cmd
}

// explain says where a request would go.
func explain(cmd *cobra.Command, a *config.Appliance, method, target, hostHeader string, h http.Header) error {
	out := cmd.OutOrStdout()
	host, path, err := route.ParseTarget(target, hostHeader)
	if err != nil {
		return fmt.Errorf("answered 400: %w", err)
	}
	r := a.Table.Match(&route.Request{Host: host, Path: path, Method: method, Header: func(name string) (string, bool) {
		v := h.Values(name)
		return strings.Join(v, ", "), len(v) > 0
	}})
	fmt.Fprintf(out, "%s %s%s, as it is matched\n", method, host, path)
	if r == nil {
		return errors.New("answered 404: no route takes it")
	}
	var why []string
	if len(r.Hosts) > 0 {
		why = append(why, "host "+strings.Join(r.Hosts, " or "))
	}
	why = append(why, "path "+r.Path)
	if len(r.Methods) > 0 {
		why = append(why, "method "+strings.Join(r.Methods, " or "))
	}
	for _, c := range r.Headers {
		if c.Value == "" {
			why = append(why, "header "+c.Name)
		} else {
			why = append(why, fmt.Sprintf("header %s: %s", c.Name, c.Value))
		}
	}
	fmt.Fprintf(out, "route %q, line %d: %s\n", r.Name, r.Line, strings.Join(why, ", "))
	own := a.Routes[r.Index]
	if own.Class != "" {
		fmt.Fprintf(out, "class %s, %v; any answer of a host is passed on, %v count as failures\n", own.Class, own.Timeout, own.FailureStatuses)
	} else {
		fmt.Fprintln(out, "class and time as the request says")
	}
	key := ""
	if r.SplitBy != "" {
		key = h.Get(r.SplitBy)
	}
	sum := 0
	for _, s := range r.Split {
		sum += s.Weight
	}
	switch {
	case len(r.Split) == 1:
		fmt.Fprintf(out, "pool %s\n", r.Split[0].Pool)
	case key != "":
		fmt.Fprintf(out, "pool %s, by %s: %s\n", r.Split[r.Pool(key, 0)].Pool, r.SplitBy, key)
	default:
		var shares []string
		for _, s := range r.Split {
			shares = append(shares, fmt.Sprintf("%s %.4g%%", s.Pool, 100*float64(s.Weight)/float64(sum)))
		}
		fmt.Fprintf(out, "a pool by chance: %s\n", strings.Join(shares, ", "))
	}
	for _, s := range r.Split {
		i := slices.IndexFunc(a.Pools, func(p config.Pool) bool { return p.Name == s.Pool })
		if f := a.Pools[i].Fallback; len(f) > 0 {
			fmt.Fprintf(out, "%s needs %.3g%% of its hosts; below, a part goes to %s\n", s.Pool, 100*a.Pools[i].MinShare, strings.Join(f, ", then "))
		}
	}
	return nil
}
