// Package protocol parses the settings object that the platform gives to each gateway. It is the only package that
// maps the field names of the platform's protocol to the terms that the rest of the code uses:
//
//	platform's key               value                      field of balancer.Settings                in recordings   appliance file
//	balancers                    number of gateways         Instances
//	rank                         index of this one, from 0  Rank
//	step                         microseconds               Step
//	discovery                    "subscribe": poll          Poll                                      Ask
//	over_share_worth             weight                     OverQuotaWeight                           OverQuotaWorth
//	classes[].promise            microseconds               Classes[].LatencyObjective                Aim             aim
//	classes[].hard_limit         microseconds               Classes[].Deadline                                        deadline
//	classes[].importance         weight                     Classes[].PriorityWeight                  Worth           worth
//	classes[].effect             "idempotent"               Classes[].Idempotency: Idempotent         Effect          effect: "safe"
//	                             "deduplicated"             Classes[].Idempotency: IdempotentWithKey                  "keyed"
//	                             "at_most_once"             Classes[].Idempotency: NonIdempotent                      "unsafe"
//	classes[].group              "", "all", "zone", "cell"  Classes[].DedupScope                      Group           group
//	classes[].window             microseconds               Classes[].DedupWindow                     Window          window
//	tenants[].quota_per_s        requests per second        Tenants[].Quota
//	caps.cancel                  true or false              Cancel
//	caps.max_attempts            number                     MaxAttempts
//	caps.retry_after             true: responses have one   MaxRetryAfter, 0 without
//	caps.max_retry_after         microseconds               MaxRetryAfter
//	obligations.ask_within       microseconds               PollTimeout                               AskWithin
//	obligations.cold_from        share of 1                 SlowStartShare                            ColdFrom        cold_from
//	obligations.warm_after       microseconds               SlowStartWindow                           WarmAfter       warm_after
//	obligations.overload_factor  factor                     OverloadFactor
//	obligations.fall             microseconds               OverloadWindow                            Fall
//
// Recordings store the settings under the JSON tags of package balancer. The column of recordings lists the tags that
// differ from the field names. The last column lists the keys of the appliance's configuration file (package config),
// which has no keys for the other fields; its durations have a unit.
//
// The names of the platform's events and actions in the simulator's frames are mapped by package simwire.
package protocol
