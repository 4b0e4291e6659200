// Package poison finds parts of prompts that crash targets, and quarantines them.
//
// A target that has ended leaves requests unanswered, and one of them may have caused the end. A single loss accuses all
// parts of these requests. An answer to a request clears all of its parts, since a poisonous one crashes every target that
// begins to answer it. A part that several losses accuse and that no answer has cleared since is quarantined: requests with
// it are sent to no target.
//
// No router sees all losses and answers, so routers exchange them as reports. Times in reports are ages, because the
// clocks of routers differ.
//
// The package does no I/O and reads no clock.
package poison
