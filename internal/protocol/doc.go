// Package protocol reads the settings object that the platform gives to each gateway. It is the one place
// that maps the field names of the platform's protocol to the terms that the rest of the code uses:
//
//	key                           value                       field of balancer.Settings
//	balancers                     number of gateways          Instances
//	rank                          index of this one, from 0   Rank
//	step                          microseconds                Step
//	discovery                     "subscribe": poll           Poll
//	over_share_worth              weight                      OverQuotaWeight
//	classes[].promise             microseconds                Classes[].LatencyObjective
//	classes[].hard_limit          microseconds                Classes[].Deadline
//	classes[].importance          weight                      Classes[].PriorityWeight
//	classes[].effect              "idempotent"                Classes[].Idempotency: Idempotent
//	                              "deduplicated"              Classes[].Idempotency: IdempotentWithKey
//	                              "at_most_once"              Classes[].Idempotency: NonIdempotent
//	classes[].group               "", "all", "zone", "cell"   Classes[].DedupScope
//	classes[].window              microseconds                Classes[].DedupWindow
//	tenants[].quota_per_s         requests per second         Tenants[].Quota
//	caps.cancel                   true or false               Cancel
//	caps.max_attempts             number                      MaxAttempts
//	caps.retry_after              true: responses have one    MaxRetryAfter, 0 without
//	caps.max_retry_after          microseconds                MaxRetryAfter
//	obligations.ask_within        microseconds                PollTimeout
//	obligations.cold_from         share of 1                  SlowStartShare
//	obligations.warm_after        microseconds                SlowStartWindow
//	obligations.overload_factor   factor                      OverloadFactor
//	obligations.fall              microseconds                OverloadWindow
//
// The names of the platform's events and actions in the simulator's frames are mapped by package simwire.
package protocol
