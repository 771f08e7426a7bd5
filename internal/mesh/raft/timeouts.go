package raft

import "time"

// The waits of this package are fractions and multiples of Config.ElectionTimeout, so that one setting scales all of them. No safety rule
// depends on any of them (Raft paper, section 5.6). They decide how soon a cluster acts, and how often it acts in vain.

// startupDelay is the least time from the start of a member to its first pre-vote. With startupJitter it is less than an election
// timeout: if there is a leader the others reject the pre-vote, which does no harm, and if there is none the cluster should not wait.
func (c *Config) startupDelay() time.Duration { return c.ElectionTimeout / 8 }

// startupJitter bounds the random time that is added to startupDelay.
func (c *Config) startupJitter() time.Duration { return c.ElectionTimeout / 4 }

// preVoteRetryDelay is how long a pre-candidate waits, at least, before it asks again; up to as much is added at random. It is short
// because pre-votes disrupt nobody and a voter that was down may be back soon.
func (c *Config) preVoteRetryDelay() time.Duration { return c.ElectionTimeout / 4 }

// campaignRankDelay is how much longer than the election timeout a follower of a rank waits before it campaigns.
func (c *Config) campaignRankDelay(rank int) time.Duration {
	return time.Duration(rank) * c.ElectionTimeout / 5
}

// campaignJitter bounds the random time that is added to campaignRankDelay. It is half of the step between two ranks, so that two ranks do
// not campaign at the same time.
func (c *Config) campaignJitter() time.Duration { return c.ElectionTimeout / 10 }

// leaderExitDelay is how long a follower of a rank waits before it campaigns once the process of the leader is known to have ended. The
// part that does not depend on the rank lets the others learn of the same end.
func (c *Config) leaderExitDelay(rank int) time.Duration {
	return c.ElectionTimeout/50 + time.Duration(rank)*c.ElectionTimeout/8
}

// checkQuorumSpan is how long a leader may miss a quorum before it steps down (dissertation, section 6.2). It is longer than the span after
// which it reports that it has no quorum contact, so that a short interruption costs no election.
func (c *Config) checkQuorumSpan() time.Duration { return 2 * c.ElectionTimeout }

// joinRequestInterval is the time between two rounds of JoinRequest.
func (c *Config) joinRequestInterval() time.Duration { return c.ElectionTimeout / 4 }

// leaderContactSpan is how recently a voter must have heard its leader to disregard the notice that it is no voter.
func (c *Config) leaderContactSpan() time.Duration { return c.ElectionTimeout / 2 }

// notMemberSpan is how long a NotMember notice is heeded. Its senders repeat it with each request that reaches them.
func (c *Config) notMemberSpan() time.Duration { return 2 * c.ElectionTimeout }

// leaveRequestInterval is the time between two LeaveRequest of a member, or two attempts to transfer leadership.
func (c *Config) leaveRequestInterval() time.Duration { return c.ElectionTimeout / 8 }

// leaveRequestSpan is how long a LeaveRequest is valid: four times leaveRequestInterval, so that some of them may be lost. A member
// that does not repeat it any more has probably ended.
func (c *Config) leaveRequestSpan() time.Duration { return c.ElectionTimeout / 2 }

// transferSpan is how long a leader that leaves takes its transfer of leadership to be in progress (dissertation, section 3.10).
func (c *Config) transferSpan() time.Duration { return c.ElectionTimeout / 2 }

// forgetLearnerSpan is how long a learner has to be silent before the leader stops replicating to it. It can ask to join again.
func (c *Config) forgetLearnerSpan() time.Duration { return 4 * c.DeadMemberTimeout }
